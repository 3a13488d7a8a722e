//! Refusals: the error responses that a node sends in place of a backend server's response.
//!
//! The code is stable and machine readable, `run` states whether the request can
//! have run, and `action` states what the caller should do.

use std::error;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;

use crate::body;
use crate::body::Body;
use crate::context;
use shallotrill_model::attempt;
use shallotrill_model::outcome::ExecutionStatus;
use shallotrill_model::request;

/// Code of the refusal.
pub const ERROR: HeaderName = HeaderName::from_static("shallotrill-error");
/// Whether the request can have run: `not-run`, `running`, `unknown` or `ran`.
pub const RUN: HeaderName = HeaderName::from_static("shallotrill-run");

/// Defines each code with its text, HTTP status and action in one table.
macro_rules! codes {
    ($($(#[$doc:meta])* $variant:ident = $text:literal, $status:ident, $action:literal;)*) => {
        /// Why a node refused a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Code {
            $($(#[$doc])* $variant,)*
        }

        impl Code {
            /// Every code, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// The stable text of the code.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// The HTTP status of a response with this code.
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Self::$variant => StatusCode::$status,)*
                }
            }

            /// What the caller should do.
            pub const fn action(self) -> &'static str {
                match self {
                    $(Self::$variant => $action,)*
                }
            }
        }
    };
}

codes! {
    /// The head of the request is ambiguous or cannot be forwarded.
    HeadUnsafe = "head-unsafe", BAD_REQUEST, "send a request with exactly one length and no change of protocol";
    /// A header that belongs to this protocol has a value that is not allowed.
    HeaderInvalid = "header-invalid", BAD_REQUEST, "correct the header named in the message";
    /// The request names no service.
    ServiceMissing = "service-missing", BAD_REQUEST, "name the service as the first label of Host or in shallotrill-service";
    /// The configuration in force at this node has no service of that name.
    ServiceUnknown = "service-unknown", NOT_FOUND, "check the name; an operator creates services";
    /// The body is longer than the limit.
    BodyLarge = "body-large", PAYLOAD_TOO_LARGE, "send a shorter body";
    /// The body is incomplete.
    BodyIncomplete = "body-incomplete", BAD_REQUEST, "send the whole body";
    /// The body did not arrive in time.
    BodyTimeout = "body-timeout", REQUEST_TIMEOUT, "send the body faster";
    /// The call is nested too deeply.
    DepthExceeded = "depth-exceeded", LOOP_DETECTED, "look for a loop of calls";
    /// A non-idempotent request has no idempotency key.
    KeyMissing = "key-missing", BAD_REQUEST, "send Idempotency-Key with a UUID of version 7";
    /// The idempotency key is not a UUID of version 7.
    KeyInvalid = "key-invalid", BAD_REQUEST, "send Idempotency-Key with a UUID of version 7";
    /// The idempotency key is older than the retention period of records.
    KeyExpired = "key-expired", GONE, "ask what became of the first request; use a new key for a new one";
    /// The idempotency key was used for a request with different content.
    KeyReused = "key-reused", UNPROCESSABLE_ENTITY, "use a new key for a new request";
    /// No target is available for the request.
    NoTarget = "no-target", SERVICE_UNAVAILABLE, "retry after the stated time";
    /// The queue of the target is full, or the shares of other partners took precedence.
    Overloaded = "overloaded", SERVICE_UNAVAILABLE, "retry after the stated time";
    /// The response would arrive after the deadline.
    TooLate = "too-late", SERVICE_UNAVAILABLE, "retry after the stated time or allow more time";
    /// The target is draining and accepts no new requests.
    Draining = "draining", SERVICE_UNAVAILABLE, "retry";
    /// The target restarted or was replaced since it was chosen.
    WrongTarget = "wrong-target", SERVICE_UNAVAILABLE, "retry";
    /// The deadline of the request expired.
    DeadlineExceeded = "deadline-exceeded", GATEWAY_TIMEOUT, "retry an idempotent request, or allow more time";
    /// The connection to the backend server could not be opened.
    ConnectFailed = "connect-failed", BAD_GATEWAY, "retry";
    /// The connection to the backend server or to its node was lost.
    ConnectionLost = "connection-lost", BAD_GATEWAY, "retry an idempotent request; repeat another with the same key to learn its outcome";
    /// The backend server sent an invalid or incomplete response.
    AnswerInvalid = "answer-invalid", BAD_GATEWAY, "retry an idempotent request; repeat another with the same key to learn its outcome";
    /// The request crashed backend servers and is quarantined.
    Quarantined = "quarantined", UNPROCESSABLE_ENTITY, "do not repeat this request; an operator can release it";
    /// No quorum of the claim group could be reached.
    ClaimUnavailable = "claim-unavailable", SERVICE_UNAVAILABLE, "retry with the same key";
    /// The claim group has no space for new records.
    ClaimFull = "claim-full", INSUFFICIENT_STORAGE, "retry with the same key after the operator has made space";
    /// The attempt was fenced, or its grant expired before dispatch.
    Fenced = "fenced", CONFLICT, "retry with the same key";
    /// The request is running under an earlier attempt.
    Running = "running", CONFLICT, "repeat with the same key to learn the outcome";
    /// Whether the request ran cannot be determined; it is not run again.
    OutcomeUnknown = "outcome-unknown", CONFLICT, "ask an operator to settle the request";
    /// The request ran, but its response was too long to be stored.
    AnswerNotStored = "answer-not-stored", OK, "the request ran; do not repeat it";
    /// The process is stopping.
    Stopping = "stopping", SERVICE_UNAVAILABLE, "retry on another connection";
    /// The node failed internally.
    Internal = "internal", INTERNAL_SERVER_ERROR, "report the request id to the operator";
}

impl Code {
    /// Whether every target would refuse the request for the same reason, so that another attempt is pointless.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            Self::HeadUnsafe
                | Self::HeaderInvalid
                | Self::BodyLarge
                | Self::DepthExceeded
                | Self::KeyMissing
                | Self::KeyInvalid
                | Self::KeyExpired
                | Self::KeyReused
                | Self::Quarantined
                | Self::OutcomeUnknown
        )
    }

    /// Whether the refusal is based on the record of an earlier attempt and not on the state of the target.
    pub const fn is_recorded(self) -> bool {
        matches!(
            self,
            Self::Running | Self::OutcomeUnknown | Self::AnswerNotStored | Self::Fenced
        )
    }

    /// Finds a code by its text.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.as_str() == text)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The stable code.
    pub code: Code,
    /// Whether the request can have run.
    pub run: ExecutionStatus,
    /// Human-readable reason.
    pub message: String,
    /// Time after which a retry may succeed; `None` if not known.
    pub retry_after: Option<Duration>,
    /// The highest attempt that can never run, if a later attempt may run.
    pub fenced: Option<attempt::Number>,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.run, self.message)
    }
}

impl error::Error for Refusal {}

#[derive(Serialize)]
struct RefusalDocument<'refusal> {
    code: &'static str,
    message: &'refusal str,
    action: &'static str,
    request: String,
    run: &'static str,
}

impl Refusal {
    /// Creates a refusal of a request that did not run and will not run.
    pub const fn not_run(code: Code, message: String) -> Self {
        Self {
            code,
            run: ExecutionStatus::NotRun,
            message,
            retry_after: None,
            fenced: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub const fn unknown(code: Code, message: String) -> Self {
        Self {
            code,
            run: ExecutionStatus::Unknown,
            message,
            retry_after: None,
            fenced: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the highest attempt that can never run.
    #[must_use]
    pub const fn fenced(mut self, attempt: attempt::Number) -> Self {
        self.fenced = Some(attempt);
        self
    }

    /// Creates the HTTP response to the caller.
    pub fn response(&self, request: request::Id) -> Response<Body> {
        let text = RefusalDocument {
            code: self.code.as_str(),
            message: &self.message,
            action: self.code.action(),
            request: request.to_string(),
            run: self.run.as_str(),
        };
        let json = serde_json::to_vec(&text).unwrap_or_default();
        let mut response = Response::new(body::full(Bytes::from(json)));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(ERROR, HeaderValue::from_static(self.code.as_str()));
        headers.insert(RUN, HeaderValue::from_static(self.run.as_str()));
        if let Ok(id) = HeaderValue::from_str(&request.to_string()) {
            headers.insert(context::REQUEST, id);
        }
        if let Some(attempt) = self.fenced {
            headers.insert(context::ATTEMPT, HeaderValue::from(attempt.0));
        }
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs_f64().ceil() as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    /// Reads the refusal of another node from the headers of its response; `None` if it is not a refusal.
    ///
    /// A code that this version does not know is read as [`Code::Internal`]; its `run` is preserved.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(ERROR)?.to_str().ok()?;
        let run = match headers.get(RUN).map(HeaderValue::as_bytes) {
            Some(b"not-run") => ExecutionStatus::NotRun,
            Some(b"running") => ExecutionStatus::Running,
            Some(b"ran") => ExecutionStatus::Ran,
            _ => ExecutionStatus::Unknown,
        };
        let retry_after = headers
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .map(Duration::from_secs);
        let fenced = headers
            .get(context::ATTEMPT)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .map(attempt::Number);
        Some(Self {
            code: Code::parse(text).unwrap_or(Code::Internal),
            run,
            message: format!("refused by the target's node: {text}"),
            retry_after,
            fenced,
        })
    }
}

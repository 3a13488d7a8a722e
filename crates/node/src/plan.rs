//! What is to be done with one request, after its service's configuration was applied.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::header;
use http::uri::PathAndQuery;

use crate::state::State;
use shallotrill_caller::call::Call;
use shallotrill_claim::key::Key;
use shallotrill_model::class;
use shallotrill_model::class::Class;
use shallotrill_model::digest::Digest;
use shallotrill_model::partner;
use shallotrill_model::request;
use shallotrill_model::service;
use shallotrill_model::time::Instant;
use shallotrill_wire::context::CallerContext;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// When a caller may come back to a node that has just started.
const CONFIGURED_AFTER: Duration = Duration::from_secs(1);

/// Partner of a request that names none.
const ANONYMOUS: &str = "anonymous";

/// Headers that differ between copies of one request and do not change its answer.
const VOLATILE: [&str; 5] = [
    "date",
    "traceparent",
    "tracestate",
    "x-request-id",
    "idempotency-key",
];

/// A request with its class, limits and identity.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) request: request::Id,
    pub(crate) service: Arc<service::Spec>,
    pub(crate) partner: partner::Name,
    pub(crate) class: Class,
    pub(crate) priority: u8,
    pub(crate) join: bool,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Digest of service, method, path and body.
    pub(crate) content: Digest,
    /// Key of a non-idempotent request.
    pub(crate) key: Option<Key>,
    pub(crate) caller_context: CallerContext,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Plan {
    /// Applies the configuration in force to a call.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with `run` at not-run.
    pub(crate) fn new(
        state: &State,
        call: Call,
        request: request::Id,
        arrived: Instant,
    ) -> Result<Self, Refusal> {
        let service = state.service(&call.service).ok_or_else(|| {
            if state.is_unconfigured() {
                let message = "this node has no configuration yet".to_owned();
                return Refusal::not_run(Code::NoTarget, message).retry_after(CONFIGURED_AFTER);
            }
            let message = format!("no service {} is in force at this node", call.service);
            Refusal::not_run(Code::ServiceUnknown, message)
        })?;
        let rule = class::find(&service.rules, call.method.as_str(), call.path.path());
        let class = rule.map_or(Class::NonIdempotent, |rule| rule.class);
        let partner = call.caller_context.partner.clone().unwrap_or_else(|| {
            partner::Name::new(ANONYMOUS).expect("the name of the anonymous partner is valid")
        });
        let key = match class {
            Class::Idempotent => None,
            Class::NonIdempotent => Some(key(&call, &partner)?),
        };
        let limit = call
            .caller_context
            .deadline
            .unwrap_or_else(|| service.deadline());
        Ok(Self {
            request,
            partner,
            class,
            priority: rule.map_or(0, |rule| rule.priority),
            join: rule.is_some_and(|rule| rule.join) && class == Class::Idempotent,
            arrived,
            deadline: arrived + limit,
            content: content(&call),
            key,
            caller_context: call.caller_context,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            service,
        })
    }

    /// Time left at `now`.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }

    /// Digest of everything that can change the answer, the caller's credentials included.
    pub(crate) fn identity(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.content.0);
        let mut headers: Vec<(&str, &[u8])> = self
            .headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_bytes()))
            .filter(|(name, _)| !VOLATILE.contains(name))
            .collect();
        headers.sort_unstable();
        for (name, value) in headers {
            field(&mut hasher, name.as_bytes());
            field(&mut hasher, value);
        }
        Digest(*hasher.finalize().as_bytes())
    }
}

fn key(call: &Call, partner: &partner::Name) -> Result<Key, Refusal> {
    let Some(text) = &call.caller_context.key else {
        let message = format!(
            "{} {} is non-idempotent and has no Idempotency-Key",
            call.method,
            call.path.path()
        );
        return Err(Refusal::not_run(Code::KeyMissing, message));
    };
    // The draft of the header field writes the key as a quoted string; both forms are taken.
    let bare = text.trim_matches('"');
    Key::parse(partner.clone(), call.service.clone(), bare)
        .map_err(|error| Refusal::not_run(Code::KeyInvalid, error.to_string()))
}

fn content(call: &Call) -> Digest {
    let mut hasher = blake3::Hasher::new();
    field(&mut hasher, call.service.as_str().as_bytes());
    field(&mut hasher, call.method.as_str().as_bytes());
    field(&mut hasher, call.path.as_str().as_bytes());
    let content_type = call.headers.get(header::CONTENT_TYPE);
    field(
        &mut hasher,
        content_type.map_or(b"", |value| value.as_bytes()),
    );
    field(&mut hasher, &call.body);
    Digest(*hasher.finalize().as_bytes())
}

/// Adds a field with its length, so that two different lists of fields never look the same.
fn field(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

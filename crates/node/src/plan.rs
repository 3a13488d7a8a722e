//! Derives class, deadline, key and digests of one request from its headers and its service's configuration.

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

/// Time after which a caller may retry at a node that has no configuration yet.
const UNCONFIGURED_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Partner of a request without a partner header.
const ANONYMOUS_PARTNER: &str = "anonymous";

/// Headers that may differ between identical requests without a change of the response.
const VOLATILE_HEADERS: [&str; 5] = [
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
    pub(crate) coalesce: bool,
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
                return Refusal::not_run(Code::NoTarget, message)
                    .retry_after(UNCONFIGURED_RETRY_INTERVAL);
            }
            let message = format!("this node has no configuration of service {}", call.service);
            Refusal::not_run(Code::ServiceUnknown, message)
        })?;
        let rule = class::find(&service.rules, call.method.as_str(), call.path.path());
        let class = rule.map_or(Class::NonIdempotent, |rule| rule.class);
        let partner = call.caller_context.partner.clone().unwrap_or_else(|| {
            partner::Name::new(ANONYMOUS_PARTNER)
                .expect("the name of the anonymous partner is valid")
        });
        let key = match class {
            Class::Idempotent => None,
            Class::NonIdempotent => Some(parse_key(&call, &partner)?),
        };
        let timeout = call
            .caller_context
            .deadline
            .unwrap_or_else(|| service.deadline());
        Ok(Self {
            request,
            partner,
            class,
            priority: rule.map_or(0, |rule| rule.priority),
            coalesce: rule.is_some_and(|rule| rule.join) && class == Class::Idempotent,
            arrived,
            deadline: arrived + timeout,
            content: content_digest(&call),
            key,
            caller_context: call.caller_context,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            service,
        })
    }

    /// Time remaining until the deadline at `now`.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }

    /// Digest of everything that can change the response, including the caller's credentials.
    pub(crate) fn identity(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.content.0);
        let mut headers: Vec<(&str, &[u8])> = self
            .headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_bytes()))
            .filter(|(name, _)| !VOLATILE_HEADERS.contains(name))
            .collect();
        headers.sort_unstable();
        for (name, value) in headers {
            hash_field(&mut hasher, name.as_bytes());
            hash_field(&mut hasher, value);
        }
        Digest(*hasher.finalize().as_bytes())
    }
}

fn parse_key(call: &Call, partner: &partner::Name) -> Result<Key, Refusal> {
    let Some(text) = &call.caller_context.key else {
        let message = format!(
            "{} {} is non-idempotent and has no Idempotency-Key",
            call.method,
            call.path.path()
        );
        return Err(Refusal::not_run(Code::KeyMissing, message));
    };
    // The draft of the header field writes the key as a quoted string; both forms are accepted.
    let bare = text.trim_matches('"');
    Key::parse(partner.clone(), call.service.clone(), bare)
        .map_err(|error| Refusal::not_run(Code::KeyInvalid, error.to_string()))
}

fn content_digest(call: &Call) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hash_field(&mut hasher, call.service.as_str().as_bytes());
    hash_field(&mut hasher, call.method.as_str().as_bytes());
    hash_field(&mut hasher, call.path.as_str().as_bytes());
    let content_type = call.headers.get(header::CONTENT_TYPE);
    hash_field(
        &mut hasher,
        content_type.map_or(b"", |value| value.as_bytes()),
    );
    hash_field(&mut hasher, &call.body);
    Digest(*hasher.finalize().as_bytes())
}

/// Hashes a field with its length prefix, so that two different lists of fields never hash the same bytes.
fn hash_field(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}

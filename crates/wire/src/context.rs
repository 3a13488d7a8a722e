//! The protocol headers that are propagated with a call through all its nested calls.

use std::error;
use std::fmt;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use shallotrill_model::attempt;
use shallotrill_model::partner;
use shallotrill_model::request;
use shallotrill_model::service;

/// Identifier of the request, 32 hexadecimal digits.
pub const REQUEST: HeaderName = HeaderName::from_static("shallotrill-request");
/// Remaining time for the request, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("shallotrill-deadline-ms");
/// Number of the attempt, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("shallotrill-attempt");
/// Number of calls that enclose this one.
pub const DEPTH: HeaderName = HeaderName::from_static("shallotrill-depth");
/// Additional attempts that may still be sent below this call.
pub const TOKENS: HeaderName = HeaderName::from_static("shallotrill-retry-tokens");
/// Name of the service; takes precedence over the first label of `Host`.
pub const SERVICE: HeaderName = HeaderName::from_static("shallotrill-service");
/// Name of the partner on whose behalf the call runs.
pub const PARTNER: HeaderName = HeaderName::from_static("shallotrill-partner");
/// The caller's idempotency key, a UUID of version 7.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum number of calls that enclose a call.
pub const DEPTH_MAX: u8 = 13;

/// Maximum deadline that a caller may state, in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 3_600_000;

/// Call headers as received from a caller; absent headers are `None`, an absent depth is zero.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerContext {
    /// Identifier of the request.
    pub request: Option<request::Id>,
    /// Remaining time.
    pub deadline: Option<Duration>,
    /// Number of the attempt.
    pub attempt: Option<attempt::Number>,
    /// Number of calls that enclose this one.
    pub depth: u8,
    /// Additional attempts that may still be sent below this call.
    pub tokens: Option<u32>,
    /// Partner on whose behalf the call runs.
    pub partner: Option<partner::Name>,
    /// Service named by the header, not by `Host`.
    pub service: Option<service::Name>,
    /// Idempotency key as text.
    pub key: Option<String>,
}

/// A header whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// Name of the header.
    pub header: HeaderName,
    /// Description of the allowed values.
    pub allowed: &'static str,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the value of {} must be {}", self.header, self.allowed)
    }
}

impl error::Error for Invalid {}

impl CallerContext {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] for a header that is repeated or whose value is not allowed.
    pub fn read(headers: &HeaderMap) -> Result<Self, Invalid> {
        let number_format = "a whole number, stated once";
        let millis: Option<u64> = parse(headers, &DEADLINE_MS, number_format)?;
        if millis.is_some_and(|ms| ms > DEADLINE_MAX_MS) {
            return Err(Invalid {
                header: DEADLINE_MS,
                allowed: "at most 3600000",
            });
        }
        let depth = parse(headers, &DEPTH, number_format)?.unwrap_or(0);
        let attempt: Option<u32> = parse(headers, &ATTEMPT, number_format)?;
        if attempt == Some(0) {
            return Err(Invalid {
                header: ATTEMPT,
                allowed: "at least 1",
            });
        }
        let name_format = "1 to 63 of a-z, 0-9 and -, stated once";
        Ok(Self {
            request: parse(headers, &REQUEST, "32 hexadecimal digits, stated once")?,
            deadline: millis.map(Duration::from_millis),
            attempt: attempt.map(attempt::Number),
            depth,
            tokens: parse(headers, &TOKENS, number_format)?,
            partner: parse_name(headers, &PARTNER, name_format, partner::Name::new)?,
            service: parse_name(headers, &SERVICE, name_format, service::Name::new)?,
            key: single_value(headers, &KEY, "a UUID of version 7, stated once")?
                .map(str::to_owned),
        })
    }
}

/// Call headers that a node sets on a request that it forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Context {
    /// Identifier of the request.
    pub request: request::Id,
    /// Remaining time.
    pub deadline: Duration,
    /// Number of the attempt.
    pub attempt: attempt::Number,
    /// Number of calls that enclose the call at the receiver.
    pub depth: u8,
    /// Additional attempts that may be sent below this call.
    pub tokens: u32,
    /// Partner on whose behalf the call runs.
    pub partner: partner::Name,
    /// Called service.
    pub service: service::Name,
    /// Idempotency key as text.
    pub key: Option<String>,
}

impl Context {
    /// Sets the headers of a forwarded request, replacing those of the caller.
    pub fn write(&self, headers: &mut HeaderMap) {
        let millis = u64::try_from(self.deadline.as_millis()).unwrap_or(DEADLINE_MAX_MS);
        headers.insert(REQUEST, header_value(&self.request.to_string()));
        headers.insert(DEADLINE_MS, HeaderValue::from(millis));
        headers.insert(ATTEMPT, HeaderValue::from(self.attempt.0));
        headers.insert(DEPTH, HeaderValue::from(u16::from(self.depth)));
        headers.insert(TOKENS, HeaderValue::from(self.tokens));
        headers.insert(PARTNER, header_value(self.partner.as_str()));
        headers.insert(SERVICE, header_value(self.service.as_str()));
        if let Some(key) = self
            .key
            .as_deref()
            .and_then(|k| HeaderValue::from_str(k).ok())
        {
            headers.insert(KEY, key);
        }
    }
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("names and identifiers are visible ASCII")
}

fn single_value<'map>(
    headers: &'map HeaderMap,
    header: &HeaderName,
    allowed: &'static str,
) -> Result<Option<&'map str>, Invalid> {
    let invalid = || Invalid {
        header: header.clone(),
        allowed,
    };
    let mut values = headers.get_all(header).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid());
    }
    first.to_str().map(Some).or(Err(invalid()))
}

fn parse<T: std::str::FromStr>(
    headers: &HeaderMap,
    header: &HeaderName,
    allowed: &'static str,
) -> Result<Option<T>, Invalid> {
    let invalid = Invalid {
        header: header.clone(),
        allowed,
    };
    single_value(headers, header, allowed)?
        .map(|text| text.parse().or(Err(invalid)))
        .transpose()
}

fn parse_name<T>(
    headers: &HeaderMap,
    header: &HeaderName,
    allowed: &'static str,
    new: fn(&str) -> Result<T, shallotrill_model::Invalid>,
) -> Result<Option<T>, Invalid> {
    let invalid = Invalid {
        header: header.clone(),
        allowed,
    };
    single_value(headers, header, allowed)?
        .map(|text| new(text).or(Err(invalid)))
        .transpose()
}

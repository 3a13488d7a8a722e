//! Checks of request heads and removal of hop-by-hop headers.
//!
//! An intermediary must not forward headers that concern one connection (RFC
//! 9110, section 7.6.1). It must refuse a message of ambiguous length (RFC
//! 9112, section 6.3), because two readers could disagree on where the next
//! request starts.

use std::error;
use std::fmt;

use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Why a request head is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// Both `Content-Length` and `Transfer-Encoding` are stated.
    TwoLengths,
    /// `Content-Length` is stated more than once.
    RepeatedLength,
    /// The transfer coding is not exactly `chunked`.
    Coding,
    /// The method is `CONNECT`, which opens a tunnel, or `TRACE`, which reflects the request.
    Method,
    /// The request asks to change the protocol.
    Upgrade,
    /// `Host` is stated more than once.
    RepeatedHost,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TwoLengths => "both Content-Length and Transfer-Encoding are stated",
            Self::RepeatedLength => "Content-Length is stated more than once",
            Self::Coding => "the transfer coding must be exactly chunked",
            Self::Method => "the methods CONNECT and TRACE are not served",
            Self::Upgrade => "a change of protocol is not served",
            Self::RepeatedHost => "Host is stated more than once",
        })
    }
}

impl error::Error for HeadError {}

/// Checks the head of a request from a caller.
///
/// # Errors
///
/// Returns [`HeadError`] when the length of the message is ambiguous or the request cannot be forwarded.
pub fn check(method: &Method, headers: &HeaderMap) -> Result<(), HeadError> {
    if *method == Method::CONNECT || *method == Method::TRACE {
        return Err(HeadError::Method);
    }
    if headers.contains_key(header::UPGRADE) {
        return Err(HeadError::Upgrade);
    }
    // RFC 9112, section 3.2: readers could use different values. This holds also when another header names the service.
    if headers.get_all(header::HOST).iter().count() > 1 {
        return Err(HeadError::RepeatedHost);
    }
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) if lengths > 1 => Err(HeadError::RepeatedLength),
        (None, _) => Ok(()),
        (Some(_), _) if lengths > 0 => Err(HeadError::TwoLengths),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(()),
        (Some(_), _) => Err(HeadError::Coding),
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.is_empty() {
        return;
    }
    let nominated: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in nominated.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// Removes every `shallotrill-` header, so that a caller or backend server cannot forge the headers of a node.
pub fn strip_protocol_headers(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with("shallotrill-"))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

//! Header hygiene of an intermediary.
//!
//! Headers that concern one connection must not travel further (RFC 9110,
//! section 7.6.1), and a message whose length can be read in two ways must be
//! refused (RFC 9112, section 6.3), because two readers of it could disagree
//! on where the next request starts.

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
pub enum Unsafe {
    /// Both `Content-Length` and `Transfer-Encoding` are stated.
    TwoLengths,
    /// `Content-Length` is stated more than once.
    RepeatedLength,
    /// The transfer coding is not exactly `chunked`.
    Coding,
    /// The method opens a tunnel or reflects the request, which a node does not do.
    Method,
    /// The request asks to change the protocol.
    Upgrade,
    /// `Host` is stated more than once.
    RepeatedHost,
}

impl fmt::Display for Unsafe {
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

impl error::Error for Unsafe {}

/// Checks the head of a request from a caller.
///
/// # Errors
///
/// Returns [`Unsafe`] when the length of the message is ambiguous or the request is not one to forward.
pub fn check(method: &Method, headers: &HeaderMap) -> Result<(), Unsafe> {
    if *method == Method::CONNECT || *method == Method::TRACE {
        return Err(Unsafe::Method);
    }
    if headers.contains_key(header::UPGRADE) {
        return Err(Unsafe::Upgrade);
    }
    // RFC 9112, section 3.2: readers could take different ones, also where another header names the service.
    if headers.get_all(header::HOST).iter().count() > 1 {
        return Err(Unsafe::RepeatedHost);
    }
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) if lengths > 1 => Err(Unsafe::RepeatedLength),
        (None, _) => Ok(()),
        (Some(_), _) if lengths > 0 => Err(Unsafe::TwoLengths),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(()),
        (Some(_), _) => Err(Unsafe::Coding),
    }
}

/// Removes the headers that concern one connection, those that `Connection` names included.
pub fn strip(headers: &mut HeaderMap) {
    if headers.is_empty() {
        return;
    }
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// Removes every `shallotrill-` header, so that an outsider's answer or request cannot pose as a node's.
pub fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with("shallotrill-"))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

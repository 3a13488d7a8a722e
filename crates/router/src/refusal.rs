//! Responses of a router that no backend server created.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use log::info;

use shallotrill_wire::body;
use shallotrill_wire::body::Body;

/// Authentication scheme of the keys of workspaces, which RFC 9110 requires in a response with status 401.
const KEY_SCHEME: &str = "Workspace-Key";

pub(crate) fn unavailable(id: &str, retry_after: &str, reason: &str) -> Response<Body> {
    let refused = refuse(id, StatusCode::SERVICE_UNAVAILABLE, reason);
    with_retry_after(refused, retry_after)
}

pub(crate) fn with_retry_after(mut response: Response<Body>, retry_after: &str) -> Response<Body> {
    // A number is a valid header value.
    if let Ok(value) = HeaderValue::from_str(retry_after) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Refuses a request without the key of a workspace. Nothing of the key is logged.
pub(crate) fn unauthorized(id: &str) -> Response<Body> {
    let reason = "the request has no key that a workspace holds";
    let mut response = refuse(id, StatusCode::UNAUTHORIZED, reason);
    let scheme = HeaderValue::from_static(KEY_SCHEME);
    let headers = response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, scheme);
    response
}

pub(crate) fn refuse(id: &str, status: StatusCode, reason: &str) -> Response<Body> {
    info!(event = "request-ended", request = id, status = status.as_u16(); "request ends without a response of a backend server: {reason}");
    response(status, reason)
}

pub(crate) fn response(status: StatusCode, reason: &str) -> Response<Body> {
    let text = format!("{reason}\n");
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, content_type);
    response
}

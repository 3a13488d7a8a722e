//! Checks of a caller's request and its conversion to a [`Call`].

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header;
use http::request::Parts;
use http::uri::PathAndQuery;

use shallotrill_model::service;
use shallotrill_wire::body;
use shallotrill_wire::context::CallerContext;
use shallotrill_wire::context::DEPTH_MAX;
use shallotrill_wire::hop;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum body size in bytes. Bodies are buffered in memory, so that a retry can send them again.
    pub body_bytes: usize,
    /// Maximum time from the end of the request head to the end of the body.
    pub body_timeout: Duration,
}

/// A request that passed all checks that do not depend on the configuration of services.
#[derive(Clone, Debug)]
pub struct Call {
    /// Requested service.
    pub service: service::Name,
    /// Protocol headers as received from the caller.
    pub caller_context: CallerContext,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: PathAndQuery,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Checks a request and reads its body.
///
/// # Errors
///
/// Returns a [`Refusal`] with the status not-run, because nothing was forwarded.
pub async fn read<B>(request: Request<B>, limits: &Limits) -> Result<Call, Refusal>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (parts, body) = request.into_parts();
    let (caller_context, service) = check_head(&parts)?;
    let body = body::collect(body, limits.body_bytes, limits.body_timeout)
        .await
        .map_err(|error| {
            let code = match error {
                body::Error::TooLarge(_) => Code::BodyLarge,
                // `collect` takes nothing from a budget, so it does not return the second one.
                body::Error::Timeout(_) | body::Error::Refused(_) => Code::BodyTimeout,
                body::Error::Truncated(_) => Code::BodyIncomplete,
            };
            Refusal::not_run(code, error.to_string())
        })?;
    let path = parts
        .uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"));
    let mut headers = parts.headers;
    hop::strip_hop_by_hop(&mut headers);
    hop::strip_protocol_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    Ok(Call {
        service,
        caller_context,
        method: parts.method,
        path,
        headers,
        body,
    })
}

fn check_head(parts: &Parts) -> Result<(CallerContext, service::Name), Refusal> {
    let detected = parts.extensions.get::<hop::HeadError>().copied();
    detected
        .map_or_else(|| hop::check(&parts.method, &parts.headers), Err)
        .map_err(|error| Refusal::not_run(Code::HeadUnsafe, error.to_string()))?;
    let caller_context = CallerContext::read(&parts.headers)
        .map_err(|error| Refusal::not_run(Code::HeaderInvalid, error.to_string()))?;
    if caller_context.depth > DEPTH_MAX {
        let message = format!(
            "the call is nested in {} calls, at most {DEPTH_MAX} are allowed",
            caller_context.depth
        );
        return Err(Refusal::not_run(Code::DepthExceeded, message));
    }
    let service = match &caller_context.service {
        Some(service) => service.clone(),
        None => service_of_host(parts)?,
    };
    Ok((caller_context, service))
}

/// Reads the service from the first label of `Host`, or of the URI's authority when the URI is absolute.
fn service_of_host(parts: &Parts) -> Result<service::Name, Refusal> {
    let missing = |message: &str| Refusal::not_run(Code::ServiceMissing, message.to_owned());
    let host = match (parts.uri.host(), parts.headers.get(header::HOST)) {
        (Some(host), _) => host,
        (None, Some(host)) => host
            .to_str()
            .or(Err(missing("the value of Host is not visible ASCII text")))?,
        (None, None) => return Err(missing("the request has no Host header")),
    };
    let label = host.split(['.', ':']).next().unwrap_or_default();
    service::Name::new(&label.to_ascii_lowercase()).map_err(|error| {
        missing(&format!(
            "the first label of Host is not a service name: {error}"
        ))
    })
}

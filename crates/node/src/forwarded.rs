//! Handles requests that other nodes forward to the local backend server.

use std::sync::Arc;

use http::HeaderMap;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::attempt;
use crate::gate;
use crate::gate::Attempt;
use crate::plan::Plan;
use crate::state;
use crate::state::State;
use shallotrill_caller::call;
use shallotrill_model::attempt::Number;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::request;
use shallotrill_model::time::Instant;
use shallotrill_retry::call::AttemptHeaders;
use shallotrill_wire::body::Body;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Handles a request that another node forwarded.
pub(crate) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let arrived = state.now();
    let (id, result) = serve(&state, request, arrived).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refusal.response(id),
    };
    gate::attach_load_report(&state, &mut response);
    response
}

async fn serve(
    state: &Arc<State>,
    request: Request<Incoming>,
    arrived: Instant,
) -> (request::Id, Result<Response<Body>, Refusal>) {
    let incarnation = incarnation(request.headers());
    let limits = call::Limits {
        body_bytes: state.limits.body_bytes,
        body_timeout: state.limits.body_timeout,
    };
    let call = match call::read(request, &limits).await {
        Ok(call) => call,
        Err(refusal) => return (state::request_id(), Err(refusal)),
    };
    let id = call
        .caller_context
        .request
        .unwrap_or_else(state::request_id);
    let result = serve_forwarded(state, call, id, arrived, incarnation).await;
    (id, result)
}

async fn serve_forwarded(
    state: &Arc<State>,
    call: call::Call,
    id: request::Id,
    arrived: Instant,
    incarnation: Option<Incarnation>,
) -> Result<Response<Body>, Refusal> {
    let Some(incarnation) = incarnation else {
        let message = "a forwarded request requires a shallotrill-incarnation header with a number"
            .to_owned();
        return Err(Refusal::not_run(Code::HeaderInvalid, message));
    };
    let plan = Arc::new(Plan::new(state, call, id, arrived)?);
    let attempt = Attempt {
        incarnation,
        number: plan.caller_context.attempt.unwrap_or(Number::FIRST),
        outgoing: AttemptHeaders {
            tokens: plan.caller_context.tokens.unwrap_or(0),
            depth: plan.caller_context.depth,
        },
    };
    gate::serve(state, &plan, attempt).await
}

fn incarnation(headers: &HeaderMap) -> Option<Incarnation> {
    let value = headers.get(attempt::INCARNATION)?.to_str().ok()?;
    value.parse().ok().map(Incarnation)
}

//! Handles requests of callers: reads the call, plans it and runs it.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use log::debug;

use crate::execution;
use crate::plan::Plan;
use crate::shared;
use crate::state;
use crate::state::State;
use shallotrill_caller::call;
use shallotrill_model::request;
use shallotrill_model::time::Instant;
use shallotrill_wire::body::Body;
use shallotrill_wire::context;
use shallotrill_wire::context::CallerContext;
use shallotrill_wire::load;
use shallotrill_wire::refusal::Code;
use shallotrill_wire::refusal::Refusal;

/// Handles one request of a caller.
pub(crate) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let arrived = state.now();
    let caller_context = CallerContext::read(request.headers()).unwrap_or_default();
    let id = caller_context.request.unwrap_or_else(state::request_id);
    let result = serve(&state, request, id, arrived).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            state.metrics.refused(refusal.code);
            debug!(event = "request-refused", request = id.to_string().as_str(), code = refusal.code.as_str(); "{refusal}");
            refusal.response(id)
        }
    };
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(context::REQUEST, value);
    }
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    // Load reports are for nodes only.
    response.headers_mut().remove(load::LOAD);
    debug!(
        event = "request-answered",
        request = id.to_string().as_str(),
        status = response.status().as_u16();
        "the request of a caller was answered"
    );
    state
        .metrics
        .answered(response.status().as_u16(), state.now().since(arrived));
    response
}

async fn serve(
    state: &Arc<State>,
    request: Request<Incoming>,
    id: request::Id,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    if state.is_stopping() {
        let message = "the node is stopping".to_owned();
        return Err(Refusal::not_run(Code::Stopping, message));
    }
    let limits = call::Limits {
        body_bytes: state.limits.body_bytes,
        body_timeout: state.limits.body_timeout,
    };
    let mut call = call::read(request, &limits).await?;
    // This node numbers the attempts itself: a backend server copies the attempt number of its own call into nested calls.
    call.caller_context.attempt = None;
    let plan = Arc::new(Plan::new(state, call, id, arrived)?);
    state.register_interest(&plan.service.name);
    if plan.coalesce {
        shared::run(state, &plan).await
    } else {
        execution::run(state, &plan).await
    }
}

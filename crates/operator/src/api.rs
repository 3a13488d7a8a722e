//! Endpoints of the HTTP interface, and the mapping of failures to responses.

use std::fmt;

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::Body;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use dropshot::HttpResponseOk;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;
use http::Response;
use http::header;
use schemars::JsonSchema;
use serde::Serialize;
use serde_json::Value;

use crate::failure::Failure;
use crate::server::Handlers;
use crate::server::StatementRequest;
use crate::wire;
use shallotrill_language::Statement;
use shallotrill_model::command;

/// Content type of the text format of Prometheus.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

pub(crate) fn register(
    api: &mut ApiDescription<Handlers>,
) -> Result<(), ApiDescriptionRegisterError> {
    api.register(statements)?;
    api.register(state)?;
    api.register(metrics)
}

/// Response body of a failed request.
#[derive(Debug, Serialize, JsonSchema)]
struct Refusal {
    /// Human-readable description.
    message: String,
    /// Stable code and data of the failure.
    #[serde(flatten)]
    failure: serde_json::Map<String, Value>,
    #[serde(skip)]
    status: u16,
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Self {
        let encoded = match serde_json::to_value(&failure) {
            Ok(Value::Object(fields)) => fields,
            // Every variant serializes as a tagged object; otherwise at least the code is kept.
            _ => [("code".to_owned(), Value::from(failure.code()))]
                .into_iter()
                .collect(),
        };
        Self {
            message: failure.to_string(),
            failure: encoded,
            status: failure.status(),
        }
    }
}

impl From<HttpError> for Refusal {
    fn from(error: HttpError) -> Self {
        let status = error.status_code.as_u16();
        let reason = error.external_message;
        Self::from(if status < 500 {
            Failure::Request { status, reason }
        } else {
            Failure::Internal { reason }
        })
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl HttpResponseError for Refusal {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Executes a statement.
#[endpoint { method = POST, path = "/v1/statements" }]
async fn statements(
    context: RequestContext<Handlers>,
    body: TypedBody<wire::Request>,
) -> Result<HttpResponseOk<Value>, Refusal> {
    let request = parse(body.into_inner())?;
    let table = (context.context().statement)(request).await?;
    let encoded = serde_json::to_value(&table).map_err(|error| Failure::Internal {
        reason: error.to_string(),
    })?;
    Ok(HttpResponseOk(encoded))
}

/// Dumps the state.
#[endpoint { method = GET, path = "/v1/state" }]
async fn state(context: RequestContext<Handlers>) -> Result<HttpResponseOk<Value>, Refusal> {
    Ok(HttpResponseOk((context.context().state)()))
}

/// Encodes the metrics.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<Handlers>) -> Result<Response<Body>, Refusal> {
    let text = (context.context().metrics)();
    let response = Response::builder()
        .header(header::CONTENT_TYPE, METRICS_TYPE)
        .body(Body::from(text));
    response.map_err(|error| {
        let reason = error.to_string();
        Refusal::from(Failure::Internal { reason })
    })
}

/// Validates a request and parses its statement.
fn parse(request: wire::Request) -> Result<StatementRequest, Failure> {
    let statement: Statement =
        shallotrill_language::parse(&request.statement).map_err(Failure::Statement)?;
    let command = request
        .command
        .map(|id| id.parse::<command::Id>())
        .transpose()
        .map_err(|invalid| Failure::InvalidValue {
            key: "command".to_owned(),
            allowed: invalid.to_string(),
        })?;
    if statement.is_change() && command.is_none() {
        return Err(Failure::CommandMissing);
    }
    let operator = request.operator;
    let length = 1..=wire::OPERATOR_BYTES_MAX;
    if !length.contains(&operator.len()) || operator.chars().any(char::is_control) {
        let max = wire::OPERATOR_BYTES_MAX;
        return Err(Failure::InvalidValue {
            key: "operator".to_owned(),
            allowed: format!("a name of 1 to {max} bytes without control characters"),
        });
    }
    Ok(StatementRequest {
        statement,
        command,
        operator,
    })
}

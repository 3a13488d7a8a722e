//! Messages of the HTTP interface for operators.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /v1/statements`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Text of the statement.
    pub statement: String,
    /// Id of the command, 32 hexadecimal digits; required for statements that change the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub command: Option<String>,
    /// Name of the operator, stored in the history.
    pub operator: String,
}

/// Maximum length of the name of an operator in bytes.
pub const OPERATOR_BYTES_MAX: usize = 128;

/// Path of the endpoint for statements.
pub const STATEMENTS: &str = "/v1/statements";

//! HTTP interface for operators and its client.
//!
//! Control processes run the server, and `shallotctl` uses the client. Both
//! share the messages in [`wire`] and the refusals in [`failure`]. Statements
//! are executed by handlers that the control process supplies.

mod api;
pub mod client;
pub mod failure;
pub mod json;
pub mod node;
pub mod server;
pub mod wire;

pub use self::failure::Failure;

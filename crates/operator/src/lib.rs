//! The operators' HTTP interface and its client.
//!
//! The server half belongs to control processes and the client half to
//! `shallotctl`. Both share the messages in [`wire`] and the refusals in
//! [`failure`], and neither decides anything.

mod api;
pub mod client;
pub mod failure;
pub mod json;
pub mod node;
pub mod server;
pub mod wire;

pub use self::failure::Failure;

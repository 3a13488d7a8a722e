//! Protocol and connections between control processes.
//!
//! The control role serves the messages that are defined here. The replica of
//! the log itself is in the consensus package.

pub mod claims;
pub mod copy;
pub mod exchange;
pub mod forward;
pub mod hello;
pub mod log;
pub mod peers;

//! Protocol and client with which a node talks to control processes.
//!
//! The control role serves the messages that are defined here. Each request
//! can be repeated at another control process when its response was lost.

pub mod claim;
pub mod client;
pub mod feed;
pub mod lease;

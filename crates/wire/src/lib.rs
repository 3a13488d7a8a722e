//! HTTP code shared by the packages for callers, nodes and backend servers.
//!
//! Each header is defined here once, so that both sides of a connection
//! interpret it identically. Routing and retry decisions do not use these types.

pub mod body;
pub mod budget;
pub mod connection;
pub mod context;
pub mod dial;
pub mod hop;
pub mod listen;
pub mod load;
pub mod progress;
pub mod refusal;
pub mod status;

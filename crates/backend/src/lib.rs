//! The backend server as a peer: its announcements and the connections to it.
//!
//! Only the node beside a backend server talks to it, so requests in flight,
//! latency and failures are known here exactly and without a probe.

pub mod announce;
pub mod answer;
pub mod config;
mod connection;
pub mod failure;
pub mod head;
mod lease;
pub mod pool;
pub mod silence;

//! Communication of a node with its local backend server: announcements and connections.
//!
//! Only the local node sends requests to a backend server. Requests in flight,
//! latency and failures are therefore known here exactly and without probes.

pub mod announce;
pub mod config;
mod connection;
pub mod failure;
pub mod head;
mod lease;
pub mod pool;
pub mod response;
pub mod silence;

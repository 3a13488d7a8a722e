//! HTTP/2 connections between nodes, which carry forwarded requests.
//!
//! HTTP/2 matches responses to requests by stream and can cancel a single
//! request without closing the connection. Its pings detect a connection that
//! has become unresponsive while a response is outstanding.

pub mod failure;
mod flow;
pub mod listener;
pub mod pool;

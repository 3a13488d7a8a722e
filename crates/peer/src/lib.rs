//! Another node as a peer: HTTP/2 connections that carry forwarded requests.
//!
//! HTTP/2 matches answers to requests by stream, cancels a single request
//! without closing the connection, and its pings show a connection that has
//! gone silent while it owes an answer.

pub mod failure;
pub mod listener;
pub mod pool;

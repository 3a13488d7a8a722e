//! JSON-RPC between our own processes.
//!
//! Nodes talk to control processes, and control processes to each other, by
//! calls with an answer. This package holds what both have in common; the
//! messages belong to the packages of the peers.

pub mod envelope;
pub mod link;
pub mod server;

//! JSON-RPC between the processes of shallotrill.
//!
//! Nodes send requests to control processes, and control processes to each
//! other. This package contains the transport that both use; the message types
//! are defined in the packages of the peers.

pub mod envelope;
pub mod link;
pub mod server;

//! The node role: the process in the slot beside each backend server.
//!
//! A node takes calls from callers and from other nodes, chooses a target for
//! each, and is the only process that talks to its own backend server. The
//! decisions are made by the pure packages; this package holds their tables
//! under ranked locks and connects them to the peers.

mod attempt;
mod cache;
mod checked;
mod claims;
mod crash;
mod dump;
mod entry;
mod execution;
mod explain;
mod gate;
mod local;
mod metrics;
mod peers;
mod plan;
mod probe;
mod refuse;
mod resolution;
mod routes;
pub mod run;
mod shared;
mod slot;
mod state;
mod sync;

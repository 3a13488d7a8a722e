//! The node role: the proxy process that runs beside each backend server.
//!
//! A node accepts requests from callers and from other nodes, chooses a target
//! for each, and is the only process that connects to its local backend server.
//! Packages without I/O make the decisions; this package keeps their tables
//! under ranked locks and connects them to the network. The command
//! `shallotrill run` starts nodes and control processes; `shallotrill platform`
//! starts the router and registry roles instead.

mod attempt;
mod cache;
mod claims;
mod crash;
mod dump;
mod entry;
mod execution;
mod explain;
mod forwarded;
mod gate;
mod local;
mod metrics;
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
mod validation;

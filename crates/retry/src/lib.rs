//! Retry budget, hedging, request coalescing and crash containment.
//!
//! Each module decides from its arguments alone. The node keeps the tables,
//! sends the requests and reports their outcomes.

pub mod after;
pub mod budget;
pub mod call;
pub mod coalescing;
pub mod containment;
pub mod decision;
pub mod latency;
pub mod ledger;
pub mod second;

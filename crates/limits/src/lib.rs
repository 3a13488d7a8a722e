//! Admission at the target and the probe budget.
//!
//! The target's node is the only one that knows its load exactly, so the final
//! decision on each request is made here, and a refusal is a proven "not run".

pub mod config;
mod fairness;
pub mod gate;
mod limit;
pub mod probe;
mod queue;
pub mod ticket;

//! Admission control at the target, the budget of its probes, and the budget of a process for what it keeps for others.
//!
//! Only the target's node knows the exact load of the target, so it makes the
//! final decision on each request. A refusal proves that the request did not run.

pub mod allotment;
pub mod config;
pub mod connection;
mod fairness;
pub mod gate;
pub mod holder;
mod limit;
pub mod memory;
pub mod outlook;
pub mod pace;
pub mod probe;
pub mod process;
pub mod progress;
mod queue;
pub mod ticket;

//! Admission control at the target, and the budget of its probes.
//!
//! Only the target's node knows the exact load of the target, so it makes the
//! final decision on each request. A refusal proves that the request did not run.

pub mod config;
mod fairness;
pub mod gate;
mod limit;
pub mod outlook;
pub mod pace;
pub mod probe;
mod queue;
pub mod ticket;

//! Randomized soak test of the real program.
//!
//! [`plan`] generates the faults of a run from a seed, [`run`] executes them, [`ledger`] records what
//! callers, backend servers and operators observed, and [`check`] compares the records with the promises.

pub mod caller;
pub mod check;
pub mod layout;
pub mod ledger;
pub mod network;
pub mod operator;
pub mod plan;
pub mod program;
pub mod regressions;
pub mod run;
pub mod target;

//! A randomized soak of the real program.
//!
//! [`plan`] draws what happens from a seed, [`run`] makes it happen, [`ledger`] holds what callers,
//! backend servers and operators saw, and [`check`] compares that with the promises.

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

//! Randomized soak test of the real program.
//!
//! [`plan`] generates the faults of a run from a seed, [`run`] executes them, [`history`] records what
//! callers, backend servers and operators observed, and [`check`] compares the records with the invariants.

pub mod backend_server;
pub mod caller;
pub mod check;
pub mod history;
pub mod layout;
pub mod network;
pub mod operator;
pub mod plan;
pub mod program;
pub mod regressions;
pub mod run;
pub mod statements;
pub mod workspaces;

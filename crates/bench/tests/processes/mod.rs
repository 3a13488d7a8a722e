//! Test cases with real processes, and the installation that they run in.

pub(crate) mod control;
pub(crate) mod deposits;
mod fixture;
mod load;
pub(crate) mod operators;

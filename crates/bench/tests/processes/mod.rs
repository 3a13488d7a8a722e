//! Cases with real processes, and the installation that they use.

pub(crate) mod control;
pub(crate) mod deposits;
mod load;
pub(crate) mod operators;
mod scene;

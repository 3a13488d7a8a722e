//! Choice of a target for each request from load reports that may be stale.
//!
//! Every node learns the load of a target with a delay, and many nodes choose at once.
//! This package keeps load estimates with their age and chooses targets so that a stale
//! report causes no herding and a target that fails fast attracts no load.

pub mod choice;
mod cold;
pub mod config;
mod draw;
mod entry;
mod evacuation;
mod member;
pub mod policy;
pub mod sample;
mod score;
pub mod table;

pub use table::Table;

//! Choice of a target from aged load reports.
//!
//! Every node sees the load of a target late, and many nodes choose at once.
//! This package keeps load estimates that state their age and picks targets so
//! that a stale report attracts no herd and a fast failure attracts no load.

pub mod choice;
pub mod config;
mod draw;
mod entry;
mod member;
pub mod policy;
pub mod sample;
mod score;
pub mod table;

pub use table::Table;

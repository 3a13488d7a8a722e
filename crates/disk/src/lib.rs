//! The data folder: identity, journal and snapshots on one disk.
//!
//! Files are durable only once they and their directory are synced. This package
//! keeps that order in one place, and names file and offset of any damage.

pub mod calls;
pub mod counters;
pub mod document;
pub mod failure;
pub mod folder;
mod frame;
pub mod identity;
pub mod journal;
pub mod position;
pub mod refusal;
pub mod replay;
mod segment;
pub mod snapshot;
mod writer;

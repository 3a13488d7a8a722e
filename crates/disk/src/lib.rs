//! Durable storage in the data folder of a process: disk identity, journals, snapshots and documents.
//!
//! A new file is durable only after both the file and its directory were synced.
//! This package implements that order, and reports the file and offset of corruption.

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

//! Routes, services and limits as items with versions of their own.
//!
//! There is no version of the whole: for each item the highest version is in
//! force, whether it sets or removes the item. The replicas of the registry
//! agree on each item by itself, so two items never wait for each other. Pure:
//! no I/O, no encoding, no clock.

pub mod ballot;
pub mod change;
pub mod check;
pub mod digest;
pub mod item;
pub mod proposal;
pub mod replica;
pub mod roster;
pub mod route;
pub mod split;
pub mod table;

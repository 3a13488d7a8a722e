//! Versioned configuration items (routes, services, workspaces and limits) and the protocol
//! by which registry replicas agree on them.
//!
//! The configuration as a whole has no version: for each item the highest
//! committed version is in effect, also if it removes the item. The replicas
//! agree on each item separately, so a change of one item never waits for
//! another.
//! The crate performs no I/O, encodes nothing and reads no clock.
//!
//! Routers and registry processes, the roles of `shallotrill platform`, use it.
//! Control processes, a role of `shallotrill run`, keep the configuration in
//! `shallotrill-catalog` instead.

pub mod ballot;
pub mod change;
pub mod check;
pub mod evacuation;
mod holder;
pub mod item;
pub mod item_set_hash;
pub mod proposal;
pub mod replica;
pub mod roster;
pub mod route;
pub mod split;
mod stored;
pub mod table;
pub mod voters;
pub mod workspace;

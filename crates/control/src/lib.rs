//! The control role: the process on an instance with a disk.
//!
//! Control processes keep the configuration in a replicated log and the records
//! of non-idempotent requests in registers at a majority. They hold the leases
//! of targets and send nodes incremental updates. The decisions are made by
//! packages without I/O; this package keeps their tables under ranked locks
//! and connects them to the disk and the peers. The command `shallotrill run`
//! starts control processes and nodes; `shallotrill platform` starts the registry
//! and router roles instead.

mod bootstrap;
mod claims;
mod crashes;
mod driver;
mod dump;
mod feed;
mod group;
mod identity;
mod join;
mod members;
mod metrics;
mod nodes;
mod replace;
mod retention;
mod rpc;
pub mod run;
mod show;
mod state;
mod statements;
mod store;
mod submit;

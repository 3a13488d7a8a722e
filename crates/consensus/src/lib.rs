//! The replicated log of the control processes, a variant of Raft.
//!
//! This package only makes decisions: it uses no socket, file, codec or clock.
//! A driver passes messages and the time to [`Replica`], and processes each
//! [`Ready`] in the order of its fields.

pub mod change;
pub mod config;
pub mod disk;
mod election;
pub mod entry;
pub mod failure;
mod follower;
mod leader;
mod log;
pub mod member;
pub mod message;
pub mod read;
pub mod ready;
mod replica;
mod replication;
pub mod restored;
mod snapshot_transfer;
pub mod status;

pub use config::Config;
pub use message::Message;
pub use ready::Ready;
pub use replica::Replica;
pub use restored::Restored;
pub use status::Status;

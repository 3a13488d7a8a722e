//! The replicated log of the control processes, in the style of Raft.
//!
//! This package decides and does nothing else: it knows no socket, no file, no
//! codec and no clock. A driver feeds [`Replica`] with messages and time, and
//! carries out each [`Ready`] in the order of its fields.

pub mod change;
pub mod config;
pub mod disk;
mod election;
pub mod entry;
pub mod failure;
mod feed;
mod follower;
mod leader;
mod log;
pub mod member;
pub mod message;
pub mod read;
pub mod ready;
mod replica;
pub mod restored;
mod snapshots;
pub mod status;

pub use config::Config;
pub use message::Message;
pub use ready::Ready;
pub use replica::Replica;
pub use restored::Restored;
pub use status::Status;

//! The replicated state machine of the configuration.
//!
//! Every control process applies the commands of the replicated log in the same
//! order and with the same result. Nodes receive the changes as differences.

pub mod action;
mod apply;
pub mod command;
pub mod difference;
pub mod entry;
pub mod field;
pub mod group;
pub mod history;
pub mod member;
pub mod patch;
pub mod release;
pub mod removal;
pub mod reply;
pub mod reply_cache;
pub mod state;
pub mod usage;
pub mod view;

//! The configuration state machine.
//!
//! Commands come from the replicated log in one order and are applied by every
//! control process with the same result. Nodes follow by differences.

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
pub mod sent;
pub mod state;
pub mod usage;
pub mod view;

//! Membership of targets: announcements, incarnations, leases and expiry.
//!
//! Backend servers are not configured in a list: their nodes announce them, and control
//! processes hold leases for them. Several control processes replicate the same table, so
//! every row has a stamp and the row with the greatest stamp replaces the others everywhere.

pub mod announcement;
pub mod change;
pub mod config;
pub mod difference;
mod exchange;
mod expiry;
pub mod incarnation;
mod lease;
pub mod owner;
pub mod reachability;
pub mod row;
mod select;
pub mod table;
pub mod version;
pub mod view;

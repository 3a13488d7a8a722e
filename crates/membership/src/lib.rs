//! Announcements, incarnations, leases and expiry of targets.
//!
//! There is no list of backend servers: they announce themselves, and control
//! processes hold leases for them. Several control processes hold the same
//! table, so every row has a stamp and the greatest stamp wins everywhere.

pub mod announcement;
pub mod change;
pub mod config;
pub mod contact;
pub mod difference;
mod exchange;
mod expiry;
pub mod incarnation;
mod lease;
pub mod owner;
pub mod row;
mod select;
pub mod table;
pub mod version;
pub mod view;

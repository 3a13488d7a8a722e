//! The registry role.
//!
//! A few processes with disks store the items that operators configure, and
//! report to the routers which backend servers are announced. The group forms
//! and repairs itself: a process needs a few seed addresses and no list of the
//! other members.

pub mod announcements;
pub mod members;
pub mod metrics;
pub mod propose;
pub mod run;
pub mod settings;
pub mod state;
pub mod store;

//! The registry role.
//!
//! A few processes with disks hold the items that operators configure, and tell
//! the routers which backend servers have announced themselves. The group forms
//! and repairs itself: a process needs a few addresses to start from and no
//! list of the others.

pub mod announcements;
pub mod members;
pub mod metrics;
pub mod propose;
pub mod run;
pub mod settings;
pub mod state;
pub mod store;

//! The registry role.
//!
//! A few processes with disks store the items that operators configure, and
//! report to the routers which backend servers are announced. The group forms
//! and repairs itself: a process needs a few seed addresses and no list of the
//! other members. The command `shallotrill platform` starts registry processes
//! and routers; `shallotrill run` starts the control and node roles instead.

pub mod allotments;
pub mod announcements;
pub mod departures;
mod election;
pub mod evacuations;
mod maintenance;
pub mod members;
pub mod metrics;
pub mod propose;
pub mod run;
pub mod settings;
pub mod state;
pub mod store;
pub mod view;

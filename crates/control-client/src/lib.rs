//! A control process as a node sees it.
//!
//! The messages are defined here once; the control role answers them. All of
//! them can be repeated at another control process when an answer was lost.

pub mod claim;
pub mod client;
pub mod feed;
pub mod lease;

//! Another control process as a control process sees it.
//!
//! The messages are defined here once; the control role answers them.

pub mod claims;
pub mod copy;
pub mod exchange;
pub mod forward;
pub mod hello;
pub mod log;
pub mod peers;

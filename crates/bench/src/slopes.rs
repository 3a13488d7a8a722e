//! Means to measure how the cost of control grows.
//!
//! Control processes are real and in processes of their own. Nodes are
//! stand-ins that hold a lease and pull the feed; many run in one process.
//! Bytes are counted by a relay in front of each control process: they are
//! the payload of TCP, without the headers of TCP and IP.

pub mod fit;
pub mod fleet;
pub mod node;
pub mod place;
pub mod process;
pub mod relay;

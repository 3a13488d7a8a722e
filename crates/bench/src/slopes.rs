//! Measures how the cost of control processes grows with the size of an installation.
//!
//! Control processes run as separate operating system processes. Nodes are
//! stand-ins that renew a lease and pull the feed; many run in one process.
//! Bytes are counted by a relay in front of each control process: they are
//! the payload of TCP, without the headers of TCP and IP.

pub mod fit;
pub mod fleet;
pub mod node;
pub mod node_process;
pub mod process;
pub mod relay;

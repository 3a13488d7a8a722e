//! HTTP pieces that the packages for callers, nodes and backend servers share.
//!
//! Decision code never sees these types. They exist once so that a header means
//! the same on both sides of a connection.

pub mod body;
pub mod context;
pub mod dial;
pub mod hop;
pub mod listen;
pub mod load;
pub mod refusal;

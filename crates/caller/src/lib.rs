//! The caller as a peer: its HTTP/1.1 listener and the checks of its requests.
//!
//! The node role sees [`call::Call`] values and answers with responses; all
//! reading of the caller's bytes happens here.

pub mod call;
pub mod head;
pub mod listener;

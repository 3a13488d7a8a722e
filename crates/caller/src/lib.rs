//! Communication of a node with callers: the HTTP/1.1 listener and the checks of requests.
//!
//! All parsing of bytes from callers happens in this package. The node receives
//! [`call::Call`] values and returns responses.

pub mod ahead;
pub mod call;
pub mod head;
pub mod listener;

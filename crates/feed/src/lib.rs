//! Messages between our own processes: routers and registry processes.
//!
//! A connection carries one request at a time, each answered by one reply. A
//! frame is its length and a `postcard` body. The watch is a long poll: its
//! reply comes when something has changed, or after the wait that it names, so
//! a quiet system exchanges one small message a second for each pair.

pub mod frame;
pub mod link;
pub mod message;
pub mod note;
pub mod server;

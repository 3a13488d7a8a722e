//! Messages between routers and registry processes, with their framing and connections.
//!
//! A connection carries one request at a time, and each request gets one reply.
//! A frame consists of its length, the message version and a body encoded with
//! `postcard`. A watch is a long poll: its reply is sent when something has
//! changed or after the wait that the request specifies. An idle system
//! therefore exchanges one small message per second for each pair of processes.
//!
//! Routers and registry processes are the roles of `shallotrill platform`. The roles
//! of `shallotrill run`, node and control process, do not use this protocol.

pub mod directory;
pub mod frame;
pub mod link;
pub mod message;
pub mod note;
pub mod server;

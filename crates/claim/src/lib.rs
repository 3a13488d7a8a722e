//! Per-key registers that make a non-idempotent request run at most once.
//!
//! Each idempotency key is an independent register, replicated at the members
//! of a claim group and changed by compare-and-set with ballots. This package
//! only makes decisions: it uses no clock, socket, disk or encoding.

pub mod acceptor;
pub mod ballot;
pub mod change;
pub mod epoch;
pub mod grant;
pub mod grant_expiry;
pub mod horizon_clock;
pub mod journal;
pub mod key;
pub mod message;
pub mod proposer;
pub mod record;
pub mod table;

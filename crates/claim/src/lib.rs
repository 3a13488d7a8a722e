//! Per-key registers that make a non-idempotent request run at most once.
//!
//! Each idempotency key is an independent register, replicated at the members
//! of a claim group and changed by compare-and-set with ballots. This package
//! holds the decisions only: no clock, no socket, no disk and no encoding.

pub mod acceptor;
pub mod ballot;
pub mod change;
pub mod epoch;
pub mod grant;
pub mod journal;
pub mod key;
pub mod lapse;
pub mod message;
pub mod pace;
pub mod proposer;
pub mod record;
pub mod table;

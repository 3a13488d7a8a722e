//! Settings, signals, logs, metrics and facts about the process.
//!
//! The platform is the peer that starts, watches and stops a process: this
//! package reads what the platform provides and reports what it asks for.

pub mod calendar;
pub mod clock;
pub mod log;
pub mod metrics;
pub mod output;
pub mod process;
pub mod settings;
pub mod signal;

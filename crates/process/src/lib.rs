//! Settings, signals, logs, metrics, clock and information about the process.
//!
//! The supervisor is the peer that starts, monitors and stops a process. This package reads the
//! settings and signals that the supervisor provides, and writes the logs and metrics that it collects.

pub mod calendar;
pub mod clock;
pub mod holders;
pub mod log;
pub mod metrics;
pub mod output;
pub mod process;
pub mod settings;
pub mod signal;

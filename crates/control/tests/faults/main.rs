//! Faults at every step, as tables of cases, through real control processes with real disks.

mod claims;
mod configuration;
mod operators;
mod scene;

//! Fault injection into running control processes with data on disk, as tables of cases.

mod claims;
mod configuration;
mod fixtures;
mod operators;

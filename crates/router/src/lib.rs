//! The router role.
//!
//! A router runs on the instance of each backend server. It accepts requests of
//! the callers on its instance, chooses a target, and forwards the request to
//! the router of that target; only that router connects to the backend server.
//! The registries supply the configuration in force and the announced targets.
//! The command `shallotrill platform` starts routers and registry processes;
//! `shallotrill run` starts the node and control roles instead.

pub mod allotment;
pub mod attempt;
pub mod backend;
pub mod cold;
pub mod crashes;
pub mod departure;
mod download;
pub mod entry;
pub mod evacuation;
mod execution;
pub mod follow;
pub mod forwarded;
pub mod grace;
pub mod metrics;
pub mod names;
pub mod notice;
pub mod outlook;
pub mod pacer;
pub mod probe;
pub mod reading;
mod refusal;
pub mod retired;
pub mod run;
pub mod second;
pub mod serve;
pub mod settings;
pub mod slot;
pub mod state;

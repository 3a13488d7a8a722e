//! The router role.
//!
//! A router runs beside each backend server. It takes the requests of the
//! callers on its instance, chooses a target, and sends the request to the
//! router beside that target, which alone talks to the backend server there.
//! What is in force and who has announced itself comes from the registries.

pub mod attempt;
pub mod backend;
pub mod crashes;
pub mod entry;
pub mod follow;
pub mod forwarded;
pub mod metrics;
pub mod names;
pub mod probe;
pub mod run;
pub mod serve;
pub mod settings;
pub mod slot;
pub mod state;

//! Names, identifiers, time and data types shared by every package.
//!
//! This package sits below all others. It knows no encoding, no socket and no
//! clock: the pure packages exchange these types, and each peer package maps
//! them to the messages of its own peer.

pub mod attempt;
pub mod class;
pub mod command;
pub mod digest;
mod hex;
pub mod incarnation;
pub mod instance;
pub mod load;
mod name;
pub mod outcome;
pub mod partner;
pub mod region;
pub mod request;
pub mod revision;
pub mod service;
pub mod target;
pub mod time;
pub mod zone;

pub use name::Invalid;

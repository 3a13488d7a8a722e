//! Names, identifiers, time and data types shared by every package.
//!
//! This is the lowest layer of the workspace. It contains no wire encoding, no
//! network I/O and no access to clocks. Packages without I/O exchange these
//! types directly, and each peer package converts them to and from the messages
//! of its peer.

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
pub mod rate;
pub mod region;
pub mod request;
pub mod revision;
pub mod service;
pub mod target;
pub mod time;
pub mod workspace;
pub mod zone;

pub use name::Invalid;

//! Benches, the slope tool and stand-ins for the outside systems.
//!
//! Nothing here is shipped. The stand-ins speak the published protocols of a
//! backend server and a caller, so that the whole path can run on one machine.

pub mod backend;
pub mod cluster;
pub mod forward;
pub mod group;
pub mod http;
pub mod load;
pub mod noise;
pub mod operate;
pub mod scenario;
pub mod slopes;
pub mod usage;

//! Benchmarks, cost measurements and stand-ins for backend servers, nodes and callers.
//!
//! This package is not shipped. The stand-ins implement the published protocols
//! of a backend server and a caller, so that the complete request path can run
//! on one machine.

pub mod backend;
pub mod cluster;
pub mod fault_proxy;
pub mod group;
pub mod http;
pub mod load;
pub mod noise;
pub mod operate;
pub mod scenario;
pub mod slopes;
pub mod usage;

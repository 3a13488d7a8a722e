//! Contract tests of the node role: one node between raw HTTP callers and a backend server of the test.

mod common;
mod control;
mod edge;
mod peers;
mod stop;

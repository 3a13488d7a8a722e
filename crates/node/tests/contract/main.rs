//! The node role alone, between raw callers and a backend server of the test.

mod common;
mod control;
mod edge;
mod peers;
mod stop;

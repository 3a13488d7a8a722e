//! The pool of connections, against a backend server of raw bytes.

mod answers;
mod common;
mod connections;

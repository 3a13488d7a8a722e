//! Tests of the connection pool against a backend server that sends raw bytes.

mod answers;
mod common;
mod connections;

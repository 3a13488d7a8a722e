//! Tests of the connection pool against a backend server that sends raw bytes.

mod common;
mod connections;
mod endless;
mod responses;

//! The process that runs everywhere.

fn main() {}

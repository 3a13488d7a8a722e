//! Grammar of the operators' statements.

//! The configuration state machine.

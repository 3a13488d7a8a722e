//! Benches, the slope tool and stand-ins for the outside systems.

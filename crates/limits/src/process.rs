//! Limits of a process, from its settings.

use crate::connection;
use crate::memory;

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_bytes: memory::MEMORY_DEFAULT_BYTES,
            descriptors: connection::DESCRIPTORS_DEFAULT,
        }
    }
}

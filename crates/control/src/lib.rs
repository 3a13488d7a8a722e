//! The control role: the process on an instance with a disk.

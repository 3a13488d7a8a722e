//! The data folder: checksummed log, snapshots and disk identity.

//! Errors of appends and snapshots.

use std::error;
use std::fmt;

use crate::failure::Failure;
use crate::position::Position;

/// Why an append or a snapshot was refused.
#[derive(Clone, Debug)]
pub enum Refusal {
    /// The disk is full; later appends may succeed when space is available again.
    Full {
        /// Size of the frame in bytes.
        bytes: u64,
        /// Number of reservation attempts so far, to be passed to `Journal::wait_for_space`.
        attempt: u64,
    },
    /// Space for the next segment is being reserved.
    Busy {
        /// Size of the frame in bytes.
        bytes: u64,
        /// Number of reservation attempts so far, to be passed to `Journal::wait_for_space`.
        attempt: u64,
    },
    /// The frame does not fit into a segment.
    TooLarge {
        /// Size of the frame in bytes.
        bytes: u64,
        /// Maximum size of a frame in bytes.
        limit: u64,
    },
    /// The snapshot covers frames that are not durable.
    NotDurable {
        /// Last frame that the snapshot covers.
        covers: Position,
        /// Last durable frame.
        durable: Position,
    },
    /// Another snapshot is being written.
    SnapshotRunning,
    /// The snapshot could not be written or old segments could not be removed; the journal continues to work.
    Snapshot(Failure),
    /// The journal has failed and accepts no frames until it is opened again.
    Failed(Failure),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full { bytes, .. } => write!(f, "the disk is full: no space for {bytes} bytes"),
            Self::Busy { bytes, .. } => write!(f, "space for {bytes} bytes is not reserved yet"),
            Self::TooLarge { bytes, limit } => {
                write!(
                    f,
                    "a frame of {bytes} bytes exceeds the limit of {limit} bytes"
                )
            }
            Self::NotDurable { covers, durable } => {
                write!(
                    f,
                    "cannot write a snapshot up to position {covers}: only positions up to {durable} are durable"
                )
            }
            Self::SnapshotRunning => write!(f, "another snapshot is being written"),
            Self::Snapshot(failure) => write!(f, "writing a snapshot failed: {failure}"),
            Self::Failed(failure) => write!(f, "the journal has failed: {failure}"),
        }
    }
}

impl error::Error for Refusal {}

//! Refusals of a journal.

use std::error;
use std::fmt;

use crate::failure::Failure;
use crate::position::Position;

/// Why an append or a snapshot was refused.
#[derive(Clone, Debug)]
pub enum Refusal {
    /// The disk is full; later appends may succeed when space returns.
    Full {
        /// Bytes asked for.
        bytes: u64,
        /// For `Journal::space`.
        attempt: u64,
    },
    /// Space for the next segment is being reserved.
    Busy {
        /// Bytes asked for.
        bytes: u64,
        /// For `Journal::space`.
        attempt: u64,
    },
    /// The frame does not fit a segment.
    TooLarge {
        /// Bytes asked for.
        bytes: u64,
        /// Bytes that fit.
        limit: u64,
    },
    /// The snapshot covers frames that are not durable.
    NotDurable {
        /// Last frame covered.
        covers: Position,
        /// Last frame that is durable.
        durable: Position,
    },
    /// Another snapshot is being written.
    SnapshotRunning,
    /// The snapshot could not be written or old segments not removed; the journal goes on.
    Snapshot(Failure),
    /// The journal has failed and takes nothing more until it is opened again.
    Failed(Failure),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full { bytes, .. } => write!(f, "the disk is full: no space for {bytes} bytes"),
            Self::Busy { bytes, .. } => write!(f, "space for {bytes} bytes is not reserved yet"),
            Self::TooLarge { bytes, limit } => {
                write!(f, "a frame of {bytes} bytes exceeds the {limit} that fit")
            }
            Self::NotDurable { covers, durable } => {
                write!(
                    f,
                    "a snapshot up to {covers}, but only {durable} is durable"
                )
            }
            Self::SnapshotRunning => write!(f, "another snapshot is being written"),
            Self::Snapshot(failure) => write!(f, "the snapshot failed: {failure}"),
            Self::Failed(failure) => write!(f, "the journal has failed: {failure}"),
        }
    }
}

impl error::Error for Refusal {}

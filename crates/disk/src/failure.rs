//! Errors of the storage, with the file concerned.

use std::error;
use std::fmt;
use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::identity::Identity;
use crate::position::Position;

/// Operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Create a file or folder.
    Create,
    /// Open or read a file or folder.
    Read,
    /// Write a file.
    Write,
    /// Sync a file or folder.
    Sync,
    /// Reserve space for a file.
    Reserve,
    /// Rename a file.
    Rename,
    /// Remove a file.
    Remove,
    /// Start the writer thread.
    Thread,
}

/// Kind of corruption of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// The file does not begin with the expected magic number.
    Magic,
    /// The format version is not supported.
    Version(u32),
    /// A checksum does not match.
    Checksum,
    /// A frame or segment has an unexpected position.
    Order {
        /// Expected position.
        expected: Position,
        /// Actual position.
        found: Position,
    },
    /// The file ends within a header.
    Short,
}

/// Error of a storage operation.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The operating system reported an error.
    Io {
        /// The file.
        path: Arc<Path>,
        /// Operation that failed.
        operation: Operation,
        /// Error of the operating system.
        error: Arc<io::Error>,
    },
    /// Another process uses the folder.
    Locked {
        /// The lock file.
        path: Arc<Path>,
    },
    /// The folder contains data but no identity.
    NoIdentity {
        /// The folder.
        path: Arc<Path>,
    },
    /// The file belongs to another disk.
    WrongIdentity {
        /// The file.
        path: Arc<Path>,
        /// Identity of the folder.
        expected: Identity,
        /// Identity in the file.
        found: Identity,
    },
    /// The content of a file is corrupt.
    Damaged {
        /// The file.
        path: Arc<Path>,
        /// Offset of the corruption in bytes.
        offset: u64,
        /// Kind of corruption.
        damage: Corruption,
    },
    /// The file contains another segment than its name states.
    Swapped {
        /// The file.
        path: Arc<Path>,
        /// Segment number in the file name.
        expected: u64,
        /// Segment number in the header.
        found: u64,
    },
    /// A segment is missing.
    Missing {
        /// Expected path of the segment.
        path: Arc<Path>,
        /// Number of the segment.
        segment: u64,
    },
    /// The write was not begun because the process is stopping.
    Stopping,
}

impl Failure {
    pub(crate) fn io(path: &Path, operation: Operation, error: io::Error) -> Self {
        Self::Io {
            path: Arc::from(path),
            operation,
            error: Arc::new(error),
        }
    }

    pub(crate) fn damaged(path: &Path, offset: usize, damage: Corruption) -> Self {
        Self::Damaged {
            path: Arc::from(path),
            offset: offset as u64,
            damage,
        }
    }

    /// Whether the disk has no space left.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Io { error, .. } if error.kind() == io::ErrorKind::StorageFull)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io {
                path,
                operation,
                error,
            } => write!(f, "{}: {operation:?} failed: {error}", path.display()),
            Self::Stopping => {
                f.write_str("the write was not begun because the process is stopping")
            }
            Self::Locked { path } => write!(
                f,
                "{}: the data folder is used by another process",
                path.display()
            ),
            Self::NoIdentity { path } => {
                write!(
                    f,
                    "{}: the folder contains data but no identity file",
                    path.display()
                )
            }
            Self::WrongIdentity {
                path,
                expected,
                found,
            } => write!(
                f,
                "{}: belongs to disk {found}, not to disk {expected}",
                path.display()
            ),
            Self::Damaged {
                path,
                offset,
                damage,
            } => write!(
                f,
                "{}: damaged at offset {offset}: {damage:?}",
                path.display()
            ),
            Self::Swapped {
                path,
                expected,
                found,
            } => write!(
                f,
                "{}: contains segment {found} instead of {expected}",
                path.display()
            ),
            Self::Missing { path, segment } => {
                write!(f, "{}: segment {segment} is missing", path.display())
            }
        }
    }
}

impl error::Error for Failure {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Io { error, .. } => Some(error.as_ref()),
            _ => None,
        }
    }
}

//! Failures of the disk.

use std::error;
use std::fmt;
use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::identity::Identity;
use crate::position::Position;

/// What the disk was asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Create a file or folder.
    Create,
    /// Open or read.
    Read,
    /// Write.
    Write,
    /// Sync a file or folder.
    Sync,
    /// Reserve space.
    Reserve,
    /// Rename.
    Rename,
    /// Remove.
    Remove,
    /// Start the writer thread.
    Thread,
}

/// What is wrong with the content of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// The file does not begin with the expected magic number.
    Magic,
    /// The format version is not known.
    Version(u32),
    /// A checksum does not match.
    Checksum,
    /// A frame is out of order.
    Order {
        /// The position expected.
        expected: Position,
        /// The position found.
        found: Position,
    },
    /// The file ends within a header.
    Short,
}

/// A failure of the disk, with the file concerned.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The operating system reported an error.
    Io {
        /// The file.
        path: Arc<Path>,
        /// What was asked for.
        operation: Operation,
        /// The error.
        error: Arc<io::Error>,
    },
    /// Another process uses the folder.
    Locked {
        /// The lock file.
        path: Arc<Path>,
    },
    /// The folder holds data but no identity.
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
    /// The content of a file is damaged.
    Damaged {
        /// The file.
        path: Arc<Path>,
        /// Where the damage was found.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /// The file holds another segment than its name says.
    Swapped {
        /// The file.
        path: Arc<Path>,
        /// Number in the name.
        expected: u64,
        /// Number in the file.
        found: u64,
    },
    /// A segment is missing.
    Missing {
        /// Where it should be.
        path: Arc<Path>,
        /// Its number.
        segment: u64,
    },
}

impl Failure {
    pub(crate) fn io(path: &Path, operation: Operation, error: io::Error) -> Self {
        Self::Io {
            path: Arc::from(path),
            operation,
            error: Arc::new(error),
        }
    }

    pub(crate) fn damaged(path: &Path, offset: usize, damage: Damage) -> Self {
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
            Self::Locked { path } => write!(f, "{}: used by another process", path.display()),
            Self::NoIdentity { path } => {
                write!(f, "{}: data without an identity file", path.display())
            }
            Self::WrongIdentity {
                path,
                expected,
                found,
            } => write!(f, "{}: of disk {found}, not {expected}", path.display()),
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
                "{}: holds segment {found}, not {expected}",
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

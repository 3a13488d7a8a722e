//! Errors of loading and validating settings.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use shallotrill_model::Invalid;

/// Why settings could not be loaded.
#[derive(Debug)]
pub enum Error {
    /// The file could not be read.
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is invalid.
    Invalid {
        /// The file.
        file: PathBuf,
        /// All invalid values in the order of the file; never empty.
        invalid_values: Vec<InvalidValue>,
    },
}

/// An invalid value or syntax error, with its position in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// The key, prefixed with its table.
    pub key: String,
    /// What is wrong and which values are allowed.
    pub kind: Kind,
}

/// Why a value is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The text is not TOML, a key is unknown or missing, or a value has the wrong type.
    Syntax {
        /// Message of the parser: what it found and what it expects.
        message: String,
    },
    /// A name is not valid.
    Name(Invalid),
    /// The log level is unknown.
    Level {
        /// The value in the file.
        found: String,
    },
    /// The routing policy is unknown.
    Policy {
        /// The value in the file.
        found: String,
    },
    /// The text is not an IP address with a port.
    Address {
        /// The value in the file.
        found: String,
    },
    /// Another process cannot connect to the address.
    NotReachable {
        /// The value in the file.
        found: SocketAddr,
    },
    /// The listen address is unspecified, so other nodes cannot connect to it, and no address to advertise is set.
    AdvertiseMissing,
    /// An address is listed twice.
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
    },
    /// Two listeners use the same port.
    PortInUse {
        /// The port.
        port: u16,
        /// The key that uses it already.
        other: &'static str,
    },
    /// A number is out of range.
    Range {
        /// The value in the file.
        found: u64,
        /// Lowest value allowed.
        lowest: u64,
        /// Highest value allowed.
        highest: u64,
    },
    /// A list is empty.
    Empty,
    /// An id is listed twice.
    DuplicateId {
        /// The id.
        id: u64,
    },
    /// The process lists itself among its peers.
    OwnId {
        /// The id.
        id: u64,
    },
    /// A voter is neither this process nor one of its peers.
    UnknownId {
        /// The id.
        id: u64,
    },
    /// The file does not have exactly one role.
    Role {
        /// Whether both tables are present; otherwise neither is.
        both: bool,
    },
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { message } => f.write_str(message),
            Self::Name(invalid) => write!(f, "{invalid}"),
            Self::Level { found } => write!(
                f,
                "level {found:?} is not one of off, error, warn, info, debug and trace"
            ),
            Self::Policy { found } => write!(
                f,
                "policy {found:?} is not one of scored, random, round-robin and least-in-flight"
            ),
            Self::Address { found } => write!(
                f,
                "{found:?} is not an IP address with a port, such as 127.0.0.1:7000; host names are not allowed"
            ),
            Self::NotReachable { found } => write!(
                f,
                "no process can connect to {found}; set a specific IP address and a port from 1 to 65535"
            ),
            Self::AdvertiseMissing => f.write_str(
                "the address is unspecified, so node.peer_advertise is required, which other nodes connect to",
            ),
            Self::DuplicateAddress { address } => {
                write!(f, "{address} is listed twice; addresses are unique")
            }
            Self::PortInUse { port, other } => write!(
                f,
                "port {port} is already used by {other}; each listener needs its own port"
            ),
            Self::Range {
                found,
                lowest,
                highest,
            } => write!(f, "{found} is not in the range {lowest} to {highest}"),
            Self::Empty => f.write_str("the list is empty; at least one entry is required"),
            Self::DuplicateId { id } => write!(f, "id {id} is listed twice; ids are unique"),
            Self::OwnId { id } => write!(
                f,
                "id {id} is this process; list only the other control processes"
            ),
            Self::UnknownId { id } => write!(
                f,
                "id {id} is neither this process nor listed in control.peers"
            ),
            Self::Role { both: true } => {
                f.write_str("[node] and [control] are both present; exactly one is allowed")
            }
            Self::Role { both: false } => {
                f.write_str("neither [node] nor [control] is present; exactly one is required")
            }
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, source } => {
                write!(f, "{} could not be read: {source}", file.display())
            }
            Self::Invalid {
                file,
                invalid_values,
            } => {
                for (index, invalid) in invalid_values.iter().enumerate() {
                    if index > 0 {
                        writeln!(f)?;
                    }
                    let InvalidValue { line, column, .. } = invalid;
                    let (key, kind) = (&invalid.key, &invalid.kind);
                    write!(f, "{}:{line}:{column}: {key}: {kind}", file.display())?;
                }
                Ok(())
            }
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Read { source, .. } => Some(source),
            Self::Invalid { .. } => None,
        }
    }
}

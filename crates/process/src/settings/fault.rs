//! What can be wrong with settings.

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
        /// The error of the system.
        source: io::Error,
    },
    /// The file holds faults; there is at least one.
    Invalid {
        /// The file.
        file: PathBuf,
        /// All faults in the order of the file.
        faults: Vec<Fault>,
    },
}

/// A fault at one place of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// The key with its table.
    pub key: String,
    /// What is wrong and what is allowed.
    pub kind: Kind,
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The text is not TOML, a key is unknown or missing, or a value has another type.
    Form {
        /// What the parser found and what it allows.
        message: String,
    },
    /// A name is not valid.
    Name(Invalid),
    /// The level of logs is unknown.
    Level {
        /// What was found.
        found: String,
    },
    /// The policy of the choice of targets is unknown.
    Policy {
        /// What was found.
        found: String,
    },
    /// The text is not an IP address with a port.
    Address {
        /// What was found.
        found: String,
    },
    /// Another process cannot connect to the address.
    NotReachable {
        /// What was found.
        found: SocketAddr,
    },
    /// Other nodes cannot connect to an unspecified address, and no other one is stated.
    AdvertiseNeeded,
    /// An address is listed twice.
    AddressTwice {
        /// The address.
        address: SocketAddr,
    },
    /// Two listeners use the same port.
    PortUsed {
        /// The port.
        port: u16,
        /// The key that uses it already.
        other: &'static str,
    },
    /// A number is out of its range.
    Range {
        /// What was found.
        found: u64,
        /// Lowest value allowed.
        lowest: u64,
        /// Highest value allowed.
        highest: u64,
    },
    /// A list is empty.
    Empty,
    /// An id is listed twice.
    Twice {
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
    /// There is not exactly one role.
    Role {
        /// Whether both tables are there; otherwise neither is.
        both: bool,
    },
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form { message } => f.write_str(message),
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
                "no process can connect to {found}; state a specific IP address and a port from 1 to 65535"
            ),
            Self::AdvertiseNeeded => f.write_str(
                "the address is unspecified, so node.peer_advertise is needed; other nodes connect to it",
            ),
            Self::AddressTwice { address } => {
                write!(f, "{address} is listed twice; addresses are unique")
            }
            Self::PortUsed { port, other } => write!(
                f,
                "port {port} is already used by {other}; each listener needs its own"
            ),
            Self::Range {
                found,
                lowest,
                highest,
            } => write!(f, "{found} is not in the range {lowest} to {highest}"),
            Self::Empty => f.write_str("the list is empty; at least one entry is needed"),
            Self::Twice { id } => write!(f, "id {id} is listed twice; ids are unique"),
            Self::OwnId { id } => write!(
                f,
                "id {id} is this process; only the other control processes are listed"
            ),
            Self::UnknownId { id } => write!(
                f,
                "id {id} is neither this process nor listed in control.peers"
            ),
            Self::Role { both: true } => {
                f.write_str("[node] and [control] are both there; exactly one is allowed")
            }
            Self::Role { both: false } => {
                f.write_str("neither [node] nor [control] is there; exactly one is needed")
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
            Self::Invalid { file, faults } => {
                for (index, fault) in faults.iter().enumerate() {
                    if index > 0 {
                        writeln!(f)?;
                    }
                    let Fault { line, column, .. } = fault;
                    let (key, kind) = (&fault.key, &fault.kind);
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

//! Information about this process for state dumps.

use std::error;
use std::fmt;
use std::fs;
use std::io;

use serde::Serialize;

use crate::calendar;
use crate::clock;
use shallotrill_model::time::Wall;

/// Why the information could not be read.
#[derive(Debug)]
pub enum Error {
    /// A file of the process file system could not be read.
    Read {
        /// The file.
        file: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file of the process file system has an unexpected format.
    Format {
        /// The file.
        file: &'static str,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, source } => write!(f, "{file} could not be read: {source}"),
            Self::Format { file } => write!(
                f,
                "{file} has an unexpected format: a numeric field is missing or invalid"
            ),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Read { source, .. } => Some(source),
            Self::Format { .. } => None,
        }
    }
}

/// Start time and version, which are constant while the process runs.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMetadata {
    started: Wall,
    version: &'static str,
}

/// Information about the process at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProcessInfo {
    /// Process id.
    pub pid: u32,
    /// Calendar time of the start in RFC 3339.
    pub started: String,
    /// Version of the program.
    pub version: &'static str,
    /// Resident memory in bytes.
    pub rss_bytes: u64,
    /// Processor time used in user and system mode, in milliseconds.
    pub cpu_ms: u64,
}

impl ProcessMetadata {
    /// Records the current time as the start of a process of this version.
    pub fn start(version: &'static str) -> Self {
        Self {
            started: clock::wall(),
            version,
        }
    }

    /// Reads the current information from `/proc/self`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the process file system cannot be read.
    pub fn info(&self) -> Result<ProcessInfo, Error> {
        Ok(ProcessInfo {
            pid: std::process::id(),
            started: calendar::format(self.started),
            version: self.version,
            rss_bytes: rss_bytes()?,
            cpu_ms: cpu_ms()?,
        })
    }
}

fn read(file: &'static str) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|source| Error::Read { file, source })
}

fn rss_bytes() -> Result<u64, Error> {
    const FILE: &str = "/proc/self/statm";
    let text = read(FILE)?;
    let pages = number(text.split_whitespace().nth(1), FILE)?;
    Ok(pages * rustix::param::page_size() as u64)
}

fn cpu_ms() -> Result<u64, Error> {
    const FILE: &str = "/proc/self/stat";
    let text = read(FILE)?;
    // The second field is the program's name in parentheses, which may contain spaces.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let mut fields = rest.split_whitespace().skip(11);
    let ticks = number(fields.next(), FILE)? + number(fields.next(), FILE)?;
    Ok(ticks * 1_000 / rustix::param::clock_ticks_per_second().max(1))
}

fn number(field: Option<&str>, file: &'static str) -> Result<u64, Error> {
    field
        .and_then(|field| field.parse().ok())
        .ok_or(Error::Format { file })
}

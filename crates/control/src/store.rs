//! Durable storage of the replicated log.
//!
//! The journal contains the writes of the replica in order. When the replica
//! installs or creates a snapshot, the current state is written to one snapshot
//! file, and the journal drops all records that the file covers.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use log::error;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use shallotrill_consensus::entry::Entry;
use shallotrill_consensus::entry::HardState;
use shallotrill_consensus::entry::Index;
use shallotrill_consensus::entry::Snapshot;
use shallotrill_consensus::member::Set;
use shallotrill_consensus::ready::Write;
use shallotrill_consensus::restored::Restored;
use shallotrill_disk::failure::Failure;
use shallotrill_disk::folder::Folder;
use shallotrill_disk::journal;
use shallotrill_disk::journal::Journal;
use shallotrill_disk::position::Position;
use shallotrill_disk::refusal::Refusal;
use shallotrill_disk::replay::Event;

/// Name of the journal in the data folder.
const JOURNAL_NAME: &str = "log";

/// Interval before a write is retried that was refused because the disk is full.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

const HARD_STATE: u8 = 1;
const ENTRY: u8 = 2;
const TRUNCATE: u8 = 3;
const SNAPSHOT: u8 = 4;
const FORMED: u8 = 5;

/// State that results from replaying the journal.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Stored {
    /// Initial members of the group. Empty if this process joined an existing group without a vote;
    /// `None` if the disk belongs to no group.
    formed: Option<Set>,
    #[serde(rename = "hard")]
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

/// Why the store could not be opened or written.
#[derive(Debug)]
pub enum Error {
    /// The disk or its content failed.
    Disk(Failure),
    /// A record has an unsupported format.
    Record {
        /// Position of the record.
        position: u64,
        /// Kind of the record.
        kind: u8,
    },
    /// The journal refuses further writes.
    Journal(Refusal),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(cause) => cause.fmt(f),
            Self::Record { position, kind } => {
                write!(
                    f,
                    "the log journal record of kind {kind} at position {position} has an unsupported format"
                )
            }
            Self::Journal(cause) => cause.fmt(f),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Disk(cause) => Some(cause),
            Self::Record { .. } => None,
            Self::Journal(cause) => Some(cause),
        }
    }
}

/// The journal of the log and the state that its records describe.
#[derive(Debug)]
pub(crate) struct Store {
    journal: Arc<Journal>,
    stored: Stored,
}

impl Store {
    /// Opens the journal and replays its records.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the data is corrupted other than by a torn last write.
    pub(crate) fn open(folder: &Folder) -> Result<Self, Error> {
        let mut stored = Stored::default();
        let mut failed = None;
        let mut sink = |event: Event<'_>| {
            if let Err(error) = stored.replay(event) {
                failed.get_or_insert(error);
            }
        };
        let journal = Journal::open(folder, JOURNAL_NAME, journal::Config::default(), &mut sink)
            .map_err(Error::Disk)?;
        match failed {
            Some(error) => Err(error),
            None => Ok(Self {
                journal: Arc::new(journal),
                stored,
            }),
        }
    }

    /// Initial members of the group. Empty if this process joined an existing group without a vote;
    /// `None` if the disk belongs to no group.
    pub(crate) const fn formed(&self) -> Option<&Set> {
        self.stored.formed.as_ref()
    }

    /// Initial state of a replica after a restart.
    pub(crate) fn restored(&self) -> Restored {
        Restored {
            hard_state: self.stored.hard_state,
            snapshot: self.stored.snapshot.clone(),
            entries: self.stored.entries.clone(),
        }
    }

    /// Durably records that this process belongs to a group with these initial members.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Journal`] when the journal has failed.
    pub(crate) async fn form(&mut self, members: Set) -> Result<(), Error> {
        let position = self.append(FORMED, &members).await?;
        self.durable(position).await?;
        self.stored.formed = Some(members);
        Ok(())
    }

    /// Appends the writes of a replica to the journal and syncs it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Journal`] when the journal has failed permanently.
    pub(crate) async fn write(&mut self, write: &Write) -> Result<(), Error> {
        let mut last = None;
        if let Some(snapshot) = &write.snapshot {
            last = Some(self.append(SNAPSHOT, snapshot).await?);
            self.stored.replace(snapshot.clone());
        }
        if let Some(index) = write.truncate {
            last = Some(self.append(TRUNCATE, &index).await?);
            self.stored.truncate(index);
        }
        for entry in &write.entries {
            last = Some(self.append(ENTRY, entry).await?);
            self.stored.entries.push(entry.clone());
        }
        if let Some(hard_state) = &write.hard_state {
            last = Some(self.append(HARD_STATE, hard_state).await?);
            self.stored.hard_state = *hard_state;
        }
        if let Some(position) = last {
            self.durable(position).await?;
            if write.snapshot.is_some() {
                self.write_snapshot(position);
            }
        }
        Ok(())
    }

    /// Writes a snapshot file that replaces the journal up to `covers`, in the background.
    fn write_snapshot(&self, covers: Position) {
        let bytes = encode(&self.stored);
        let journal = Arc::clone(&self.journal);
        tokio::task::spawn_blocking(move || {
            if let Err(refusal) = journal.snapshot(covers, &bytes) {
                warn!(event = "log-not-shrunk"; "cannot replace the log journal by a snapshot: {refusal}");
            }
        });
    }

    async fn durable(&self, position: Position) -> Result<(), Error> {
        self.journal
            .wait_durable(position)
            .await
            .map_err(Error::Journal)
    }

    async fn append<T: Serialize>(&self, kind: u8, value: &T) -> Result<Position, Error> {
        let bytes = encode(value);
        loop {
            match self.journal.append(kind, &bytes) {
                Ok(position) => return Ok(position),
                Err(Refusal::Busy { attempt, .. }) => {
                    self.journal
                        .wait_for_space(attempt)
                        .await
                        .map_err(Error::Journal)?;
                }
                Err(refusal @ Refusal::Full { .. }) => {
                    // The replica must not reply before this write is durable, so its peers see it as unresponsive.
                    error!(event = "log-write-refused"; "cannot write to the log journal, retrying: {refusal}");
                    time::sleep(RETRY_INTERVAL).await;
                }
                Err(refusal) => return Err(Error::Journal(refusal)),
            }
        }
    }
}

impl Stored {
    fn replay(&mut self, event: Event<'_>) -> Result<(), Error> {
        match event {
            Event::Snapshot { covers, bytes } => {
                *self = decode(bytes, covers, 0)?;
            }
            Event::Frame {
                position,
                kind,
                body,
            } => match kind {
                HARD_STATE => self.hard_state = decode(body, position, kind)?,
                ENTRY => self.entries.push(decode(body, position, kind)?),
                TRUNCATE => self.truncate(decode(body, position, kind)?),
                SNAPSHOT => self.replace(decode(body, position, kind)?),
                FORMED => self.formed = Some(decode(body, position, kind)?),
                _ => {
                    return Err(Error::Record {
                        position: position.0,
                        kind,
                    });
                }
            },
        }
        Ok(())
    }

    fn truncate(&mut self, index: Index) {
        self.entries.retain(|entry| entry.position.index < index);
    }

    fn replace(&mut self, snapshot: Snapshot) {
        let end = snapshot.position.index;
        self.entries.retain(|entry| entry.position.index > end);
        self.snapshot = Some(snapshot);
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("record types can be encoded")
}

fn decode<T: DeserializeOwned>(bytes: &[u8], position: Position, kind: u8) -> Result<T, Error> {
    postcard::from_bytes(bytes).or(Err(Error::Record {
        position: position.0,
        kind,
    }))
}

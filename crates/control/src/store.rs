//! The durable part of the replicated log.
//!
//! The journal holds what the replica asked to be written, in order. From time
//! to time everything still needed is put into one snapshot file, after which
//! the journal drops what came before.

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
const NAME: &str = "log";

/// Pause before a refused write is tried again; the disk needs time to have space.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

const HARD: u8 = 1;
const ENTRY: u8 = 2;
const TRUNCATE: u8 = 3;
const SNAPSHOT: u8 = 4;
const FORMED: u8 = 5;

/// What the journal stands for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Stored {
    /// First members of the group; nothing before this process belongs to one.
    formed: Option<Set>,
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

/// Why the store could not be opened or written.
#[derive(Debug)]
pub enum Error {
    /// The disk or its content failed.
    Disk(Failure),
    /// A record has a form that this program does not read.
    Record {
        /// Position of the record.
        position: u64,
        /// Kind of the record.
        kind: u8,
    },
    /// The journal takes nothing more.
    Journal(Refusal),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(cause) => cause.fmt(f),
            Self::Record { position, kind } => {
                write!(
                    f,
                    "the record of kind {kind} at {position} has an unknown form"
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

/// The journal of the log and what it stands for.
#[derive(Debug)]
pub(crate) struct Store {
    journal: Arc<Journal>,
    stored: Stored,
}

impl Store {
    /// Opens the journal and reads it back.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the disk is damaged other than by a torn last write.
    pub(crate) fn open(folder: &Folder) -> Result<Self, Error> {
        let mut stored = Stored::default();
        let mut failed = None;
        let mut sink = |event: Event<'_>| {
            if let Err(error) = stored.replay(event) {
                failed.get_or_insert(error);
            }
        };
        let journal = Journal::open(folder, NAME, journal::Config::default(), &mut sink)
            .map_err(Error::Disk)?;
        match failed {
            Some(error) => Err(error),
            None => Ok(Self {
                journal: Arc::new(journal),
                stored,
            }),
        }
    }

    /// The first members of the group, once this process belongs to one.
    pub(crate) const fn formed(&self) -> Option<&Set> {
        self.stored.formed.as_ref()
    }

    /// What a replica starts from.
    pub(crate) fn restored(&self) -> Restored {
        Restored {
            hard_state: self.stored.hard,
            snapshot: self.stored.snapshot.clone(),
            entries: self.stored.entries.clone(),
        }
    }

    /// Notes durably that this process belongs to a group.
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

    /// Writes and syncs what a replica asks for.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Journal`] when the journal has failed for good.
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
        if let Some(hard) = &write.hard_state {
            last = Some(self.append(HARD, hard).await?);
            self.stored.hard = *hard;
        }
        if let Some(position) = last {
            self.durable(position).await?;
            if write.snapshot.is_some() {
                self.shrink(position);
            }
        }
        Ok(())
    }

    /// Replaces the journal up to `covers` by one snapshot file, in the background.
    fn shrink(&self, covers: Position) {
        let bytes = encode(&self.stored);
        let journal = Arc::clone(&self.journal);
        tokio::task::spawn_blocking(move || {
            if let Err(refusal) = journal.snapshot(covers, &bytes) {
                warn!(event = "log-not-shrunk"; "{refusal}");
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
                    // Without this write the replica may not answer, so to others it looks stopped.
                    error!(event = "log-write-refused"; "{refusal}");
                    time::sleep(RETRY_PAUSE).await;
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
                HARD => self.hard = decode(body, position, kind)?,
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

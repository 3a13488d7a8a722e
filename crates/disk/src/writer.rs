//! The thread that writes and syncs what is pending.

use std::fs::File;
use std::mem;
use std::path::PathBuf;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use tokio::sync::watch;

use crate::calls::Calls;
use crate::counters::Cells;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::frame;
use crate::frame::Frame;
use crate::identity::Identity;
use crate::position::Position;
use crate::segment;
use crate::segment::Header;

/// Frames that go to one segment in one write.
#[derive(Debug)]
pub(crate) struct Chunk {
    pub(crate) segment: u64,
    pub(crate) first: Position,
    pub(crate) last: Position,
    pub(crate) bytes: Vec<u8>,
}

/// Pending appends and what is known of the space for more.
#[derive(Debug)]
pub(crate) struct Table {
    pub(crate) chunks: Vec<Chunk>,
    pub(crate) next: Position,
    /// Segment that appends go to.
    pub(crate) segment: u64,
    /// Bytes left there for frames.
    pub(crate) left: u64,
    /// Whether the space of the segment after it is reserved.
    pub(crate) reserved: bool,
    /// Whether the last attempt to reserve space found the disk full.
    pub(crate) full: bool,
    /// How often space was asked for, with or without success.
    pub(crate) attempts: u64,
    pub(crate) failure: Option<Failure>,
    pub(crate) closing: bool,
    /// Segments on the disk with their first positions.
    pub(crate) segments: Vec<(u64, Position)>,
}

/// What waiters see.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) durable: Position,
    pub(crate) attempts: u64,
    pub(crate) failure: Option<Failure>,
}

/// Wakes the writer. A leaf: no other lock is taken while its mutex is held.
#[derive(Debug, Default)]
pub(crate) struct Bell {
    rung: Mutex<bool>,
    condvar: Condvar,
}

impl Bell {
    pub(crate) fn ring(&self) {
        *self.rung.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.condvar.notify_one();
    }

    fn wait(&self) {
        let rung = self.rung.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rung = self
            .condvar
            .wait_while(rung, |rung| !*rung)
            .unwrap_or_else(PoisonError::into_inner);
        *rung = false;
    }
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) table: shallotrill_locks::Mutex<Table>,
    pub(crate) bell: Bell,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) cells: Cells,
    pub(crate) calls: Calls,
    pub(crate) folder: PathBuf,
    pub(crate) identity: Identity,
    pub(crate) segment_bytes: u64,
}

impl Shared {
    /// Bytes for frames in an empty segment; the seal has its own place.
    pub(crate) fn room(&self) -> u64 {
        self.segment_bytes - (segment::HEADER + frame::HEADER) as u64
    }
}

/// The files of the writer thread.
#[derive(Debug)]
pub(crate) struct Writer {
    pub(crate) number: u64,
    pub(crate) file: File,
    pub(crate) offset: u64,
    pub(crate) reserved: Option<File>,
}

impl Writer {
    /// Works until the journal closes or fails.
    pub(crate) fn run(mut self, shared: &Shared) {
        loop {
            let (chunks, closing) = {
                let mut table = shared.table.lock();
                (mem::take(&mut table.chunks), table.closing)
            };
            if let Err(failure) = self.write(shared, &chunks) {
                return fail(shared, failure);
            }
            if let Some(chunk) = chunks.last() {
                let last = chunk.last;
                shared
                    .progress
                    .send_modify(|progress| progress.durable = last);
            }
            // Nothing is appended after the journal closes, and its ring may be the one already taken.
            if closing {
                return;
            }
            if let Err(failure) = self.reserve(shared) {
                return fail(shared, failure);
            }
            shared.bell.wait();
        }
    }

    fn write(&mut self, shared: &Shared, chunks: &[Chunk]) -> Result<(), Failure> {
        for chunk in chunks {
            if chunk.segment != self.number {
                self.roll(shared, chunk)?;
            }
            shared
                .calls
                .write_all(&self.file, &chunk.bytes, self.offset)
                .map_err(|error| self.failed(shared, Operation::Write, error))?;
            self.offset += chunk.bytes.len() as u64;
            shared.cells.write(chunk.bytes.len());
            self.sync(shared)?;
        }
        Ok(())
    }

    fn sync(&self, shared: &Shared) -> Result<(), Failure> {
        let start = Instant::now();
        (shared.calls.sync)(&self.file)
            .map_err(|error| self.failed(shared, Operation::Sync, error))?;
        shared.cells.sync(start.elapsed());
        Ok(())
    }

    /// Begins the next segment and only then seals this one, so that a seal always has a successor.
    fn roll(&mut self, shared: &Shared, chunk: &Chunk) -> Result<(), Failure> {
        let file = match self.reserved.take() {
            Some(file) => file,
            None => segment::reserve(&shared.folder, shared.segment_bytes, &shared.calls)?,
        };
        let header = Header {
            identity: shared.identity,
            number: chunk.segment,
            first: chunk.first,
        };
        segment::begin(&shared.folder, &file, &header, &shared.calls)?;
        let mut bytes = Vec::with_capacity(frame::HEADER);
        let seal = Frame {
            sequence: chunk.first,
            kind: frame::SEAL,
            body: &[],
        };
        seal.write(&mut bytes);
        shared
            .calls
            .write_all(&self.file, &bytes, self.offset)
            .map_err(|error| self.failed(shared, Operation::Write, error))?;
        self.sync(shared)?;
        self.number = chunk.segment;
        self.file = file;
        self.offset = segment::HEADER as u64;
        let mut table = shared.table.lock();
        table.segments.push((header.number, header.first));
        Ok(())
    }

    /// Reserves the next segment; a full disk is no failure here, since nothing was promised.
    fn reserve(&mut self, shared: &Shared) -> Result<(), Failure> {
        if self.reserved.is_some() {
            return Ok(());
        }
        let result = segment::reserve(&shared.folder, shared.segment_bytes, &shared.calls);
        let full = matches!(&result, Err(failure) if failure.is_full());
        if !full {
            self.reserved = Some(result?);
        }
        let attempts = {
            let mut table = shared.table.lock();
            table.reserved = !full;
            table.full = full;
            table.attempts += 1;
            table.attempts
        };
        shared
            .progress
            .send_modify(|progress| progress.attempts = attempts);
        Ok(())
    }

    fn failed(&self, shared: &Shared, operation: Operation, error: std::io::Error) -> Failure {
        let path = segment::path(&shared.folder, self.number);
        Failure::io(&path, operation, error)
    }
}

/// A failed sync may have dropped the data it was for, so that a later one that succeeds proves nothing.
fn fail(shared: &Shared, failure: Failure) {
    log::error!(event = "journal_failed"; "{failure}");
    {
        let mut table = shared.table.lock();
        table.chunks.clear();
        table.failure = Some(failure.clone());
    }
    shared
        .progress
        .send_modify(|progress| progress.failure = Some(failure));
}

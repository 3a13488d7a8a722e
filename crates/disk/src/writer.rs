//! Writer thread of a journal, which writes and syncs the queued frames.

use std::fs::File;
use std::mem;
use std::path::PathBuf;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use tokio::sync::watch;

use crate::calls::IoCalls;
use crate::counters::AtomicCounters;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::frame;
use crate::frame::Frame;
use crate::identity::Identity;
use crate::position::Position;
use crate::segment;
use crate::segment::Header;

/// Frames of one segment that are written together.
#[derive(Debug)]
pub(crate) struct Chunk {
    pub(crate) segment: u64,
    pub(crate) first: Position,
    pub(crate) last: Position,
    pub(crate) bytes: Vec<u8>,
}

/// Queued frames and the state of the reserved space.
#[derive(Debug)]
pub(crate) struct Table {
    pub(crate) chunks: Vec<Chunk>,
    pub(crate) next: Position,
    /// Segment that receives the next frame.
    pub(crate) segment: u64,
    /// Bytes that remain for frames in that segment.
    pub(crate) remaining_bytes: u64,
    /// Whether the space of the next segment is reserved.
    pub(crate) reserved: bool,
    /// Whether the last attempt to reserve space found the disk full.
    pub(crate) disk_full: bool,
    /// Number of reservation attempts, successful or not.
    pub(crate) attempts: u64,
    pub(crate) failure: Option<Failure>,
    pub(crate) closing: bool,
    /// Segments on the disk with their first positions, in ascending order.
    pub(crate) segments: Vec<(u64, Position)>,
}

/// Progress of the writer, which tasks can wait for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) durable: Position,
    pub(crate) attempts: u64,
    pub(crate) failure: Option<Failure>,
}

/// Wakes the writer thread. No other lock is acquired while its mutex is held.
#[derive(Debug, Default)]
pub(crate) struct Wakeup {
    notified: Mutex<bool>,
    condvar: Condvar,
}

impl Wakeup {
    pub(crate) fn notify(&self) {
        *self.notified.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.condvar.notify_one();
    }

    fn wait(&self) {
        let notified = self.notified.lock().unwrap_or_else(PoisonError::into_inner);
        let mut notified = self
            .condvar
            .wait_while(notified, |notified| !*notified)
            .unwrap_or_else(PoisonError::into_inner);
        *notified = false;
    }
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) table: shallotrill_locks::Mutex<Table>,
    pub(crate) wakeup: Wakeup,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) counters: AtomicCounters,
    pub(crate) calls: IoCalls,
    pub(crate) folder: PathBuf,
    pub(crate) identity: Identity,
    pub(crate) segment_bytes: u64,
}

impl Shared {
    /// Bytes for frames in an empty segment; space for the seal is excluded.
    pub(crate) fn segment_capacity(&self) -> u64 {
        self.segment_bytes - (segment::HEADER_BYTES + frame::HEADER_BYTES) as u64
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
    /// Writes queued frames until the journal closes or fails.
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
            // No frame is queued after the journal closes, and the notification of the close may already be consumed.
            if closing {
                return;
            }
            if let Err(failure) = self.reserve(shared) {
                return fail(shared, failure);
            }
            shared.wakeup.wait();
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
                .map_err(|error| self.io_failure(shared, Operation::Write, error))?;
            self.offset += chunk.bytes.len() as u64;
            shared.counters.record_write(chunk.bytes.len());
            self.sync(shared)?;
        }
        Ok(())
    }

    fn sync(&self, shared: &Shared) -> Result<(), Failure> {
        let start = Instant::now();
        (shared.calls.sync)(&self.file)
            .map_err(|error| self.io_failure(shared, Operation::Sync, error))?;
        shared.counters.record_sync(start.elapsed());
        Ok(())
    }

    /// Creates the next segment and only then seals the current one, so that a sealed segment always has a successor.
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
        segment::commit(&shared.folder, &file, &header, &shared.calls)?;
        let mut bytes = Vec::with_capacity(frame::HEADER_BYTES);
        let seal = Frame {
            sequence: chunk.first,
            kind: frame::SEAL,
            body: &[],
        };
        seal.write(&mut bytes);
        shared
            .calls
            .write_all(&self.file, &bytes, self.offset)
            .map_err(|error| self.io_failure(shared, Operation::Write, error))?;
        self.sync(shared)?;
        self.number = chunk.segment;
        self.file = file;
        self.offset = segment::HEADER_BYTES as u64;
        let mut table = shared.table.lock();
        table.segments.push((header.number, header.first));
        Ok(())
    }

    /// Reserves the next segment. A full disk is not a failure here, because no accepted frame needs the segment yet.
    fn reserve(&mut self, shared: &Shared) -> Result<(), Failure> {
        if self.reserved.is_some() {
            return Ok(());
        }
        let result = segment::reserve(&shared.folder, shared.segment_bytes, &shared.calls);
        let disk_full = matches!(&result, Err(failure) if failure.is_full());
        if !disk_full {
            self.reserved = Some(result?);
        }
        let attempts = {
            let mut table = shared.table.lock();
            table.reserved = !disk_full;
            table.disk_full = disk_full;
            table.attempts += 1;
            table.attempts
        };
        shared
            .progress
            .send_modify(|progress| progress.attempts = attempts);
        Ok(())
    }

    fn io_failure(&self, shared: &Shared, operation: Operation, error: std::io::Error) -> Failure {
        let path = segment::path(&shared.folder, self.number);
        Failure::io(&path, operation, error)
    }
}

/// Stops the journal. A failed sync may have discarded its data, so a later successful sync would not prove that the data is durable.
fn fail(shared: &Shared, failure: Failure) {
    log::error!(event = "journal_failed"; "the journal stopped after a failure: {failure}");
    {
        let mut table = shared.table.lock();
        table.chunks.clear();
        table.failure = Some(failure.clone());
    }
    shared
        .progress
        .send_modify(|progress| progress.failure = Some(failure));
}

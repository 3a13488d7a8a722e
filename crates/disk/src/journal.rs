//! Append-only journal of frames with group commit.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use tokio::sync::watch;

use crate::calls::IoCalls;
use crate::counters::AtomicCounters;
use crate::counters::Counters;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::folder::Folder;
use crate::folder::create_folder;
use crate::frame;
use crate::frame::Frame;
use crate::identity::Identity;
use crate::position::Position;
use crate::refusal::Refusal;
use crate::replay;
use crate::replay::Event;
use crate::replay::ReplayEnd;
use crate::segment;
use crate::segment::Header;
use crate::snapshot;
use crate::writer::Chunk;
use crate::writer::Progress;
use crate::writer::Shared;
use crate::writer::Table;
use crate::writer::Wakeup;
use crate::writer::Writer;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;

/// Parameters of a journal.
#[derive(Debug)]
pub struct Config {
    segment_bytes: u64,
    calls: IoCalls,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            segment_bytes: 16 * 1024 * 1024,
            calls: IoCalls::default(),
        }
    }
}

impl Config {
    /// Sets the size of a segment; 16 MiB by default. Space is reserved for a complete segment, and for
    /// at least two segments at a time.
    ///
    /// # Panics
    ///
    /// Panics below 256 bytes, which leaves too little space for frames.
    #[must_use]
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        assert!(
            bytes >= 256,
            "a segment must have at least 256 bytes, got {bytes}"
        );
        self.segment_bytes = bytes;
        self
    }

    /// Replaces the calls to the operating system, so that tests can inject faults.
    #[must_use]
    pub fn calls(mut self, calls: IoCalls) -> Self {
        self.calls = calls;
        self
    }
}

/// An append-only journal with one writer thread.
#[derive(Debug)]
pub struct Journal {
    shared: Arc<Shared>,
    snapshot_running: AtomicBool,
    writer: Option<thread::JoinHandle<()>>,
}

impl Journal {
    /// Opens or creates the journal `name` and passes its snapshot and frames to `sink`.
    ///
    /// A torn last write is truncated, because it was never acknowledged.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`] on any other corruption and on errors of the operating system.
    pub fn open(
        folder: &Folder,
        name: &str,
        config: Config,
        sink: &mut dyn FnMut(Event<'_>),
    ) -> Result<Self, Failure> {
        let path = folder.path().join(name);
        create_folder(&path)?;
        let identity = folder.identity();
        let covers = match snapshot::read(&path, identity)? {
            Some(snapshot) => {
                let covers = snapshot.covers;
                let bytes = &snapshot.bytes;
                sink(Event::Snapshot { covers, bytes });
                covers
            }
            None => Position(0),
        };
        let end = replay::replay(&path, identity, covers, sink)?;
        let (writer, table) = if end.segments.is_empty() {
            create(&path, identity, &config)?
        } else {
            resume(&path, end, &config)?
        };
        Self::start(path, identity, config, writer, table)
    }

    fn start(
        folder: PathBuf,
        identity: Identity,
        config: Config,
        writer: Writer,
        table: Table,
    ) -> Result<Self, Failure> {
        let progress = Progress {
            durable: Position(table.next.0 - 1),
            attempts: 0,
            failure: None,
        };
        let shared = Arc::new(Shared {
            table: Mutex::new(Rank::Disk, table),
            wakeup: Wakeup::default(),
            progress: watch::Sender::new(progress),
            counters: AtomicCounters::default(),
            calls: config.calls,
            folder,
            identity,
            segment_bytes: config.segment_bytes,
        });
        let writer_shared = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || writer.run(&writer_shared))
            .map_err(|error| Failure::io(&shared.folder, Operation::Thread, error))?;
        Ok(Self {
            shared,
            snapshot_running: AtomicBool::new(false),
            writer: Some(thread),
        })
    }

    /// Queues a frame to be written and returns its position. The frame is durable after [`Journal::wait_durable`] has returned.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the frame is too large, no space is reserved, or the journal has failed. Nothing is queued then.
    ///
    /// # Panics
    ///
    /// Panics on kind 255, which is reserved for the journal.
    pub fn append(&self, kind: u8, body: &[u8]) -> Result<Position, Refusal> {
        assert!(kind != frame::SEAL, "kind {kind} is reserved");
        let bytes = (frame::HEADER_BYTES + body.len()) as u64;
        let limit = self.shared.segment_capacity();
        if bytes > limit {
            return Err(Refusal::TooLarge { bytes, limit });
        }
        let result = self.enqueue(kind, body, bytes, limit);
        // The writer is notified after a refusal too, so that it retries the reservation of space.
        self.shared.wakeup.notify();
        result
    }

    fn enqueue(
        &self,
        kind: u8,
        body: &[u8],
        bytes: u64,
        segment_capacity: u64,
    ) -> Result<Position, Refusal> {
        let mut table = self.shared.table.lock();
        if let Some(failure) = &table.failure {
            return Err(Refusal::Failed(failure.clone()));
        }
        if bytes > table.remaining_bytes {
            if !table.reserved {
                let attempt = table.attempts;
                return Err(if table.disk_full {
                    Refusal::Full { bytes, attempt }
                } else {
                    Refusal::Busy { bytes, attempt }
                });
            }
            table.reserved = false;
            table.segment += 1;
            table.remaining_bytes = segment_capacity;
        }
        table.remaining_bytes -= bytes;
        let position = table.next;
        table.next = position.next();
        let frame = Frame {
            sequence: position,
            kind,
            body,
        };
        let segment = table.segment;
        match table.chunks.last_mut() {
            Some(chunk) if chunk.segment == segment => {
                frame.write(&mut chunk.bytes);
                chunk.last = position;
            }
            _ => {
                let mut bytes = Vec::with_capacity(frame.size());
                frame.write(&mut bytes);
                table.chunks.push(Chunk {
                    segment,
                    first: position,
                    last: position,
                    bytes,
                });
            }
        }
        self.shared.counters.record_append();
        Ok(position)
    }

    /// Waits until the frame at `position` and all frames before it are durable.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Failed`] when the journal fails first; whether the frame is durable is then unknown.
    pub async fn wait_durable(&self, position: Position) -> Result<(), Refusal> {
        let mut progress = self.shared.progress.subscribe();
        let state = progress
            .wait_for(|state| state.durable >= position || state.failure.is_some())
            .await
            .map(|state| state.clone())
            .unwrap_or_default();
        match state.failure {
            Some(failure) if state.durable < position => Err(Refusal::Failed(failure)),
            _ => Ok(()),
        }
    }

    /// Waits for a reservation attempt later than `attempt`, which a refusal contains; the append may then succeed.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Failed`] when the journal fails first.
    pub async fn wait_for_space(&self, attempt: u64) -> Result<(), Refusal> {
        let mut progress = self.shared.progress.subscribe();
        let state = progress
            .wait_for(|state| state.attempts > attempt || state.failure.is_some())
            .await
            .map(|state| state.clone())
            .unwrap_or_default();
        state.failure.map_or(Ok(()), |f| Err(Refusal::Failed(f)))
    }

    /// Position of the last queued frame.
    pub fn appended_position(&self) -> Position {
        Position(self.shared.table.lock().next.0 - 1)
    }

    /// Position of the last durable frame.
    pub fn durable_position(&self) -> Position {
        self.shared.progress.borrow().durable
    }

    /// The failure that stopped the journal; `None` while it works.
    pub fn failure(&self) -> Option<Failure> {
        self.shared.progress.borrow().failure.clone()
    }

    /// Counters for metrics.
    pub fn counters(&self) -> Counters {
        self.shared.counters.load()
    }

    /// Writes a snapshot that replaces all frames up to `covers`, then removes the segments that are no longer needed.
    ///
    /// Blocks on disk operations; an async caller must run it on a blocking thread.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when `covers` is not durable, when another snapshot is being written, or when a
    /// system call fails. If writing the snapshot fails, all segments remain.
    pub fn snapshot(&self, covers: Position, bytes: &[u8]) -> Result<(), Refusal> {
        let durable = self.durable_position();
        if covers > durable {
            return Err(Refusal::NotDurable { covers, durable });
        }
        if self.snapshot_running.swap(true, Ordering::Acquire) {
            return Err(Refusal::SnapshotRunning);
        }
        let result = self.replace_snapshot(covers, bytes);
        self.snapshot_running.store(false, Ordering::Release);
        result.map_err(Refusal::Snapshot)
    }

    fn replace_snapshot(&self, covers: Position, bytes: &[u8]) -> Result<(), Failure> {
        let shared = &self.shared;
        let folder = &shared.folder;
        snapshot::write(folder, shared.identity, covers, bytes, &shared.calls)?;
        let dropped: Vec<(u64, Position)> = {
            let mut table = shared.table.lock();
            let covered = table
                .segments
                .partition_point(|(_, first)| *first <= covers.next());
            table.segments.drain(..covered.saturating_sub(1)).collect()
        };
        // The oldest segment is removed first, so that a crash leaves no gap.
        for (number, _) in dropped {
            let path = segment::path(folder, number);
            fs::remove_file(&path).map_err(|e| Failure::io(&path, Operation::Remove, e))?;
        }
        Ok(())
    }
}

impl Drop for Journal {
    /// Waits until all queued frames are written.
    fn drop(&mut self) {
        self.shared.table.lock().closing = true;
        self.shared.wakeup.notify();
        if let Some(writer) = self.writer.take()
            && writer.join().is_err()
        {
            log::error!(event = "journal_writer_panicked"; "the writer thread of a journal panicked");
        }
    }
}

/// Creates the first segment of a new journal.
fn create(folder: &Path, identity: Identity, config: &Config) -> Result<(Writer, Table), Failure> {
    let file = segment::reserve(folder, config.segment_bytes, &config.calls)?;
    let header = Header {
        identity,
        number: 1,
        first: Position(1),
    };
    segment::commit(folder, &file, &header, &config.calls)?;
    let end = ReplayEnd {
        segments: vec![(header.number, header.first)],
        next: header.first,
        offset: segment::HEADER_BYTES,
    };
    Ok(assemble(file, end, config.segment_bytes))
}

/// Opens the last segment of an existing journal and truncates a torn end.
fn resume(folder: &Path, end: ReplayEnd, config: &Config) -> Result<(Writer, Table), Failure> {
    let number = end.segments.last().map_or(0, |(number, _)| *number);
    let path = segment::path(folder, number);
    let failed = |operation| {
        let path = path.clone();
        move |error| Failure::io(&path, operation, error)
    };
    let file = File::options()
        .read(true)
        .write(true)
        .open(&path)
        .map_err(failed(Operation::Read))?;
    file.set_len(end.offset as u64)
        .map_err(failed(Operation::Write))?;
    let size = match (config.calls.reserve)(&file, config.segment_bytes) {
        Ok(()) => config.segment_bytes,
        Err(error) if error.kind() == std::io::ErrorKind::StorageFull => 0,
        Err(error) => return Err(failed(Operation::Reserve)(error)),
    };
    (config.calls.sync)(&file).map_err(failed(Operation::Sync))?;
    Ok(assemble(file, end, size))
}

fn assemble(file: File, end: ReplayEnd, size: u64) -> (Writer, Table) {
    let number = end.segments.last().map_or(0, |(number, _)| *number);
    let offset = end.offset as u64;
    let table = Table {
        chunks: Vec::new(),
        next: end.next,
        segment: number,
        remaining_bytes: size.saturating_sub(offset + frame::HEADER_BYTES as u64),
        reserved: false,
        disk_full: false,
        attempts: 0,
        failure: None,
        closing: false,
        segments: end.segments,
    };
    let writer = Writer {
        number,
        file,
        offset,
        reserved: None,
    };
    (writer, table)
}

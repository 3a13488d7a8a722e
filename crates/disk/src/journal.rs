//! The journal: frames in order, durable in groups.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use tokio::sync::watch;

use crate::calls::Calls;
use crate::counters::Cells;
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
use crate::replay::End;
use crate::replay::Event;
use crate::segment;
use crate::segment::Header;
use crate::snapshot;
use crate::writer::Bell;
use crate::writer::Chunk;
use crate::writer::Progress;
use crate::writer::Shared;
use crate::writer::Table;
use crate::writer::Writer;
use shallotrill_locks::Mutex;
use shallotrill_locks::Rank;

/// Parameters of a journal.
#[derive(Debug)]
pub struct Config {
    segment_bytes: u64,
    calls: Calls,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            segment_bytes: 16 * 1024 * 1024,
            calls: Calls::default(),
        }
    }
}

impl Config {
    /// Sets the size of a segment, whose space is reserved at once; two segments are held at least.
    ///
    /// # Panics
    ///
    /// Panics below 256 bytes, where hardly a frame fits.
    #[must_use]
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        assert!(bytes >= 256, "a segment of {bytes} bytes");
        self.segment_bytes = bytes;
        self
    }

    /// Replaces the calls to the operating system, so that tests can inject faults.
    #[must_use]
    pub fn calls(mut self, calls: Calls) -> Self {
        self.calls = calls;
        self
    }
}

/// An append-only journal with one writer thread.
#[derive(Debug)]
pub struct Journal {
    shared: Arc<Shared>,
    snapshotting: AtomicBool,
    writer: Option<thread::JoinHandle<()>>,
}

impl Journal {
    /// Opens or creates the journal `name` and hands its snapshot and frames to `sink`.
    ///
    /// A torn last write is cut off, since it was never acknowledged.
    ///
    /// # Errors
    ///
    /// Fails on any other damage and on errors of the operating system.
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
            bell: Bell::default(),
            progress: watch::Sender::new(progress),
            cells: Cells::default(),
            calls: config.calls,
            folder,
            identity,
            segment_bytes: config.segment_bytes,
        });
        let own = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || writer.run(&own))
            .map_err(|error| Failure::io(&shared.folder, Operation::Thread, error))?;
        Ok(Self {
            shared,
            snapshotting: AtomicBool::new(false),
            writer: Some(thread),
        })
    }

    /// Puts a frame in line to be written; it is durable only when [`Journal::durable`] says so.
    ///
    /// # Errors
    ///
    /// Refuses without effect when there is no space or the journal has failed.
    ///
    /// # Panics
    ///
    /// Panics on kind 255, which is the journal's own.
    pub fn append(&self, kind: u8, body: &[u8]) -> Result<Position, Refusal> {
        assert!(kind != frame::SEAL, "kind {kind} is reserved");
        let bytes = (frame::HEADER + body.len()) as u64;
        let limit = self.shared.room();
        if bytes > limit {
            return Err(Refusal::TooLarge { bytes, limit });
        }
        let result = self.enqueue(kind, body, bytes, limit);
        // A refusal rings too: the writer then tries again to reserve space.
        self.shared.bell.ring();
        result
    }

    fn enqueue(&self, kind: u8, body: &[u8], bytes: u64, room: u64) -> Result<Position, Refusal> {
        let mut table = self.shared.table.lock();
        if let Some(failure) = &table.failure {
            return Err(Refusal::Failed(failure.clone()));
        }
        if bytes > table.left {
            if !table.reserved {
                let attempt = table.attempts;
                return Err(if table.full {
                    Refusal::Full { bytes, attempt }
                } else {
                    Refusal::Busy { bytes, attempt }
                });
            }
            table.reserved = false;
            table.segment += 1;
            table.left = room;
        }
        table.left -= bytes;
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
        self.shared.cells.append();
        Ok(position)
    }

    /// Waits until the frame at `position`, and with it all before, is on the disk.
    ///
    /// # Errors
    ///
    /// Fails when the journal fails first; the frame may then be on the disk or not.
    pub async fn durable(&self, position: Position) -> Result<(), Refusal> {
        let mut progress = self.shared.progress.subscribe();
        let seen = progress
            .wait_for(|seen| seen.durable >= position || seen.failure.is_some())
            .await
            .map(|seen| seen.clone())
            .unwrap_or_default();
        match seen.failure {
            Some(failure) if seen.durable < position => Err(Refusal::Failed(failure)),
            _ => Ok(()),
        }
    }

    /// Waits until space was asked for again after the attempt named in a refusal; the append may then succeed.
    ///
    /// # Errors
    ///
    /// Fails when the journal fails first.
    pub async fn space(&self, attempt: u64) -> Result<(), Refusal> {
        let mut progress = self.shared.progress.subscribe();
        let seen = progress
            .wait_for(|seen| seen.attempts > attempt || seen.failure.is_some())
            .await
            .map(|seen| seen.clone())
            .unwrap_or_default();
        seen.failure.map_or(Ok(()), |f| Err(Refusal::Failed(f)))
    }

    /// Last position that was put in line.
    pub fn appended(&self) -> Position {
        Position(self.shared.table.lock().next.0 - 1)
    }

    /// Last position on the disk.
    pub fn durable_position(&self) -> Position {
        self.shared.progress.borrow().durable
    }

    /// The failure that stopped the journal, if any.
    pub fn failure(&self) -> Option<Failure> {
        self.shared.progress.borrow().failure.clone()
    }

    /// Counters for metrics.
    pub fn counters(&self) -> Counters {
        self.shared.cells.load()
    }

    /// Writes a snapshot that stands for all frames up to `covers`, then drops the segments it makes superfluous.
    ///
    /// Blocks on the disk, so that an async caller runs it on a blocking thread.
    ///
    /// # Errors
    ///
    /// Refuses frames that are not durable. An error of the operating system leaves the earlier
    /// snapshot and all segments in place.
    pub fn snapshot(&self, covers: Position, bytes: &[u8]) -> Result<(), Refusal> {
        let durable = self.durable_position();
        if covers > durable {
            return Err(Refusal::NotDurable { covers, durable });
        }
        if self.snapshotting.swap(true, Ordering::Acquire) {
            return Err(Refusal::SnapshotRunning);
        }
        let result = self.replace_snapshot(covers, bytes);
        self.snapshotting.store(false, Ordering::Release);
        result.map_err(Refusal::Snapshot)
    }

    fn replace_snapshot(&self, covers: Position, bytes: &[u8]) -> Result<(), Failure> {
        let shared = &self.shared;
        let folder = &shared.folder;
        snapshot::write(folder, shared.identity, covers, bytes, &shared.calls)?;
        let dropped: Vec<(u64, Position)> = {
            let mut table = shared.table.lock();
            let begun = table
                .segments
                .partition_point(|(_, first)| *first <= covers.next());
            table.segments.drain(..begun.saturating_sub(1)).collect()
        };
        // Oldest first, so that a crash on the way leaves no gap.
        for (number, _) in dropped {
            let path = segment::path(folder, number);
            fs::remove_file(&path).map_err(|e| Failure::io(&path, Operation::Remove, e))?;
        }
        Ok(())
    }
}

impl Drop for Journal {
    /// Waits until what is pending is written.
    fn drop(&mut self) {
        self.shared.table.lock().closing = true;
        self.shared.bell.ring();
        if let Some(writer) = self.writer.take()
            && writer.join().is_err()
        {
            log::error!(event = "journal_writer_panicked"; "the writer thread panicked");
        }
    }
}

/// The first segment of a new journal.
fn create(folder: &Path, identity: Identity, config: &Config) -> Result<(Writer, Table), Failure> {
    let file = segment::reserve(folder, config.segment_bytes, &config.calls)?;
    let header = Header {
        identity,
        number: 1,
        first: Position(1),
    };
    segment::begin(folder, &file, &header, &config.calls)?;
    let end = End {
        segments: vec![(header.number, header.first)],
        next: header.first,
        offset: segment::HEADER,
    };
    Ok(assemble(file, end, config.segment_bytes))
}

/// The last segment of an existing journal, with a torn end cut off.
fn resume(folder: &Path, end: End, config: &Config) -> Result<(Writer, Table), Failure> {
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

fn assemble(file: File, end: End, size: u64) -> (Writer, Table) {
    let number = end.segments.last().map_or(0, |(number, _)| *number);
    let offset = end.offset as u64;
    let table = Table {
        chunks: Vec::new(),
        next: end.next,
        segment: number,
        left: size.saturating_sub(offset + frame::HEADER as u64),
        reserved: false,
        full: false,
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

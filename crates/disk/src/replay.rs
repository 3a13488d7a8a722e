//! Replay of a journal when it is opened.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use crate::failure::Corruption;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::frame;
use crate::frame::Frame;
use crate::identity::Identity;
use crate::position::Position;
use crate::segment;
use crate::segment::Header;

/// Item that is replayed when a journal is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'bytes> {
    /// The snapshot, if there is one. It precedes all frames.
    Snapshot {
        /// Last frame that the snapshot covers.
        covers: Position,
        /// State that the owner of the journal stored.
        bytes: &'bytes [u8],
    },
    /// A frame after the snapshot.
    Frame {
        /// Position of the frame.
        position: Position,
        /// Kind of the frame, chosen by the owner of the journal.
        kind: u8,
        /// Content of the frame.
        body: &'bytes [u8],
    },
}

/// Receives the replayed items in order.
pub(crate) type Sink<'sink> = &'sink mut dyn FnMut(Event<'_>);

/// State of the journal after the replay, from which appends continue.
#[derive(Debug)]
pub(crate) struct ReplayEnd {
    /// Segments with their first positions, in order.
    pub(crate) segments: Vec<(u64, Position)>,
    /// Position of the next frame.
    pub(crate) next: Position,
    /// Offset after the last valid frame of the last segment.
    pub(crate) offset: usize,
}

/// Checks all segments and passes the frames after `covers` to `sink`.
pub(crate) fn replay(
    folder: &Path,
    identity: Identity,
    covers: Position,
    sink: Sink<'_>,
) -> Result<ReplayEnd, Failure> {
    let numbers = segment::list(folder)?;
    let mut end = ReplayEnd {
        segments: Vec::new(),
        next: covers.next(),
        offset: 0,
    };
    let last = numbers.last().copied();
    let mut tail_corruption = None;
    for number in numbers {
        let path = segment::path(folder, number);
        if let Some((previous, _)) = end.segments.last()
            && number != previous + 1
        {
            return Err(missing(folder, previous + 1));
        }
        let bytes = fs::read(&path).map_err(|e| Failure::io(&path, Operation::Read, e))?;
        let header = check_header(&path, &bytes, identity, number)?;
        if end.segments.is_empty() && header.first > covers.next() {
            return Err(missing(folder, number.saturating_sub(1)));
        }
        if !end.segments.is_empty() && header.first != end.next {
            // Frames are missing before this segment: the previous segment is corrupt, or a segment is missing.
            if let Some(failure) = tail_corruption.take() {
                return Err(failure);
            }
            return Err(out_of_order(
                &path,
                segment::HEADER_BYTES,
                end.next,
                header.first,
            ));
        }
        end.next = header.first;
        end.segments.push((number, header.first));
        let sealed = replay_frames(&path, &bytes, &mut end, covers, sink)?;
        let is_last = last == Some(number);
        if sealed && is_last {
            return Err(missing(folder, number + 1));
        }
        tail_corruption = if sealed {
            None
        } else {
            check_tail(&path, &bytes, &end, is_last)?
        };
    }
    let segments_missing = end.segments.is_empty() && covers > Position(0);
    if segments_missing || end.next <= covers {
        // The frames that a snapshot covers were durable before it was written, so the journal must reach them.
        return Err(missing(folder, last.map_or(0, |last| last + 1)));
    }
    Ok(end)
}

fn check_header(
    path: &Path,
    bytes: &[u8],
    identity: Identity,
    number: u64,
) -> Result<Header, Failure> {
    let header = Header::decode(path, bytes)?;
    if header.identity != identity {
        return Err(Failure::WrongIdentity {
            path: Arc::from(path),
            expected: identity,
            found: header.identity,
        });
    }
    if header.number != number {
        return Err(Failure::Swapped {
            path: Arc::from(path),
            expected: number,
            found: header.number,
        });
    }
    Ok(header)
}

/// Replays the frames of one segment; returns true when the segment is sealed.
fn replay_frames(
    path: &Path,
    bytes: &[u8],
    end: &mut ReplayEnd,
    covers: Position,
    sink: Sink<'_>,
) -> Result<bool, Failure> {
    let mut offset = segment::HEADER_BYTES;
    while let Some(frame) = Frame::read(&bytes[offset..], |_| true) {
        if frame.sequence != end.next {
            return Err(out_of_order(path, offset, end.next, frame.sequence));
        }
        if frame.kind == frame::SEAL {
            return Ok(true);
        }
        if frame.sequence > covers {
            sink(Event::Frame {
                position: frame.sequence,
                kind: frame.kind,
                body: frame.body,
            });
        }
        offset += frame.size();
        end.next = end.next.next();
    }
    end.offset = offset;
    Ok(false)
}

/// Checks the bytes after the last valid frame of a segment.
///
/// Only the last write of the last segment may be torn. A valid frame after the invalid bytes shows
/// that they were not the last write. In an earlier segment a torn seal is harmless; the corruption is
/// returned, to be reported if frames turn out to be missing.
fn check_tail(
    path: &Path,
    bytes: &[u8],
    end: &ReplayEnd,
    is_last: bool,
) -> Result<Option<Failure>, Failure> {
    let tail = &bytes[end.offset..];
    if tail.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let corruption = Failure::damaged(path, end.offset, Corruption::Checksum);
    if frame::find_later(tail, end.next).is_some() {
        return Err(corruption);
    }
    Ok((!is_last).then_some(corruption))
}

fn missing(folder: &Path, segment: u64) -> Failure {
    Failure::Missing {
        path: Arc::from(segment::path(folder, segment)),
        segment,
    }
}

fn out_of_order(path: &Path, offset: usize, expected: Position, found: Position) -> Failure {
    Failure::damaged(path, offset, Corruption::Order { expected, found })
}

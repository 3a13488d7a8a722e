//! Reading a journal back at start.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use crate::failure::Damage;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::frame;
use crate::frame::Frame;
use crate::identity::Identity;
use crate::position::Position;
use crate::segment;
use crate::segment::Header;

/// One thing read back at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'bytes> {
    /// The snapshot, when there is one; comes first.
    Snapshot {
        /// Last frame it stands for.
        covers: Position,
        /// The state.
        bytes: &'bytes [u8],
    },
    /// A frame after the snapshot.
    Frame {
        /// Its position.
        position: Position,
        /// Its kind.
        kind: u8,
        /// Its body.
        body: &'bytes [u8],
    },
}

/// Receives what is read back, in order.
pub(crate) type Sink<'sink> = &'sink mut dyn FnMut(Event<'_>);

/// Where the journal goes on.
#[derive(Debug)]
pub(crate) struct End {
    /// Segments with their first positions, in order.
    pub(crate) segments: Vec<(u64, Position)>,
    /// Next position.
    pub(crate) next: Position,
    /// Offset after the last valid frame of the last segment.
    pub(crate) offset: usize,
}

/// Checks all segments and hands the frames after `covers` to `sink`.
pub(crate) fn replay(
    folder: &Path,
    identity: Identity,
    covers: Position,
    sink: Sink<'_>,
) -> Result<End, Failure> {
    let numbers = segment::list(folder)?;
    let mut end = End {
        segments: Vec::new(),
        next: covers.next(),
        offset: 0,
    };
    let last = numbers.last().copied();
    let mut torn = None;
    for number in numbers {
        let path = segment::path(folder, number);
        if let Some((previous, _)) = end.segments.last()
            && number != previous + 1
        {
            return Err(missing(folder, previous + 1));
        }
        let bytes = fs::read(&path).map_err(|e| Failure::io(&path, Operation::Read, e))?;
        let header = check(&path, &bytes, identity, number)?;
        if end.segments.is_empty() && header.first > covers.next() {
            return Err(missing(folder, number.saturating_sub(1)));
        }
        if !end.segments.is_empty() && header.first != end.next {
            // The frames before are not all there: damage in the segment before, or another segment.
            if let Some(failure) = torn.take() {
                return Err(failure);
            }
            return Err(order(&path, segment::HEADER, end.next, header.first));
        }
        end.next = header.first;
        end.segments.push((number, header.first));
        let sealed = frames(&path, &bytes, &mut end, covers, sink)?;
        let is_last = last == Some(number);
        if sealed && is_last {
            return Err(missing(folder, number + 1));
        }
        torn = if sealed {
            None
        } else {
            check_rest(&path, &bytes, &end, is_last)?
        };
    }
    let gone = end.segments.is_empty() && covers > Position(0);
    if gone || end.next <= covers {
        // The snapshot stands for frames that were synced before it was written.
        return Err(missing(folder, last.map_or(0, |last| last + 1)));
    }
    Ok(end)
}

fn check(path: &Path, bytes: &[u8], identity: Identity, number: u64) -> Result<Header, Failure> {
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

/// Reads the frames of one segment; true when it is sealed.
fn frames(
    path: &Path,
    bytes: &[u8],
    end: &mut End,
    covers: Position,
    sink: Sink<'_>,
) -> Result<bool, Failure> {
    let mut at = segment::HEADER;
    while let Some(frame) = Frame::read(&bytes[at..], |_| true) {
        if frame.sequence != end.next {
            return Err(order(path, at, end.next, frame.sequence));
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
        at += frame.size();
        end.next = end.next.next();
    }
    end.offset = at;
    Ok(false)
}

/// Judges what follows the last valid frame of a segment.
///
/// Only the last write of the last segment may be torn; a valid frame behind the damage shows that
/// it was not the last. In a segment before, a torn seal is harmless, so that the damage is returned
/// to be reported if frames turn out to be missing.
fn check_rest(
    path: &Path,
    bytes: &[u8],
    end: &End,
    last: bool,
) -> Result<Option<Failure>, Failure> {
    let rest = &bytes[end.offset..];
    if rest.iter().all(|byte| *byte == 0) {
        return Ok(None);
    }
    let damage = Failure::damaged(path, end.offset, Damage::Checksum);
    if frame::find_later(rest, end.next).is_some() {
        return Err(damage);
    }
    Ok((!last).then_some(damage))
}

fn missing(folder: &Path, segment: u64) -> Failure {
    Failure::Missing {
        path: Arc::from(segment::path(folder, segment)),
        segment,
    }
}

fn order(path: &Path, at: usize, expected: Position, found: Position) -> Failure {
    Failure::damaged(path, at, Damage::Order { expected, found })
}

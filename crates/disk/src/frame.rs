//! Encoding of frames, the records of a journal.
//!
//! A frame consists of its length (u32, of kind and body, so never zero), the CRC-32C of all other
//! fields, the sequence (u64), the kind and the body. Integers are little-endian. Reserved space is
//! zero, so a zero length marks the end.

use crate::position::Position;

/// Size of a frame without its body: length, checksum, sequence, kind.
pub(crate) const HEADER_BYTES: usize = 4 + 4 + 8 + 1;

/// Kind of the last frame of a segment, which states that another segment follows.
pub(crate) const SEAL: u8 = u8::MAX;

#[derive(Debug)]
pub(crate) struct Frame<'bytes> {
    pub(crate) sequence: Position,
    pub(crate) kind: u8,
    pub(crate) body: &'bytes [u8],
}

impl<'bytes> Frame<'bytes> {
    pub(crate) fn size(&self) -> usize {
        HEADER_BYTES + self.body.len()
    }

    pub(crate) fn write(&self, bytes: &mut Vec<u8>) {
        let length = (self.body.len() + 1) as u32;
        bytes.extend_from_slice(&length.to_le_bytes());
        let start = bytes.len();
        bytes.extend_from_slice(&[0; 4]);
        bytes.extend_from_slice(&self.sequence.0.to_le_bytes());
        bytes.push(self.kind);
        bytes.extend_from_slice(self.body);
        let sum = checksum(length, &bytes[start + 4..]);
        bytes[start..start + 4].copy_from_slice(&sum.to_le_bytes());
    }

    /// Decodes the frame at the start of `bytes`; `None` if it is incomplete or invalid, or `accept` rejects its sequence.
    pub(crate) fn read(bytes: &'bytes [u8], accept: impl Fn(Position) -> bool) -> Option<Self> {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length);
        let (sum, rest) = rest.split_first_chunk::<4>()?;
        let (sequence, _) = rest.split_first_chunk::<8>()?;
        let sequence = Position(u64::from_le_bytes(*sequence));
        if length == 0 || !accept(sequence) {
            return None;
        }
        let covered = rest.get(..8 + length as usize)?;
        if checksum(length, covered) != u32::from_le_bytes(*sum) {
            return None;
        }
        Some(Self {
            sequence,
            kind: covered[8],
            body: &covered[9..],
        })
    }
}

/// Checksum of a frame. It covers the length as well, so that a corrupt length is detected.
fn checksum(length: u32, rest: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&length.to_le_bytes()), rest)
}

/// Offset of a valid frame in `bytes` whose sequence is later than `expected`; `None` if there is none.
pub(crate) fn find_later(bytes: &[u8], expected: Position) -> Option<usize> {
    // A frame has at least the size of its header, which bounds the sequences that can follow. The
    // bound makes it unlikely that random bytes are mistaken for a frame.
    let sequence_max = expected.0 + (bytes.len() / HEADER_BYTES) as u64 + 1;
    (1..bytes.len()).find(|offset| {
        Frame::read(&bytes[*offset..], |s| s > expected && s.0 <= sequence_max).is_some()
    })
}

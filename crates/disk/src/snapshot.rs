//! Snapshot file, which replaces the frames of a journal up to a position.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::calls::IoCalls;
use crate::failure::Corruption;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::folder::replace_file;
use crate::identity::Identity;
use crate::position::Position;

const MAGIC: [u8; 8] = *b"SHTRSNAP";
const VERSION: u32 = 1;
/// Size of the header: magic number, version, identity, position, length.
const HEADER_BYTES: usize = 8 + 4 + 16 + 8 + 8;
const FILE_NAME: &str = "snapshot";

/// State that replaces all frames up to a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last frame that the snapshot covers.
    pub covers: Position,
    /// State that the owner of the journal stored.
    pub bytes: Vec<u8>,
}

pub(crate) fn write(
    folder: &Path,
    identity: Identity,
    covers: Position,
    body: &[u8],
    calls: &IoCalls,
) -> Result<(), Failure> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    header.extend_from_slice(&MAGIC);
    header.extend_from_slice(&VERSION.to_le_bytes());
    header.extend_from_slice(&identity.0.to_le_bytes());
    header.extend_from_slice(&covers.0.to_le_bytes());
    header.extend_from_slice(&(body.len() as u64).to_le_bytes());
    let sum = crc32c::crc32c_append(crc32c::crc32c(&header), body);
    let parts: [&[u8]; 3] = [&header, body, &sum.to_le_bytes()];
    replace_file(&folder.join(FILE_NAME), &parts, calls)
}

pub(crate) fn read(folder: &Path, identity: Identity) -> Result<Option<Snapshot>, Failure> {
    let path = folder.join(FILE_NAME);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Failure::io(&path, Operation::Read, error)),
    };
    let damaged = |offset, damage| Err(Failure::damaged(&path, offset, damage));
    let Some((covered, sum)) = bytes.split_last_chunk::<4>() else {
        return damaged(bytes.len(), Corruption::Short);
    };
    if covered.len() < HEADER_BYTES {
        return damaged(bytes.len(), Corruption::Short);
    }
    if covered[..8] != MAGIC {
        return damaged(0, Corruption::Magic);
    }
    // The version is checked before the checksum, whose place may differ in another format.
    let version = u32::from_le_bytes(field(covered, 8));
    if version != VERSION {
        return damaged(8, Corruption::Version(version));
    }
    if crc32c::crc32c(covered) != u32::from_le_bytes(*sum) {
        return damaged(covered.len(), Corruption::Checksum);
    }
    let found = Identity(u128::from_le_bytes(field(covered, 12)));
    if found != identity {
        return Err(Failure::WrongIdentity {
            path: Arc::from(path),
            expected: identity,
            found,
        });
    }
    Ok(Some(Snapshot {
        covers: Position(u64::from_le_bytes(field(covered, 28))),
        bytes: covered[HEADER_BYTES..].to_vec(),
    }))
}

fn field<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&bytes[offset..offset + N]);
    field
}

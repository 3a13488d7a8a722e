//! Snapshots: what a journal holds up to a position, in one file.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::calls::Calls;
use crate::failure::Damage;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::folder::replace;
use crate::identity::Identity;
use crate::position::Position;

const MAGIC: [u8; 8] = *b"SHTRSNAP";
const VERSION: u32 = 1;
/// Magic, version, identity, position, length.
const HEADER: usize = 8 + 4 + 16 + 8 + 8;
const NAME: &str = "snapshot";

/// State that stands for all frames up to a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last frame it stands for.
    pub covers: Position,
    /// The state.
    pub bytes: Vec<u8>,
}

pub(crate) fn write(
    folder: &Path,
    identity: Identity,
    covers: Position,
    body: &[u8],
    calls: &Calls,
) -> Result<(), Failure> {
    let mut header = Vec::with_capacity(HEADER);
    header.extend_from_slice(&MAGIC);
    header.extend_from_slice(&VERSION.to_le_bytes());
    header.extend_from_slice(&identity.0.to_le_bytes());
    header.extend_from_slice(&covers.0.to_le_bytes());
    header.extend_from_slice(&(body.len() as u64).to_le_bytes());
    let sum = crc32c::crc32c_append(crc32c::crc32c(&header), body);
    let parts: [&[u8]; 3] = [&header, body, &sum.to_le_bytes()];
    replace(&folder.join(NAME), &parts, calls)
}

pub(crate) fn read(folder: &Path, identity: Identity) -> Result<Option<Snapshot>, Failure> {
    let path = folder.join(NAME);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Failure::io(&path, Operation::Read, error)),
    };
    let damaged = |offset, damage| Err(Failure::damaged(&path, offset, damage));
    let Some((covered, sum)) = bytes.split_last_chunk::<4>() else {
        return damaged(bytes.len(), Damage::Short);
    };
    if covered.len() < HEADER {
        return damaged(bytes.len(), Damage::Short);
    }
    if covered[..8] != MAGIC {
        return damaged(0, Damage::Magic);
    }
    // Before the checksum, which another format may have elsewhere.
    let version = u32::from_le_bytes(part(covered, 8));
    if version != VERSION {
        return damaged(8, Damage::Version(version));
    }
    if crc32c::crc32c(covered) != u32::from_le_bytes(*sum) {
        return damaged(covered.len(), Damage::Checksum);
    }
    let found = Identity(u128::from_le_bytes(part(covered, 12)));
    if found != identity {
        return Err(Failure::WrongIdentity {
            path: Arc::from(path),
            expected: identity,
            found,
        });
    }
    Ok(Some(Snapshot {
        covers: Position(u64::from_le_bytes(part(covered, 28))),
        bytes: covered[HEADER..].to_vec(),
    }))
}

fn part<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut part = [0; N];
    part.copy_from_slice(&bytes[at..at + N]);
    part
}

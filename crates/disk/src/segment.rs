//! Segments: the files of a journal.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;

use crate::calls::Calls;
use crate::failure::Damage;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::folder::sync_folder;
use crate::identity::Identity;
use crate::position::Position;

const MAGIC: [u8; 8] = *b"SHTRJRNL";
const VERSION: u32 = 1;

/// Magic, version, identity, number, first sequence, checksum.
pub(crate) const HEADER: usize = 8 + 4 + 16 + 8 + 8 + 4;

/// Name of the file whose space is reserved for the next segment.
const RESERVED: &str = "reserved.tmp";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) identity: Identity,
    pub(crate) number: u64,
    pub(crate) first: Position,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&self.identity.0.to_le_bytes());
        bytes.extend_from_slice(&self.number.to_le_bytes());
        bytes.extend_from_slice(&self.first.0.to_le_bytes());
        let sum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub(crate) fn decode(path: &Path, bytes: &[u8]) -> Result<Self, Failure> {
        let Some((bytes, _)) = bytes.split_first_chunk::<HEADER>() else {
            return Err(Failure::damaged(path, bytes.len(), Damage::Short));
        };
        if bytes[..8] != MAGIC {
            return Err(Failure::damaged(path, 0, Damage::Magic));
        }
        // Before the checksum, which another format may have elsewhere.
        let version = u32::from_le_bytes(part(bytes, 8));
        if version != VERSION {
            return Err(Failure::damaged(path, 8, Damage::Version(version)));
        }
        if crc32c::crc32c(&bytes[..HEADER - 4]).to_le_bytes() != bytes[HEADER - 4..] {
            return Err(Failure::damaged(path, HEADER - 4, Damage::Checksum));
        }
        Ok(Self {
            identity: Identity(u128::from_le_bytes(part(bytes, 12))),
            number: u64::from_le_bytes(part(bytes, 28)),
            first: Position(u64::from_le_bytes(part(bytes, 36))),
        })
    }
}

fn part<const N: usize>(bytes: &[u8; HEADER], at: usize) -> [u8; N] {
    let mut part = [0; N];
    part.copy_from_slice(&bytes[at..at + N]);
    part
}

pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016x}.log"))
}

/// Numbers of the segments in the folder, in order; leftovers of a crash are removed.
pub(crate) fn list(folder: &Path) -> Result<Vec<u64>, Failure> {
    let failed = |error| Failure::io(folder, Operation::Read, error);
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        match path.extension().and_then(|extension| extension.to_str()) {
            Some("tmp") => {
                fs::remove_file(&path).map_err(|e| Failure::io(&path, Operation::Remove, e))?;
            }
            Some("log") => {
                let stem = path.file_stem().and_then(|stem| stem.to_str());
                let number = stem.and_then(|stem| u64::from_str_radix(stem, 16).ok());
                numbers.extend(number);
            }
            _ => {}
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reserves the space of a segment under a temporary name.
pub(crate) fn reserve(folder: &Path, size: u64, calls: &Calls) -> Result<File, Failure> {
    let name = folder.join(RESERVED);
    let file = File::options()
        .create(true)
        .truncate(true)
        .read(true)
        .write(true)
        .open(&name)
        .map_err(|error| Failure::io(&name, Operation::Create, error))?;
    if let Err(error) = (calls.reserve)(&file, size) {
        // What was reserved in part is given back, so that a full disk stays usable.
        fs::remove_file(&name).map_err(|e| Failure::io(&name, Operation::Remove, e))?;
        return Err(Failure::io(&name, Operation::Reserve, error));
    }
    Ok(file)
}

/// Makes the reserved file a segment, durable with its name.
pub(crate) fn begin(
    folder: &Path,
    file: &File,
    header: &Header,
    calls: &Calls,
) -> Result<(), Failure> {
    let path = path(folder, header.number);
    calls
        .write_all(file, &header.encode(), 0)
        .map_err(|error| Failure::io(&path, Operation::Write, error))?;
    (calls.sync)(file).map_err(|error| Failure::io(&path, Operation::Sync, error))?;
    fs::rename(folder.join(RESERVED), &path)
        .map_err(|error| Failure::io(&path, Operation::Rename, error))?;
    sync_folder(folder, calls)
}

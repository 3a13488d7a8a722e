//! Segment files of a journal: headers, names, and reservation of space.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;

use crate::calls::IoCalls;
use crate::failure::Corruption;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::folder::sync_folder;
use crate::identity::Identity;
use crate::position::Position;

const MAGIC: [u8; 8] = *b"SHTRJRNL";
const VERSION: u32 = 1;

/// Size of the header: magic number, version, identity, segment number, first position, checksum.
pub(crate) const HEADER_BYTES: usize = 8 + 4 + 16 + 8 + 8 + 4;

/// Name of the file that reserves the space of the next segment.
const RESERVED_FILE: &str = "reserved.tmp";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) identity: Identity,
    pub(crate) number: u64,
    pub(crate) first: Position,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
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
        let Some((bytes, _)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
            return Err(Failure::damaged(path, bytes.len(), Corruption::Short));
        };
        if bytes[..8] != MAGIC {
            return Err(Failure::damaged(path, 0, Corruption::Magic));
        }
        // The version is checked before the checksum, whose place may differ in another format.
        let version = u32::from_le_bytes(field(bytes, 8));
        if version != VERSION {
            return Err(Failure::damaged(path, 8, Corruption::Version(version)));
        }
        if crc32c::crc32c(&bytes[..HEADER_BYTES - 4]).to_le_bytes() != bytes[HEADER_BYTES - 4..] {
            return Err(Failure::damaged(
                path,
                HEADER_BYTES - 4,
                Corruption::Checksum,
            ));
        }
        Ok(Self {
            identity: Identity(u128::from_le_bytes(field(bytes, 12))),
            number: u64::from_le_bytes(field(bytes, 28)),
            first: Position(u64::from_le_bytes(field(bytes, 36))),
        })
    }
}

fn field<const N: usize>(bytes: &[u8; HEADER_BYTES], offset: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&bytes[offset..offset + N]);
    field
}

pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016x}.log"))
}

/// Lists the numbers of the segments in the folder in ascending order, and removes temporary files left by a crash.
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

/// Creates a file under a temporary name and reserves the space of a segment for it.
pub(crate) fn reserve(folder: &Path, size: u64, calls: &IoCalls) -> Result<File, Failure> {
    let name = folder.join(RESERVED_FILE);
    let file = File::options()
        .create(true)
        .truncate(true)
        .read(true)
        .write(true)
        .open(&name)
        .map_err(|error| Failure::io(&name, Operation::Create, error))?;
    if let Err(error) = (calls.reserve)(&file, size) {
        // Partially reserved space is released, so that a full disk remains usable.
        fs::remove_file(&name).map_err(|e| Failure::io(&name, Operation::Remove, e))?;
        return Err(Failure::io(&name, Operation::Reserve, error));
    }
    Ok(file)
}

/// Writes the header of a reserved file and renames it to a segment; both are durable on return.
pub(crate) fn commit(
    folder: &Path,
    file: &File,
    header: &Header,
    calls: &IoCalls,
) -> Result<(), Failure> {
    let path = path(folder, header.number);
    calls
        .write_all(file, &header.encode(), 0)
        .map_err(|error| Failure::io(&path, Operation::Write, error))?;
    (calls.sync)(file).map_err(|error| Failure::io(&path, Operation::Sync, error))?;
    fs::rename(folder.join(RESERVED_FILE), &path)
        .map_err(|error| Failure::io(&path, Operation::Rename, error))?;
    sync_folder(folder, calls)
}

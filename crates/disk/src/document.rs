//! Small file in the data folder that is replaced atomically.
//!
//! It is intended for state that is small and changes rarely. After a crash the
//! file contains either the previous or the latest content, never a mixture.

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

const MAGIC: [u8; 8] = *b"SHTRDOCU";
const VERSION: u32 = 1;
/// Size of the header: magic number, version, identity.
const HEADER_BYTES: usize = 8 + 4 + 16;

/// A file with a checksum and the identity of its disk.
#[derive(Debug)]
pub struct Document {
    path: Arc<Path>,
    identity: Identity,
    calls: IoCalls,
}

impl Document {
    /// Creates a handle for the document `name` of the data folder `folder`, whose disk has `identity`.
    pub fn new(folder: &Path, name: &str, identity: Identity, calls: IoCalls) -> Self {
        Self {
            path: Arc::from(folder.join(name)),
            identity,
            calls,
        }
    }

    /// Reads the content; `None` if it was never written.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`] when the file cannot be read, is corrupt or belongs to another disk.
    pub fn read(&self) -> Result<Option<Vec<u8>>, Failure> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(Failure::io(&self.path, Operation::Read, error)),
        };
        let damaged = |offset, damage| Err(Failure::damaged(&self.path, offset, damage));
        let Some((covered, sum)) = bytes.split_last_chunk::<4>() else {
            return damaged(bytes.len(), Corruption::Short);
        };
        if covered.len() < HEADER_BYTES {
            return damaged(bytes.len(), Corruption::Short);
        }
        if covered[..8] != MAGIC {
            return damaged(0, Corruption::Magic);
        }
        if crc32c::crc32c(covered) != u32::from_le_bytes(*sum) {
            return damaged(covered.len(), Corruption::Checksum);
        }
        if covered[8..12] != VERSION.to_le_bytes() {
            let mut version = [0; 4];
            version.copy_from_slice(&covered[8..12]);
            return damaged(8, Corruption::Version(u32::from_le_bytes(version)));
        }
        let mut identity = [0; 16];
        identity.copy_from_slice(&covered[12..HEADER_BYTES]);
        let found = Identity(u128::from_le_bytes(identity));
        if found != self.identity {
            return Err(Failure::WrongIdentity {
                path: Arc::clone(&self.path),
                expected: self.identity,
                found,
            });
        }
        Ok(Some(covered[HEADER_BYTES..].to_vec()))
    }

    /// Replaces the content and returns once it is durable.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`] when a system call fails; an error before the rename leaves the previous content in place.
    pub fn write(&self, content: &[u8]) -> Result<(), Failure> {
        let mut header = Vec::with_capacity(HEADER_BYTES);
        header.extend_from_slice(&MAGIC);
        header.extend_from_slice(&VERSION.to_le_bytes());
        header.extend_from_slice(&self.identity.0.to_le_bytes());
        let sum = crc32c::crc32c_append(crc32c::crc32c(&header), content);
        let parts: [&[u8]; 3] = [&header, content, &sum.to_le_bytes()];
        replace_file(&self.path, &parts, &self.calls)
    }
}

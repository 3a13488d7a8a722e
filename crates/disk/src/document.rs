//! A file that is replaced as a whole.
//!
//! It suits state that is small and changes seldom: after a crash the file holds
//! all of an earlier or all of the latest content, and never a part.

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

const MAGIC: [u8; 8] = *b"SHTRDOCU";
const VERSION: u32 = 1;
/// Magic, version, identity.
const HEADER: usize = 8 + 4 + 16;

/// A document of a data folder.
#[derive(Debug)]
pub struct Document {
    path: Arc<Path>,
    identity: Identity,
    calls: Calls,
}

impl Document {
    /// Names a document of the folder at `folder`, whose disk has `identity`.
    pub fn new(folder: &Path, name: &str, identity: Identity, calls: Calls) -> Self {
        Self {
            path: Arc::from(folder.join(name)),
            identity,
            calls,
        }
    }

    /// Reads the content; nothing if it was never written.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is damaged or belongs to another disk.
    pub fn read(&self) -> Result<Option<Vec<u8>>, Failure> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(Failure::io(&self.path, Operation::Read, error)),
        };
        let damaged = |offset, damage| Err(Failure::damaged(&self.path, offset, damage));
        let Some((covered, sum)) = bytes.split_last_chunk::<4>() else {
            return damaged(bytes.len(), Damage::Short);
        };
        if covered.len() < HEADER {
            return damaged(bytes.len(), Damage::Short);
        }
        if covered[..8] != MAGIC {
            return damaged(0, Damage::Magic);
        }
        if crc32c::crc32c(covered) != u32::from_le_bytes(*sum) {
            return damaged(covered.len(), Damage::Checksum);
        }
        if covered[8..12] != VERSION.to_le_bytes() {
            let mut version = [0; 4];
            version.copy_from_slice(&covered[8..12]);
            return damaged(8, Damage::Version(u32::from_le_bytes(version)));
        }
        let mut identity = [0; 16];
        identity.copy_from_slice(&covered[12..HEADER]);
        let found = Identity(u128::from_le_bytes(identity));
        if found != self.identity {
            return Err(Failure::WrongIdentity {
                path: Arc::clone(&self.path),
                expected: self.identity,
                found,
            });
        }
        Ok(Some(covered[HEADER..].to_vec()))
    }

    /// Replaces the content and returns once it is durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk refuses; the earlier content stands then.
    pub fn write(&self, content: &[u8]) -> Result<(), Failure> {
        let mut header = Vec::with_capacity(HEADER);
        header.extend_from_slice(&MAGIC);
        header.extend_from_slice(&VERSION.to_le_bytes());
        header.extend_from_slice(&self.identity.0.to_le_bytes());
        let sum = crc32c::crc32c_append(crc32c::crc32c(&header), content);
        let parts: [&[u8]; 3] = [&header, content, &sum.to_le_bytes()];
        replace(&self.path, &parts, &self.calls)
    }
}

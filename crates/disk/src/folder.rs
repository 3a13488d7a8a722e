//! Data folder of a process: its lock, its disk identity, and atomic replacement of files.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;

use rustix::fs::FlockOperation;
use rustix::fs::flock;

use crate::calls::IoCalls;
use crate::failure::Corruption;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::identity::Identity;

const MAGIC: [u8; 8] = *b"SHTRIDNT";
const VERSION: u32 = 1;
/// Size of the identity file: magic number, version, identity, checksum.
const IDENTITY_BYTES: usize = 8 + 4 + 16 + 4;
const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";

/// A data folder that is locked by this process.
#[derive(Debug)]
pub struct Folder {
    path: Arc<Path>,
    identity: Identity,
    // The operating system releases the lock when the file is closed.
    _lock: File,
}

impl Folder {
    /// Opens the folder at `path`, or creates it with a new identity.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`] when another process uses the folder, when it contains data without an
    /// identity, when the identity file is corrupt, or when a system call fails.
    pub fn open(path: &Path) -> Result<Self, Failure> {
        create_folder(path)?;
        let lock = lock(path)?;
        let identity_path = path.join(IDENTITY_FILE);
        let identity = match fs::read(&identity_path) {
            Ok(bytes) => decode(&identity_path, &bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => create_identity(path)?,
            Err(error) => return Err(Failure::io(&identity_path, Operation::Read, error)),
        };
        Ok(Self {
            path: Arc::from(path),
            identity,
            _lock: lock,
        })
    }

    /// Identity of this disk.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

fn lock(path: &Path) -> Result<File, Failure> {
    let name = path.join(LOCK_FILE);
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&name)
        .map_err(|error| Failure::io(&name, Operation::Create, error))?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(file),
        Err(rustix::io::Errno::WOULDBLOCK) => Err(Failure::Locked {
            path: Arc::from(name),
        }),
        Err(error) => Err(Failure::io(&name, Operation::Create, error.into())),
    }
}

/// Creates the identity. A folder that contains anything but files of an unfinished creation has lost its identity.
fn create_identity(path: &Path) -> Result<Identity, Failure> {
    let entries = fs::read_dir(path).map_err(|e| Failure::io(path, Operation::Read, e))?;
    for entry in entries {
        let name = entry
            .map_err(|e| Failure::io(path, Operation::Read, e))?
            .file_name();
        if name != LOCK_FILE && name != temporary_path(Path::new(IDENTITY_FILE)) {
            return Err(Failure::NoIdentity {
                path: Arc::from(path),
            });
        }
    }
    let identity = Identity(random_number(path)?);
    let mut bytes = Vec::with_capacity(IDENTITY_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&identity.0.to_le_bytes());
    let sum = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    replace_file(&path.join(IDENTITY_FILE), &[&bytes], &IoCalls::default())?;
    Ok(identity)
}

fn random_number(path: &Path) -> Result<u128, Failure> {
    let mut bytes = [0; 16];
    File::open("/dev/urandom")
        .and_then(|mut file| file.read_exact(&mut bytes))
        .map_err(|error| Failure::io(path, Operation::Create, error))?;
    Ok(u128::from_le_bytes(bytes))
}

fn decode(path: &Path, bytes: &[u8]) -> Result<Identity, Failure> {
    let damaged = |offset, damage| Failure::damaged(path, offset, damage);
    let Some((magic, rest)) = bytes.split_first_chunk::<8>() else {
        return Err(damaged(bytes.len(), Corruption::Short));
    };
    if *magic != MAGIC {
        return Err(damaged(0, Corruption::Magic));
    }
    let Some((version, rest)) = rest.split_first_chunk::<4>() else {
        return Err(damaged(bytes.len(), Corruption::Short));
    };
    let version = u32::from_le_bytes(*version);
    if version != VERSION {
        return Err(damaged(8, Corruption::Version(version)));
    }
    let Some((identity, rest)) = rest.split_first_chunk::<16>() else {
        return Err(damaged(bytes.len(), Corruption::Short));
    };
    if rest != crc32c::crc32c(&bytes[..IDENTITY_BYTES - 4]).to_le_bytes() {
        return Err(damaged(IDENTITY_BYTES - 4, Corruption::Checksum));
    }
    Ok(Identity(u128::from_le_bytes(*identity)))
}

/// Creates a folder and its parents, and syncs their directory entries.
pub(crate) fn create_folder(path: &Path) -> Result<(), Failure> {
    if path.is_dir() {
        return Ok(());
    }
    let parent = match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    };
    create_folder(parent)?;
    fs::create_dir(path).map_err(|e| Failure::io(path, Operation::Create, e))?;
    sync_folder(parent, &IoCalls::default())
}

pub(crate) fn sync_folder(path: &Path, calls: &IoCalls) -> Result<(), Failure> {
    let folder = File::open(path).map_err(|e| Failure::io(path, Operation::Read, e))?;
    (calls.sync)(&folder).map_err(|e| Failure::io(path, Operation::Sync, e))
}

pub(crate) fn temporary_path(path: &Path) -> std::path::PathBuf {
    path.with_extension("tmp")
}

/// Replaces a file atomically: after a crash it contains either the old or the new content.
pub(crate) fn replace_file(path: &Path, parts: &[&[u8]], calls: &IoCalls) -> Result<(), Failure> {
    let name = temporary_path(path);
    let file = File::create(&name).map_err(|e| Failure::io(&name, Operation::Create, e))?;
    let mut offset = 0;
    for part in parts {
        calls
            .write_all(&file, part, offset)
            .map_err(|e| Failure::io(&name, Operation::Write, e))?;
        offset += part.len() as u64;
    }
    (calls.sync)(&file).map_err(|e| Failure::io(&name, Operation::Sync, e))?;
    fs::rename(&name, path).map_err(|e| Failure::io(path, Operation::Rename, e))?;
    sync_folder(path.parent().unwrap_or(Path::new(".")), calls)
}

//! The data folder of one process.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;

use rustix::fs::FlockOperation;
use rustix::fs::flock;

use crate::calls::Calls;
use crate::failure::Damage;
use crate::failure::Failure;
use crate::failure::Operation;
use crate::identity::Identity;

const MAGIC: [u8; 8] = *b"SHTRIDNT";
const VERSION: u32 = 1;
/// Magic, version, identity, checksum.
const SIZE: usize = 8 + 4 + 16 + 4;
const LOCK: &str = "lock";
const NAME: &str = "identity";

/// A data folder that this process alone uses.
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
    /// Fails when another process uses it, when it holds data without an identity, or on damage.
    pub fn open(path: &Path) -> Result<Self, Failure> {
        create_folder(path)?;
        let lock = lock(path)?;
        let file = path.join(NAME);
        let identity = match fs::read(&file) {
            Ok(bytes) => decode(&file, &bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => create(path)?,
            Err(error) => return Err(Failure::io(&file, Operation::Read, error)),
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

    /// Where the folder is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

fn lock(path: &Path) -> Result<File, Failure> {
    let name = path.join(LOCK);
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

/// Creates the identity; a folder with anything but leftovers of an earlier attempt has lost its identity.
fn create(path: &Path) -> Result<Identity, Failure> {
    let entries = fs::read_dir(path).map_err(|e| Failure::io(path, Operation::Read, e))?;
    for entry in entries {
        let name = entry
            .map_err(|e| Failure::io(path, Operation::Read, e))?
            .file_name();
        if name != LOCK && name != temporary(Path::new(NAME)) {
            return Err(Failure::NoIdentity {
                path: Arc::from(path),
            });
        }
    }
    let identity = Identity(random(path)?);
    let mut bytes = Vec::with_capacity(SIZE);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&identity.0.to_le_bytes());
    let sum = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    replace(&path.join(NAME), &[&bytes], &Calls::default())?;
    Ok(identity)
}

fn random(path: &Path) -> Result<u128, Failure> {
    let mut bytes = [0; 16];
    File::open("/dev/urandom")
        .and_then(|mut file| file.read_exact(&mut bytes))
        .map_err(|error| Failure::io(path, Operation::Create, error))?;
    Ok(u128::from_le_bytes(bytes))
}

fn decode(path: &Path, bytes: &[u8]) -> Result<Identity, Failure> {
    let damaged = |offset, damage| Failure::damaged(path, offset, damage);
    let Some((magic, rest)) = bytes.split_first_chunk::<8>() else {
        return Err(damaged(bytes.len(), Damage::Short));
    };
    if *magic != MAGIC {
        return Err(damaged(0, Damage::Magic));
    }
    let Some((version, rest)) = rest.split_first_chunk::<4>() else {
        return Err(damaged(bytes.len(), Damage::Short));
    };
    let version = u32::from_le_bytes(*version);
    if version != VERSION {
        return Err(damaged(8, Damage::Version(version)));
    }
    let Some((identity, rest)) = rest.split_first_chunk::<16>() else {
        return Err(damaged(bytes.len(), Damage::Short));
    };
    if rest != crc32c::crc32c(&bytes[..SIZE - 4]).to_le_bytes() {
        return Err(damaged(SIZE - 4, Damage::Checksum));
    }
    Ok(Identity(u128::from_le_bytes(*identity)))
}

/// Creates a folder and makes its name durable.
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
    sync_folder(parent, &Calls::default())
}

pub(crate) fn sync_folder(path: &Path, calls: &Calls) -> Result<(), Failure> {
    let folder = File::open(path).map_err(|e| Failure::io(path, Operation::Read, e))?;
    (calls.sync)(&folder).map_err(|e| Failure::io(path, Operation::Sync, e))
}

pub(crate) fn temporary(path: &Path) -> std::path::PathBuf {
    path.with_extension("tmp")
}

/// Replaces a file at once: after a crash it holds all of the old or all of the new content.
pub(crate) fn replace(path: &Path, parts: &[&[u8]], calls: &Calls) -> Result<(), Failure> {
    let name = temporary(path);
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

//! System calls of a journal, which tests replace to inject faults.

use std::fmt;
use std::fs::File;
use std::io;
use std::marker;
use std::os::unix::fs::FileExt;

use rustix::fs::FallocateFlags;
use rustix::fs::fallocate;

/// Writes bytes at an offset and returns how many were written.
pub type Write = Box<dyn Fn(&File, &[u8], u64) -> io::Result<usize> + Send + marker::Sync>;
/// Syncs a file or directory.
pub type Sync = Box<dyn Fn(&File) -> io::Result<()> + Send + marker::Sync>;
/// Reserves space for a file up to a size.
pub type Reserve = Box<dyn Fn(&File, u64) -> io::Result<()> + Send + marker::Sync>;

/// System calls for writing files. The default calls the operating system.
pub struct IoCalls {
    /// Writes bytes to a file.
    pub write: Write,
    /// Syncs a file or directory.
    pub sync: Sync,
    /// Reserves space for a file.
    pub reserve: Reserve,
}

impl Default for IoCalls {
    fn default() -> Self {
        Self {
            write: Box::new(File::write_at),
            sync: Box::new(File::sync_data),
            reserve: Box::new(|file, size| {
                fallocate(file, FallocateFlags::empty(), 0, size).map_err(io::Error::from)
            }),
        }
    }
}

impl IoCalls {
    /// Writes all bytes, repeating short and interrupted writes.
    pub(crate) fn write_all(&self, file: &File, bytes: &[u8], offset: u64) -> io::Result<()> {
        let mut written = 0;
        while written < bytes.len() {
            match (self.write)(file, &bytes[written..], offset + written as u64) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

impl fmt::Debug for IoCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IoCalls").finish_non_exhaustive()
    }
}

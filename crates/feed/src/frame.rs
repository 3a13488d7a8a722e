//! Frames on a stream.

use std::error;
use std::fmt;
use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::message::VERSION;

/// Longest frame; the registers of ten thousand items stay below it.
const FRAME_BYTES_MAX: u32 = 16 * 1024 * 1024;

/// Why a frame could not be exchanged.
#[derive(Debug)]
pub enum Error {
    /// The stream failed or closed.
    Stream(io::Error),
    /// The frame is longer than allowed; holds its length in bytes.
    Long(u32),
    /// The sender speaks another version.
    Version(u8),
    /// The frame does not hold the message that is expected.
    Form(postcard::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stream(cause) => write!(f, "the stream failed: {cause}"),
            Self::Long(bytes) => write!(f, "a frame of {bytes} bytes is too long"),
            Self::Version(version) => write!(f, "version {version} of the messages is unknown"),
            Self::Form(cause) => write!(f, "the frame holds another message: {cause}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Stream(cause) => Some(cause),
            Self::Form(cause) => Some(cause),
            Self::Long(_) | Self::Version(_) => None,
        }
    }
}

/// Writes one message.
///
/// # Errors
///
/// Returns [`Error`] when the stream fails or the message is too long.
pub async fn write<S, M>(stream: &mut S, message: &M) -> Result<(), Error>
where
    S: AsyncWrite + Unpin,
    M: Serialize,
{
    let head = vec![0, 0, 0, 0, VERSION];
    let mut bytes = postcard::to_extend(message, head).map_err(Error::Form)?;
    let length = u32::try_from(bytes.len() - 4).unwrap_or(u32::MAX);
    if length > FRAME_BYTES_MAX {
        return Err(Error::Long(length));
    }
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    stream.write_all(&bytes).await.map_err(Error::Stream)
}

/// Reads one message.
///
/// # Errors
///
/// Returns [`Error`] when the stream fails or holds something else.
pub async fn read<S, M>(stream: &mut S) -> Result<M, Error>
where
    S: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    let length = stream.read_u32_le().await.map_err(Error::Stream)?;
    if length == 0 || length > FRAME_BYTES_MAX {
        return Err(Error::Long(length));
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await.map_err(Error::Stream)?;
    if bytes[0] != VERSION {
        return Err(Error::Version(bytes[0]));
    }
    postcard::from_bytes(&bytes[1..]).map_err(Error::Form)
}

//! Encodes messages as frames and transfers them on a byte stream.
//!
//! A frame starts with its length in 4 bytes, little-endian. The length covers
//! the rest: one byte for the message version, and the encoded message.

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

/// Maximum length of a frame, not counting the length field. The registers of ten thousand items fit into it.
const FRAME_BYTES_MAX: u32 = 16 * 1024 * 1024;

/// Why a frame could not be written or read.
#[derive(Debug)]
pub enum Error {
    /// The stream failed or was closed.
    Stream(io::Error),
    /// The length of the frame is zero or above the maximum; contains the length in bytes.
    InvalidLength(u32),
    /// The frame has another message version; contains that version.
    Version(u8),
    /// The message cannot be encoded, or the frame does not contain the expected message.
    Codec(postcard::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stream(cause) => write!(f, "the stream of the connection failed: {cause}"),
            Self::InvalidLength(bytes) => write!(
                f,
                "invalid frame length of {bytes} bytes; the maximum is {FRAME_BYTES_MAX}"
            ),
            Self::Version(version) => write!(
                f,
                "unsupported message version {version}; this process supports version {VERSION}"
            ),
            Self::Codec(cause) => {
                write!(f, "cannot encode or decode the message of a frame: {cause}")
            }
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Stream(cause) => Some(cause),
            Self::Codec(cause) => Some(cause),
            Self::InvalidLength(_) | Self::Version(_) => None,
        }
    }
}

/// Writes one message as a frame.
///
/// # Errors
///
/// Returns [`Error`] when the message cannot be encoded or is too long, or when the stream fails.
pub async fn write<S, M>(stream: &mut S, message: &M) -> Result<(), Error>
where
    S: AsyncWrite + Unpin,
    M: Serialize,
{
    let head = vec![0, 0, 0, 0, VERSION];
    let mut bytes = postcard::to_extend(message, head).map_err(Error::Codec)?;
    let length = u32::try_from(bytes.len() - 4).unwrap_or(u32::MAX);
    if length > FRAME_BYTES_MAX {
        return Err(Error::InvalidLength(length));
    }
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    stream.write_all(&bytes).await.map_err(Error::Stream)
}

/// Reads one message from a frame.
///
/// # Errors
///
/// Returns [`Error`] when the stream fails or does not contain a valid frame with a message of type `M`.
pub async fn read<S, M>(stream: &mut S) -> Result<M, Error>
where
    S: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    let length = stream.read_u32_le().await.map_err(Error::Stream)?;
    if length == 0 || length > FRAME_BYTES_MAX {
        return Err(Error::InvalidLength(length));
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await.map_err(Error::Stream)?;
    if bytes[0] != VERSION {
        return Err(Error::Version(bytes[0]));
    }
    postcard::from_bytes(&bytes[1..]).map_err(Error::Codec)
}

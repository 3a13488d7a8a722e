//! Encodes messages as frames and transfers them on a byte stream.
//!
//! A frame starts with its length in 4 bytes, little-endian. The length covers
//! the rest: one byte for the message version, and the encoded message.

use std::error;
use std::fmt;
use std::io;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::message::VERSION;
use shallotrill_limits::memory::Kind;
use shallotrill_wire::budget::Budget;
use shallotrill_wire::budget::Refusal;

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
    /// The budget of the process does not allow to hold the frame.
    Refused(Refusal),
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
            Self::Refused(refusal) => write!(f, "the frame is refused: {refusal}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Stream(cause) => Some(cause),
            Self::Codec(cause) => Some(cause),
            Self::InvalidLength(_) | Self::Version(_) | Self::Refused(_) => None,
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
    read_within(stream, None).await
}

/// Length up to which a frame takes nothing from the budget. Regular messages of routers are shorter.
const SMALL_BYTES: usize = 16 * 1024;

/// Reads one message as [`read`] does. A long frame takes memory from the budget as it arrives.
///
/// # Errors
///
/// Returns [`Error`] in the cases of [`read`], and when there is no memory for the frame.
pub async fn read_within<S, M>(stream: &mut S, budget: Option<&Arc<Budget>>) -> Result<M, Error>
where
    S: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    let length = stream.read_u32_le().await.map_err(Error::Stream)?;
    if length == 0 || length > FRAME_BYTES_MAX {
        return Err(Error::InvalidLength(length));
    }
    let length = length as usize;
    match budget {
        Some(budget) if length > SMALL_BYTES => {
            let held = budget.hold(Kind::Message, length);
            let mut arrival = held.map_err(Error::Refused)?;
            let ended = arrival.ended();
            while arrival.len() < length {
                let missing = length - arrival.len();
                let read = tokio::select! {
                    () = ended.notified() => return Err(Error::Refused(Refusal::NoRoom)),
                    read = arrival.read_from(stream, missing) => read.map_err(Error::Stream)?,
                };
                if read == 0 {
                    return Err(Error::Stream(io::ErrorKind::UnexpectedEof.into()));
                }
            }
            decode(&arrival.finish())
        }
        _ => {
            let mut bytes = vec![0; length];
            stream.read_exact(&mut bytes).await.map_err(Error::Stream)?;
            decode(&bytes)
        }
    }
}

fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, Error> {
    if bytes[0] != VERSION {
        return Err(Error::Version(bytes[0]));
    }
    postcard::from_bytes(&bytes[1..]).map_err(Error::Codec)
}

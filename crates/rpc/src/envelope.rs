//! Encoding of every message: a format version and an encoded body.

use std::error;
use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Format version of the messages that this program sends.
pub const VERSION: u16 = 1;

/// Oldest format version that this program reads.
pub const VERSION_MIN: u16 = 1;

/// An encoded message, as sent in the JSON-RPC parameters and results.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Format version of the body.
    pub version: u16,
    /// The body, encoded with postcard in base64.
    pub body: String,
}

/// Why a message cannot be decoded.
#[derive(Debug)]
pub enum Error {
    /// The message has a format version that this program does not read.
    Version(u16),
    /// The body is not valid base64.
    Base64(base64::DecodeError),
    /// The body cannot be decoded as the expected message type.
    Body(postcard::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => write!(
                f,
                "message version {version} is not in {VERSION_MIN}..={VERSION}"
            ),
            Self::Base64(cause) => write!(f, "message body is not base64: {cause}"),
            Self::Body(cause) => write!(f, "message body is not of the expected type: {cause}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Version(_) => None,
            Self::Base64(cause) => Some(cause),
            Self::Body(cause) => Some(cause),
        }
    }
}

impl Envelope {
    /// Encodes a message.
    ///
    /// # Panics
    ///
    /// Panics when the message type cannot be encoded with postcard, which is a programming error.
    pub fn encode<T: Serialize>(message: &T) -> Self {
        let bytes = postcard::to_allocvec(message).expect("every message type can be encoded");
        Self {
            version: VERSION,
            body: STANDARD.encode(bytes),
        }
    }

    /// Checks the format version and decodes the body.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the version is not supported or the body cannot be decoded as `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !(VERSION_MIN..=VERSION).contains(&self.version) {
            return Err(Error::Version(self.version));
        }
        let bytes = STANDARD.decode(&self.body).map_err(Error::Base64)?;
        postcard::from_bytes(&bytes).map_err(Error::Body)
    }
}

//! The form of every message: a format version and an encoded body.

use std::error;
use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the messages that this program sends.
pub const VERSION: u16 = 1;

/// Oldest version that this program reads.
pub const VERSION_OLDEST: u16 = 1;

/// A message in transit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Format version of the body.
    pub version: u16,
    /// The body, encoded with postcard in base64.
    pub body: String,
}

/// A message that cannot be read.
#[derive(Debug)]
pub enum Error {
    /// The sender uses a version that this program does not read.
    Version(u16),
    /// The body is not valid base64.
    Text(base64::DecodeError),
    /// The body does not have the form of the expected message.
    Form(postcard::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => write!(
                f,
                "message version {version} is not in {VERSION_OLDEST}..={VERSION}"
            ),
            Self::Text(cause) => write!(f, "the body is not base64: {cause}"),
            Self::Form(cause) => write!(f, "the body has another form: {cause}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Version(_) => None,
            Self::Text(cause) => Some(cause),
            Self::Form(cause) => Some(cause),
        }
    }
}

impl Envelope {
    /// Encodes a message.
    ///
    /// # Panics
    ///
    /// Panics when a message type cannot be encoded, which is a programming fault.
    pub fn seal<T: Serialize>(message: &T) -> Self {
        let bytes = postcard::to_allocvec(message).expect("message types can be encoded");
        Self {
            version: VERSION,
            body: STANDARD.encode(bytes),
        }
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] for another version or another form.
    pub fn open<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if !(VERSION_OLDEST..=VERSION).contains(&self.version) {
            return Err(Error::Version(self.version));
        }
        let bytes = STANDARD.decode(&self.body).map_err(Error::Text)?;
        postcard::from_bytes(&bytes).map_err(Error::Form)
    }
}

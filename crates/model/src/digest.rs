//! Digest of the content of a request.

use std::fmt;
use std::fmt::Write;
use std::str;

use serde::Deserialize;
use serde::Serialize;

pub use crate::hex::Invalid;

/// A 256-bit digest. Requests with equal digests are taken to have equal content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl str::FromStr for Digest {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = Invalid { digits: 64 };
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(invalid);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(pair, 16).or(Err(invalid))?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        let mut text = Self::with_capacity(64);
        write!(text, "{digest}").expect("writing to a `String` cannot fail");
        text
    }
}

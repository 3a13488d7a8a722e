//! Idempotency keys as operators write them.

use std::error;
use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

/// An idempotency key, a UUID. Its version is checked where its age is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(pub u128);

/// A text that is not a UUID in the form of RFC 9562.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a UUID of 32 hexadecimal digits in groups of 8, 4, 4, 4 and 12")
    }
}

impl error::Error for Invalid {}

/// Byte offsets of the hyphens.
const HYPHENS: [usize; 4] = [8, 13, 18, 23];

impl str::FromStr for Key {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let valid = |(index, byte): (usize, u8)| {
            if HYPHENS.contains(&index) {
                byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        };
        if text.len() != 36 || !text.bytes().enumerate().all(valid) {
            return Err(Invalid);
        }
        let digits = text.replace('-', "");
        u128::from_str_radix(&digits, 16).map(Self).or(Err(Invalid))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{:032x}", self.0);
        let (a, b, c) = (&text[..8], &text[8..12], &text[12..16]);
        write!(f, "{a}-{b}-{c}-{}-{}", &text[16..20], &text[20..])
    }
}

impl TryFrom<String> for Key {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}

//! Idempotency keys in the text format of statements.

use std::error;
use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

/// An idempotency key, which is a UUID. The UUID version is validated only where the age of the key is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(pub u128);

/// Error of a text that is not a UUID in the format of RFC 9562.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid idempotency key: expected a UUID of 32 hexadecimal digits in groups of 8, 4, 4, 4 and 12")
    }
}

impl error::Error for Invalid {}

/// Byte offsets of the hyphens in a UUID.
const HYPHENS: [usize; 4] = [8, 13, 18, 23];

impl str::FromStr for IdempotencyKey {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid_byte = |(index, byte): (usize, u8)| {
            if HYPHENS.contains(&index) {
                byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        };
        if text.len() != 36 || !text.bytes().enumerate().all(is_valid_byte) {
            return Err(Invalid);
        }
        let digits = text.replace('-', "");
        u128::from_str_radix(&digits, 16).map(Self).or(Err(Invalid))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{:032x}", self.0);
        let (a, b, c) = (&text[..8], &text[8..12], &text[12..16]);
        write!(f, "{a}-{b}-{c}-{}-{}", &text[16..20], &text[20..])
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.to_string()
    }
}

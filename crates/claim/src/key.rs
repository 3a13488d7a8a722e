//! Idempotency keys, which contain their time of issue.
//!
//! Keys are UUIDs of version 7. Their timestamp decides how long a record is
//! kept: the record of a key of unknown age could be dropped while the key is
//! still resent, and the request would run again.

use std::error;
use std::fmt;
use std::str;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use shallotrill_model::partner;
use shallotrill_model::service;
use shallotrill_model::time;

/// Length of the canonical text of a UUID.
const TEXT_LENGTH: usize = 36;

/// Why a text is not a UUID of version 7 (RFC 9562).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The text does not have 36 bytes; contains its length in bytes.
    Length(usize),
    /// The byte at this offset is neither the expected digit nor the expected hyphen.
    Character(usize),
    /// The version is not 7; contains the version found.
    Version(u8),
    /// The variant bits are not binary 10, as RFC 9562 requires; contains the bits found.
    Variant(u8),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length(length) => {
                write!(
                    f,
                    "expected a UUID of {TEXT_LENGTH} bytes, found {length} bytes"
                )
            }
            Self::Character(offset) => write!(f, "unexpected character at byte {offset} of a UUID"),
            Self::Version(version) => write!(f, "expected a UUID of version 7, found {version}"),
            Self::Variant(bits) => write!(f, "expected UUID variant bits 10, found {bits:02b}"),
        }
    }
}

impl error::Error for Invalid {}

/// A UUID of version 7.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(u128);

impl IdempotencyKey {
    /// Checks the version and the variant of `bits`.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] when the bits are not those of a UUID of version 7.
    pub const fn new(bits: u128) -> Result<Self, Invalid> {
        let version = (bits >> 76) as u8 & 0xf;
        let variant = (bits >> 62) as u8 & 0b11;
        if version != 7 {
            return Err(Invalid::Version(version));
        }
        if variant != 0b10 {
            return Err(Invalid::Variant(variant));
        }
        Ok(Self(bits))
    }

    /// All 128 bits.
    pub const fn bits(self) -> u128 {
        self.0
    }

    /// Time of issue, from the timestamp of the UUID.
    pub const fn time(self) -> time::Wall {
        time::Wall((self.0 >> 80) as u64)
    }
}

impl str::FromStr for IdempotencyKey {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != TEXT_LENGTH {
            return Err(Invalid::Length(text.len()));
        }
        let mut bits = 0;
        for (offset, byte) in text.bytes().enumerate() {
            let hyphen = matches!(offset, 8 | 13 | 18 | 23);
            match char::from(byte).to_digit(16) {
                Some(digit) if !hyphen => bits = bits << 4 | u128::from(digit),
                None if hyphen && byte == b'-' => {}
                _ => return Err(Invalid::Character(offset)),
            }
        }
        Self::new(bits)
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(id: IdempotencyKey) -> Self {
        id.to_string()
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bits = self.0;
        write!(
            f,
            "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
            bits >> 96,
            bits >> 80 & 0xffff,
            bits >> 64 & 0xffff,
            bits >> 48 & 0xffff,
            bits & 0xffff_ffff_ffff
        )
    }
}

impl fmt::Debug for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Key of a register. Keys are ordered by their time of issue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The idempotency key that the caller chose.
    pub id: IdempotencyKey,
    /// Partner whose software made the request.
    pub partner: partner::Name,
    /// Service that was requested.
    pub service: service::Name,
}

impl Key {
    /// Parses the text of an `Idempotency-Key` header.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] when the text is not a UUID of version 7.
    pub fn parse(
        partner: partner::Name,
        service: service::Name,
        text: &str,
    ) -> Result<Self, Invalid> {
        let id = text.parse()?;
        Ok(Self {
            id,
            partner,
            service,
        })
    }

    /// Time of issue.
    pub const fn time(&self) -> time::Wall {
        self.id.time()
    }

    /// Whether the timestamp of the key is more than `tolerance` after `now`.
    ///
    /// The record of such a key would be kept beyond the retention period, so
    /// the process that receives a request refuses it.
    pub fn is_ahead(&self, now: time::Wall, tolerance: Duration) -> bool {
        let ahead = self.time().0.saturating_sub(now.0);
        u128::from(ahead) > tolerance.as_millis()
    }

    /// Estimates the heap memory of the names, in addition to the size of the key itself.
    pub fn heap_bytes(&self) -> usize {
        // Two shared strings, each with two reference counts of 8 bytes.
        self.partner.as_str().len() + self.service.as_str().len() + 32
    }
}

//! Hexadecimal encoding of fixed-size identifiers.

use std::error;
use std::fmt;

/// Error for text that is not hexadecimal or does not have the expected length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// Expected number of hexadecimal digits.
    pub digits: usize,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected exactly {} hexadecimal digits", self.digits)
    }
}

impl error::Error for Invalid {}

/// Defines `$type` in the calling module as a newtype over `u128`, written as 32 hexadecimal digits.
macro_rules! id {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(pub u128);

        impl std::str::FromStr for $type {
            type Err = crate::hex::Invalid;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let invalid = crate::hex::Invalid { digits: 32 };
                if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(invalid);
                }
                u128::from_str_radix(text, 16).map(Self).or(Err(invalid))
            }
        }

        impl TryFrom<String> for $type {
            type Error = crate::hex::Invalid;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(id: $type) -> Self {
                id.to_string()
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl std::fmt::Debug for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(self, f)
            }
        }
    };
}

pub(crate) use id;

//! Common validation and representation of names: short, lower-case, immutable shared strings.

use std::error;
use std::fmt;
use std::sync::Arc;

/// Maximum name length: that of a DNS label, because a service name is the first label of `Host`.
pub const NAME_BYTES_MAX: usize = 63;

/// Reason why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The text is empty.
    Empty,
    /// The text is longer than 63 bytes; contains its length in bytes.
    Long(usize),
    /// The text has a character outside `a-z`, `0-9` and `-`; contains the byte offset of that character.
    Character(usize),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name is empty"),
            Self::Long(length) => {
                write!(
                    f,
                    "a name of {length} bytes is longer than {NAME_BYTES_MAX}"
                )
            }
            Self::Character(offset) => write!(
                f,
                "the character at byte {offset} of a name is not one of a-z, 0-9 and -"
            ),
        }
    }
}

impl error::Error for Invalid {}

/// Validates `text` and returns it as a shared string.
pub(crate) fn parse(text: &str) -> Result<Arc<str>, Invalid> {
    if text.is_empty() {
        return Err(Invalid::Empty);
    }
    if text.len() > NAME_BYTES_MAX {
        return Err(Invalid::Long(text.len()));
    }
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    match text.bytes().position(|b| !allowed(b)) {
        Some(offset) => Err(Invalid::Character(offset)),
        None => Ok(Arc::from(text)),
    }
}

/// Defines `Name` in the calling module as a newtype over a shared string.
macro_rules! name {
    ($(#[$doc:meta])*) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct Name(std::sync::Arc<str>);

        impl Name {
            /// Creates a name after validating `text`.
            ///
            /// # Errors
            ///
            /// Returns [`crate::Invalid`] when `text` is empty, too long, or
            /// contains a character that is not allowed in names.
            pub fn new(text: &str) -> Result<Self, crate::Invalid> {
                crate::name::parse(text).map(Self)
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for Name {
            type Error = crate::Invalid;

            fn try_from(text: &str) -> Result<Self, Self::Error> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for Name {
            type Error = crate::Invalid;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(&text)
            }
        }

        impl From<Name> for String {
            fn from(name: Name) -> Self {
                Self::from(&*name.0)
            }
        }

        impl std::fmt::Display for Name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::fmt::Debug for Name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

pub(crate) use name;

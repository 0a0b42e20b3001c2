//! Short names that fit in a `Copy` value.

use std::fmt;

use arrayvec::ArrayString;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 40;

/// A validated name of at most [`MAX_NAME_BYTES`] bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct ShortName(ArrayString<MAX_NAME_BYTES>);

impl ShortName {
    /// Validates and copies `name`.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if `name` is empty, too long, or contains a character other than
    /// a lower-case letter, a digit, `-`, `_` or `.`.
    pub fn new(name: &str) -> Result<Self, NameError> {
        if name.is_empty() {
            return Err(NameError::Empty);
        }
        if let Some(character) = name.chars().find(|character| !is_allowed(*character)) {
            return Err(NameError::Character(character));
        }
        ArrayString::from(name).map(Self).map_err(|_| NameError::TooLong(name.len()))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl<'de> Deserialize<'de> for ShortName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::new(&text).map_err(serde::de::Error::custom)
    }
}

/// Why a text is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text has this many bytes, more than [`MAX_NAME_BYTES`].
    TooLong(usize),
    /// The text contains this character, which is not allowed.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => formatter.write_str("a name must not be empty"),
            Self::TooLong(bytes) => {
                write!(formatter, "a name has at most {MAX_NAME_BYTES} bytes, not {bytes}")
            }
            Self::Character(character) => write!(
                formatter,
                "a name holds lower-case letters, digits, '-', '_' and '.', not {character:?}"
            ),
        }
    }
}

impl std::error::Error for NameError {}

fn is_allowed(character: char) -> bool {
    character.is_ascii_lowercase() || character.is_ascii_digit() || "-_.".contains(character)
}

//! JSON encoding of row values.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Maximum length of a row's value, in bytes; fits a job with input and output of maximum size.
pub const MAX_ROW_BYTES: usize = 8 * 1024 * 1024;

/// A value that is stored in a row as JSON.
pub trait RowValue: Serialize + DeserializeOwned {
    /// Name of the kind of row, for error messages.
    const KIND: &'static str;

    /// Encodes the value.
    ///
    /// # Panics
    ///
    /// Never: JSON can represent every row value.
    fn to_json(&self) -> String {
        serde_json::to_string(self).expect("JSON can represent every row value")
    }

    /// Decodes a value.
    ///
    /// # Errors
    ///
    /// Returns a [`RowError`] if the value is too long or is not of this kind.
    fn from_json(value: &str) -> Result<Self, RowError> {
        let error = |fault| RowError { kind: Self::KIND, fault };
        if value.len() > MAX_ROW_BYTES {
            return Err(error(format!("it has more than {MAX_ROW_BYTES} bytes")));
        }
        serde_json::from_str(value).map_err(|fault| error(fault.to_string()))
    }
}

/// Error for a row value that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowError {
    /// Kind of the row.
    pub kind: &'static str,
    /// Description of the error in the value.
    pub fault: String,
}

impl fmt::Display for RowError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the value of a row of kind {} cannot be read: {}", self.kind, self.fault)
    }
}

impl std::error::Error for RowError {}

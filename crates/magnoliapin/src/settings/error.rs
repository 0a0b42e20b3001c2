//! Error in a settings file.

use std::fmt;

/// Position of an error in a settings file, with the value found and the values allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingsError {
    /// Path of the file.
    pub(crate) file: String,
    /// Key with its table; empty if the error concerns the whole file.
    pub(crate) key: String,
    /// Value that was found.
    pub(crate) value: String,
    /// Description of the allowed values.
    pub(crate) allowed: String,
}

impl SettingsError {
    /// Creates an error.
    pub(crate) fn new(
        file: &str,
        key: &str,
        value: impl fmt::Display,
        allowed: impl fmt::Display,
    ) -> Self {
        Self {
            file: file.to_owned(),
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_string(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: key {:?}: found {}; allowed: {}",
            self.file, self.key, self.value, self.allowed
        )
    }
}

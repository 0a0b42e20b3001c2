//! One fault of a settings file.

use std::fmt;

/// Says where a settings file is wrong, what was found and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SettingsFault {
    /// The file.
    pub(crate) file: String,
    /// The key, with its table; empty if the whole file is meant.
    pub(crate) key: String,
    /// What was found.
    pub(crate) value: String,
    /// What is allowed.
    pub(crate) allowed: String,
}

impl SettingsFault {
    /// Makes a fault.
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

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: key {:?}: found {}; allowed: {}",
            self.file, self.key, self.value, self.allowed
        )
    }
}

//! A row with the version that a write to it has to guard.

use magnoliapin_model::RowVersion;

/// A row as it was read; version 0 stands for a row that does not exist.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedRow<T> {
    /// Version of the row.
    pub version: RowVersion,
    /// Value of the row.
    pub row: T,
}

impl<T> VersionedRow<T> {
    /// Creates a row that was read with `version`.
    pub fn new(version: RowVersion, row: T) -> Self {
        Self { version, row }
    }
}

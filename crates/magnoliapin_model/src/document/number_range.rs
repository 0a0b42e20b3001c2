//! Ranges of integers allowed for keys of the document.

use std::fmt;

/// An inclusive range of integers with their unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberRange {
    /// Smallest allowed value.
    pub min: u64,
    /// Largest allowed value.
    pub max: u64,
    /// Unit, as a plural noun for error messages.
    pub unit: &'static str,
}

impl NumberRange {
    /// Creates the range from `min` to `max`, both included.
    pub const fn new(min: u64, max: u64, unit: &'static str) -> Self {
        Self { min, max, unit }
    }

    /// Returns whether `number` is in the range.
    pub fn contains(&self, number: u64) -> bool {
        (self.min..=self.max).contains(&number)
    }
}

impl fmt::Display for NumberRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a whole number from {} to {} ({})", self.min, self.max, self.unit)
    }
}

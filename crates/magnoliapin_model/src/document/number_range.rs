//! Ranges of whole numbers that a key of the document allows.

use std::fmt;

/// The least and the most that a whole number may be, with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberRange {
    /// Least allowed number.
    pub least: u64,
    /// Most allowed number.
    pub most: u64,
    /// Unit in words, in the plural.
    pub unit: &'static str,
}

impl NumberRange {
    /// Makes the range from `least` to `most`, both allowed.
    pub const fn new(least: u64, most: u64, unit: &'static str) -> Self {
        Self { least, most, unit }
    }

    /// Returns whether `number` is in the range.
    pub fn contains(&self, number: u64) -> bool {
        (self.least..=self.most).contains(&number)
    }
}

impl fmt::Display for NumberRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a whole number from {} to {} ({})", self.least, self.most, self.unit)
    }
}

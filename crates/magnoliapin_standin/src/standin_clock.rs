//! The clock of the stand-ins.

use std::time::Instant;

use magnoliapin_model::Moment;

/// A monotonic clock; its copies agree.
///
/// Targets whose ledgers are to be compared need copies of one clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandinClock {
    origin: Instant,
}

impl Default for StandinClock {
    fn default() -> Self {
        Self::new()
    }
}

impl StandinClock {
    /// Makes a clock that starts now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current moment.
    pub fn now(&self) -> Moment {
        Moment::START + self.origin.elapsed()
    }
}

//! The clock of the stand-ins.

use std::time::Instant;

use magnoliapin_model::Moment;

/// A monotonic clock whose copies share one origin.
///
/// Targets whose ledgers are combined need copies of the same clock.
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
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current time since the origin.
    pub fn now(&self) -> Moment {
        Moment::START + self.origin.elapsed()
    }
}

//! Monotonic and wall clock of one entry.

use std::fmt;
use std::time::Instant;
use std::time::SystemTime;

use magnoliapin_model::Moment;

/// Source of monotonic and wall-clock time for one process.
pub trait MonotonicClock: Send + Sync + fmt::Debug {
    /// Returns the time since the process started; never decreases.
    fn now(&self) -> Moment;

    /// Returns the wall-clock time in microseconds since the Unix epoch; may jump.
    fn wall_micros(&self) -> u64;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl MonotonicClock for SystemClock {
    fn now(&self) -> Moment {
        Moment::START + self.start.elapsed()
    }

    fn wall_micros(&self) -> u64 {
        let since_epoch =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
    }
}

//! The hybrid logical clock of one entry.

use std::time::Duration;

use magnoliapin_wire::HybridStamp;

/// A stamp that is further ahead of the own wall clock is not followed.
const MAX_AHEAD: Duration = Duration::from_secs(60);

/// Gives stamps that only rise and that are higher than every stamp received before.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HybridClock {
    last: HybridStamp,
}

impl HybridClock {
    /// Returns the stamp of an event or a message of this entry.
    pub(crate) fn next(&mut self, wall_us: u64) -> HybridStamp {
        self.last = if wall_us > self.last.wall_us {
            HybridStamp { wall_us, count: 0 }
        } else {
            HybridStamp { count: self.last.count.saturating_add(1), ..self.last }
        };
        self.last
    }

    /// Takes the stamp of a message that was received. Returns false if it was not followed
    /// because its sender's clock is too far ahead.
    pub(crate) fn receive(&mut self, wall_us: u64, stamp: HybridStamp) -> bool {
        let latest = wall_us.saturating_add(MAX_AHEAD.as_micros() as u64);
        let is_followed = stamp.wall_us <= latest;
        if is_followed {
            self.last = self.last.max(stamp);
        }
        is_followed
    }
}

#[cfg(test)]
#[path = "hybrid_clock_tests.rs"]
mod tests;

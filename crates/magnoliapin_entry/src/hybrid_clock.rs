//! The hybrid logical clock of one entry.

use std::time::Duration;

use magnoliapin_wire::HybridStamp;

/// Received stamps that are further ahead of the local wall clock are ignored.
const MAX_CLOCK_OFFSET: Duration = Duration::from_secs(60);

/// Issues strictly increasing stamps, each higher than every accepted stamp received before.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HybridClock {
    last: HybridStamp,
}

impl HybridClock {
    /// Returns the stamp for a new event or outgoing message of this entry.
    pub(crate) fn next(&mut self, wall_us: u64) -> HybridStamp {
        self.last = if wall_us > self.last.wall_us {
            HybridStamp { wall_us, count: 0 }
        } else {
            HybridStamp { count: self.last.count.saturating_add(1), ..self.last }
        };
        self.last
    }

    /// Advances the clock to at least the stamp of a received message. Returns `false` and ignores
    /// the stamp if the sender's clock is too far ahead.
    pub(crate) fn receive(&mut self, wall_us: u64, stamp: HybridStamp) -> bool {
        let latest_us = wall_us.saturating_add(MAX_CLOCK_OFFSET.as_micros() as u64);
        let is_accepted = stamp.wall_us <= latest_us;
        if is_accepted {
            self.last = self.last.max(stamp);
        }
        is_accepted
    }
}

#[cfg(test)]
#[path = "hybrid_clock_tests.rs"]
mod tests;

//! Clocks of the process.

use std::time::Duration;
use std::time::SystemTime;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use rustix::time::clock_gettime;
use rustix::time::ClockId;

/// A monotonic clock that advances while the machine is suspended; otherwise a lease would seem
/// valid after its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeClock {
    started_at: Duration,
}

impl NodeClock {
    /// Creates a clock that starts at zero now.
    pub(crate) fn new() -> Self {
        Self { started_at: boot_time() }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Moment {
        let elapsed = boot_time().saturating_sub(self.started_at);
        Moment(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Returns the wall-clock time.
pub(crate) fn wall_clock() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

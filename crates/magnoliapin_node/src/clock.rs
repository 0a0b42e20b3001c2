//! Clocks of the process.

use std::time::Duration;
use std::time::SystemTime;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use rustix::time::clock_gettime;
use rustix::time::ClockId;

/// A clock that goes on while the machine is suspended, so that no lease seems to hold longer
/// than it does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeClock {
    started: Duration,
}

impl NodeClock {
    /// Makes a clock that starts now.
    pub(crate) fn new() -> Self {
        Self { started: boot_time() }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Moment {
        let passed = boot_time().saturating_sub(self.started);
        Moment(u64::try_from(passed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Returns the wall clock's time.
pub(crate) fn wall_clock() -> UnixMillis {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

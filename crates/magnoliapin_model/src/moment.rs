//! Monotonic time of one process.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point on the monotonic clock of one process, in microseconds since its start.
///
/// Moments of different processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// The start of the process.
    pub const START: Self = Self(0);

    /// Creates a moment from milliseconds since the start of the process.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Returns the time from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `span` before this one, but not earlier than [`Moment::START`].
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

//! Reasons why a limit ended a connection or refused a request, and their counters.

use std::fmt::Debug;
use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Minimum time between two log lines with the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a limit ended a connection or refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitReason {
    /// The connection had no request for too long.
    Idle,
    /// The head was not complete in time.
    SlowHead,
    /// The head is too large.
    LargeHead,
    /// The body was not complete in time.
    SlowBody,
    /// The body is too large.
    LargeBody,
    /// The client did not read its response in time.
    StalledWrite,
    /// The connection was evicted in favor of a new one.
    EvictedForConnection,
    /// The connection was evicted in favor of another body.
    EvictedForBody,
    /// Bodies take all the memory that they may take, and none of them is slow.
    BodiesRefused,
    /// All connections that may be open are in use.
    ConnectionRefused,
}

impl LimitReason {
    /// All reasons.
    pub const ALL: [Self; 10] = [
        Self::Idle,
        Self::SlowHead,
        Self::LargeHead,
        Self::SlowBody,
        Self::LargeBody,
        Self::StalledWrite,
        Self::EvictedForConnection,
        Self::EvictedForBody,
        Self::BodiesRefused,
        Self::ConnectionRefused,
    ];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow_head",
            Self::LargeHead => "large_head",
            Self::SlowBody => "slow_body",
            Self::LargeBody => "large_body",
            Self::StalledWrite => "stalled_write",
            Self::EvictedForConnection => "evicted_for_connection",
            Self::EvictedForBody => "evicted_for_body",
            Self::BodiesRefused => "bodies_refused",
            Self::ConnectionRefused => "connection_refused",
        }
    }

    /// Returns the status and the reason phrase of the refusal that a client gets.
    pub fn status(self) -> (u16, &'static str) {
        match self {
            Self::LargeHead => (431, "Request Header Fields Too Large"),
            Self::LargeBody => (413, "Payload Too Large"),
            Self::Idle | Self::SlowHead | Self::SlowBody | Self::StalledWrite => {
                (408, "Request Timeout")
            }
            Self::EvictedForConnection
            | Self::EvictedForBody
            | Self::BodiesRefused
            | Self::ConnectionRefused => (503, "Service Unavailable"),
        }
    }

    /// Returns whether the connection was ended to free what it takes, so that nothing more is
    /// read from it.
    pub fn is_eviction(self) -> bool {
        matches!(self, Self::Idle | Self::StalledWrite | Self::EvictedForConnection)
    }
}

/// Is notified when a limit takes effect, for example to count in metrics.
pub trait LimitObserver: Debug + Send + Sync {
    /// Records one case.
    fn record_limit(&self, reason: LimitReason);
}

/// Counters by reason.
#[derive(Debug, Default)]
pub struct LimitCounts {
    counts: [AtomicU64; LimitReason::ALL.len()],
    logged_at: Mutex<[Option<Instant>; LimitReason::ALL.len()]>,
}

impl LimitCounts {
    /// Counts one case, and logs it unless the reason was logged less than a second ago.
    pub fn record(&self, reason: LimitReason) {
        let count = self.counts[reason as usize].fetch_add(1, Ordering::Relaxed) + 1;
        // Idle connections are also closed without load, so that a log line would mean nothing.
        if reason == LimitReason::Idle {
            return;
        }
        let mut logged_at = self.logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        let last = &mut logged_at[reason as usize];
        if last.is_none_or(|last| last.elapsed() >= LOG_INTERVAL) {
            *last = Some(Instant::now());
            log::warn!("event=client_limited reason={} count={count}", reason.name());
        }
    }

    /// Returns the count of a reason.
    pub fn get(&self, reason: LimitReason) -> u64 {
        self.counts[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns the counts that are not zero, as fields of a log line.
    pub fn summary(&self) -> String {
        let mut summary = String::new();
        for reason in LimitReason::ALL {
            let count = self.get(reason);
            if count > 0 {
                // Writing to a string cannot fail.
                let _ = write!(summary, " {}={count}", reason.name());
            }
        }
        summary
    }
}

//! The table `[times]`: time bounds of an entry's decisions.

use std::ops::RangeInclusive;
use std::time::Duration;

use magnoliapin_policy::PolicyTimes;

use crate::settings::SettingsReader;

const BOUNDS_MS: RangeInclusive<u64> = 1..=600_000;

/// Reads the time bounds and checks that they fit each other.
pub(crate) fn read_times(reader: &mut SettingsReader) -> PolicyTimes {
    let mut times = PolicyTimes::default();
    let mut set = |key, field: &mut Duration| {
        if let Some(span) = reader.millis(key, BOUNDS_MS) {
            *field = span;
        }
    };
    set("times.probe_interval_ms", &mut times.heartbeat_interval);
    set("times.peer_silence_ms", &mut times.peer_timeout);
    set("times.head_interval_ms", &mut times.head_interval);
    set("times.freshness_ms", &mut times.freshness);
    set("times.entry_lease_ms", &mut times.entry_lease);
    set("times.task_lease_ms", &mut times.task_lease);
    set("times.renew_interval_ms", &mut times.renew_interval);
    set("times.list_interval_ms", &mut times.list_interval);
    set("times.platform_timeout_ms", &mut times.platform_timeout);
    set("times.commit_interval_ms", &mut times.commit_interval);
    set("times.silence_ms", &mut times.reply_timeout);
    check_order(reader, "times.peer_silence_ms", times.peer_timeout, times.heartbeat_interval * 2);
    check_order(reader, "times.freshness_ms", times.freshness, times.head_interval * 2);
    check_order(reader, "times.task_lease_ms", times.task_lease, times.renew_interval * 2);
    times
}

/// Notes a fault if `span` is shorter than `least`.
fn check_order(reader: &mut SettingsReader, key: &str, span: Duration, least: Duration) {
    if span < least {
        let allowed =
            format!("at least {}, twice the interval that keeps it up", least.as_millis());
        reader.fault(key, span.as_millis(), allowed);
    }
}

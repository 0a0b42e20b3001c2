//! Table `[times]`: intervals, timeouts and lease lengths of an entry.

use std::ops::RangeInclusive;
use std::time::Duration;

use magnoliapin_policy::PolicyTimes;

use crate::settings::SettingsReader;

const ALLOWED_MS: RangeInclusive<u64> = 1..=600_000;

/// Reads the times and checks that they are consistent.
pub(crate) fn read_times(reader: &mut SettingsReader) -> PolicyTimes {
    let mut times = PolicyTimes::default();
    let mut set = |key, field: &mut Duration| {
        if let Some(duration) = reader.duration_ms(key, ALLOWED_MS) {
            *field = duration;
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
    check_minimum(
        reader,
        "times.peer_silence_ms",
        times.peer_timeout,
        times.heartbeat_interval * 2,
    );
    check_minimum(reader, "times.freshness_ms", times.freshness, times.head_interval * 2);
    check_minimum(reader, "times.task_lease_ms", times.task_lease, times.renew_interval * 2);
    times
}

/// Records an error if `duration` is shorter than `minimum`.
fn check_minimum(reader: &mut SettingsReader, key: &str, duration: Duration, minimum: Duration) {
    if duration < minimum {
        let allowed =
            format!("at least {}, twice the interval that keeps it up", minimum.as_millis());
        reader.record_error(key, duration.as_millis(), allowed);
    }
}

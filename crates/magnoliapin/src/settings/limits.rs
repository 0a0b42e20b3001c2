//! Table `[limits]`: resource limits of an entry and its timeouts towards callers.

use std::ops::RangeInclusive;
use std::time::Duration;

use magnoliapin_entry::EntryLimits;

use crate::settings::SettingsReader;

const THREADS: RangeInclusive<u64> = 1..=64;
const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const HEADER_BYTES: RangeInclusive<u64> = 8 * 1024..=1024 * 1024;
const HEADER_COUNT: RangeInclusive<u64> = 8..=1_000;
const BODY_BYTES: RangeInclusive<u64> = 1..=1024 * 1024 * 1024;
const TIMEOUT_MS: RangeInclusive<u64> = 1..=3_600_000;
const TIMELINE_EVENTS: RangeInclusive<u64> = 1..=10_000_000;

/// Reads the limits and checks that they are consistent.
pub(crate) fn read_limits(reader: &mut SettingsReader) -> EntryLimits {
    let mut limits = EntryLimits::default();
    set_count(reader, "limits.threads", THREADS, &mut limits.threads);
    let connections = &mut limits.caller_connections;
    set_count(reader, "limits.caller_connections", CONNECTIONS, connections);
    set_count(reader, "limits.header_bytes", HEADER_BYTES, &mut limits.header_bytes);
    set_count(reader, "limits.header_count", HEADER_COUNT, &mut limits.header_count);
    set_duration(reader, "limits.header_timeout_ms", &mut limits.header_timeout);
    if let Some(bytes) = reader.whole_number("limits.body_bytes", BODY_BYTES) {
        limits.body_bytes = bytes;
    }
    if let Some(bytes) = reader.whole_number("limits.all_body_bytes", BODY_BYTES) {
        limits.all_body_bytes = bytes;
    }
    set_duration(reader, "limits.body_timeout_ms", &mut limits.body_timeout);
    set_duration(reader, "limits.idle_timeout_ms", &mut limits.idle_timeout);
    set_duration(reader, "limits.stop_linger_ms", &mut limits.stop_grace_period);
    set_count(reader, "limits.timeline_events", TIMELINE_EVENTS, &mut limits.timeline_events);
    check_body_limits(reader, &limits);
    limits
}

fn set_count(
    reader: &mut SettingsReader,
    key: &'static str,
    allowed: RangeInclusive<u64>,
    field: &mut usize,
) {
    let number = reader.whole_number(key, allowed);
    if let Some(number) = number.and_then(|number| usize::try_from(number).ok()) {
        *field = number;
    }
}

fn set_duration(reader: &mut SettingsReader, key: &'static str, field: &mut Duration) {
    if let Some(duration) = reader.duration_ms(key, TIMEOUT_MS) {
        *field = duration;
    }
}

/// Records an error if a body of the maximum size would exceed the total limit of all bodies.
fn check_body_limits(reader: &mut SettingsReader, limits: &EntryLimits) {
    if limits.all_body_bytes < limits.body_bytes {
        let allowed = format!("at least limits.body_bytes, which is {}", limits.body_bytes);
        reader.record_error("limits.all_body_bytes", limits.all_body_bytes, allowed);
    }
}

//! Tests of the leases that the leader sends to a target.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::PoolName;
use magnoliapin_site::Resources;
use magnoliapin_site::SiteBounds;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetState;
use magnoliapin_site::ZoneName;

use crate::leader::target::ClockReading;
use crate::leader::target::Target;
use crate::NodeTimes;

fn bounds() -> SiteBounds {
    SiteBounds {
        max_lease: Duration::from_secs(10),
        stop_grace: Duration::from_millis(400),
        gang_wait: Duration::from_secs(3),
        stop_time: Duration::from_secs(6),
        order_spacing: Duration::from_secs(3),
        move_time: Duration::from_millis(1_500),
        maintenance_time: Duration::from_secs(2),
        outcome_retention: Duration::from_secs(120),
        early_start: Duration::from_millis(250),
        checkpoint_interval: Duration::from_secs(1),
        restore_time: Duration::from_millis(600),
        remote_penalty: 1.5,
        notice_time: Duration::from_millis(4_500),
        heartbeat: Duration::from_millis(1_500),
        impact_time: Duration::from_secs(4),
        evacuation_time: None,
    }
}

fn record() -> TargetRecord {
    TargetRecord {
        name: TargetName::new("i-1"),
        started_at: UnixMillis(1),
        pool: PoolName::new("pool"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("zone"),
        state: TargetState::Ready,
        capacity: Resources { cpu_milli: 16_000, memory_mb: 32_768, accelerators: 0 },
        labels: Vec::new(),
        instance: None,
        cold_left: Duration::ZERO,
    }
}

/// Guards against a lease that never expires: starts that were resent to an unreachable target
/// extended its lease, so its long-running tasks never restarted elsewhere (khcwa-grown, mix, seed
/// 1031930755529).
#[test]
fn unresponsive_target_gets_no_lease_extension() {
    let times = NodeTimes::new(&bounds());
    let now = Moment::START + Duration::from_secs(20);
    let mut target = Target::new(record(), now);
    target.clock = Some(ClockReading { clock_ms: 50_000, read_at: now });
    let first = target.next_lease(now, now, &times);
    assert!(first.is_some());
    target.failed_heartbeats = 1;
    for second in 1..20 {
        let later = now + Duration::from_secs(second);
        assert_eq!(target.next_lease(later, later, &times), first);
    }
    assert!(target.is_lease_expired(now + times.max_lease));
}

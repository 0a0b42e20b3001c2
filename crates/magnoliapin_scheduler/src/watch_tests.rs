//! Tests of watches on a store that is slow or silent.

use std::time::Duration;

use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::NodeName;
use magnoliapin_site::NodeProfile;
use magnoliapin_site::SiteBounds;
use magnoliapin_site::StoreLimits;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::ZoneName;

use super::Watch;
use super::WatchKind;
use crate::outbox::Outbox;
use crate::CallId;
use crate::ConnectionChoice;
use crate::NodeAction;
use crate::NodeTimes;

const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(20);
const TEST_TIME: Duration = Duration::from_secs(12);

/// Returns the limits of the store of most sites.
pub(crate) fn store_limits() -> StoreLimits {
    StoreLimits {
        writes_per_s: 800.0,
        reads_per_s: 2_000.0,
        partition_writes_per_s: 250.0,
        value_size: ByteSize(48 * 1024),
        transaction_size: ByteSize(700_000),
    }
}

pub(crate) fn site_bounds() -> SiteBounds {
    SiteBounds {
        max_lease: SECOND * 10,
        stop_grace: SECOND,
        gang_wait: SECOND,
        stop_time: SECOND,
        order_spacing: SECOND * 3,
        move_time: SECOND,
        maintenance_time: SECOND,
        outcome_retention: SECOND,
        early_start: SECOND,
        checkpoint_interval: SECOND,
        restore_time: SECOND,
        remote_penalty: 1.0,
        notice_time: SECOND,
        heartbeat: SECOND,
        impact_time: SECOND,
        evacuation_time: None,
    }
}

pub(crate) fn node_profile() -> NodeProfile {
    NodeProfile {
        name: NodeName::new("node"),
        zone: ZoneName::new("a"),
        address: None,
        incarnation: 1,
        cpu_milli: 250,
        link_kbps: 1_000_000,
    }
}

/// A store that answers after a fixed time, and each call that arrives in its silence never.
struct FakeStore {
    latency: Duration,
    silence: std::ops::Range<Duration>,
    /// When each call is answered or fails, in no order.
    replies: Vec<(Moment, CallId, StoreReply)>,
    connections: Vec<ConnectionChoice>,
}

impl FakeStore {
    fn receive(&mut self, now: Moment, action: NodeAction) {
        let NodeAction::Store { call, request, timeout, connection } = action else { return };
        self.connections.push(connection);
        let wait = match request {
            StoreRequest::WatchSite { wait, .. } => wait,
            _ => Duration::ZERO,
        };
        let answered_at = now + wait + self.latency;
        let is_lost = self.silence.contains(&answered_at.since(Moment::START))
            || self.silence.contains(&now.since(Moment::START));
        let reply = if is_lost || wait + self.latency > timeout {
            (now + timeout, call, StoreReply::Failed(CallFailure::Unknown))
        } else {
            let version = RowVersion(1);
            (answered_at, call, StoreReply::Site { changes: Vec::new(), version })
        };
        self.replies.push(reply);
    }
}

/// Runs a watch and returns the largest age of its last contact from `from` on, and the connections
/// of its calls.
fn run_watch(
    latency: Duration,
    silence: std::ops::Range<Duration>,
    from: Duration,
) -> (Duration, Vec<ConnectionChoice>) {
    let times = NodeTimes::new(&site_bounds());
    let mut out = Outbox::new(1);
    let mut watch = Watch::new(WatchKind::Site);
    let replies = Vec::new();
    let mut store = FakeStore { latency, silence, replies, connections: Vec::new() };
    let mut largest_age = Duration::ZERO;
    while out.now < Moment::START + TEST_TIME {
        let now = out.now;
        let due: Vec<_> = store.replies.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, call, reply) in due {
            out.store_latency.record_reply(call, &reply, out.now);
            let _ = watch.handle_reply(call, &reply, &out);
        }
        watch.poll(&times, &mut out);
        let mut actions = Vec::new();
        out.take_actions(&mut actions);
        for action in actions {
            store.receive(out.now, action);
        }
        if out.now >= Moment::START + from {
            let contact_at = watch.last_contact_at().unwrap_or(Moment::START);
            largest_age = largest_age.max(out.now.since(contact_at));
        }
        out.now = out.now + TICK;
    }
    (largest_age, store.connections)
}

const NO_SILENCE: std::ops::Range<Duration> = Duration::MAX..Duration::MAX;

#[test]
fn a_fast_store_is_not_probed() {
    let (age, connections) = run_watch(Duration::from_millis(10), NO_SILENCE, TICK * 100);
    assert!(age <= Duration::from_millis(2_100), "the contact is {age:?} old");
    assert!(connections.iter().all(|choice| *choice == ConnectionChoice::Pooled));
}

/// Guards against a node that takes its configuration for old because the store is slow.
#[test]
fn the_contact_with_a_slow_store_stays_recent() {
    let (age, _) = run_watch(Duration::from_millis(900), NO_SILENCE, TICK * 200);
    assert!(age <= Duration::from_millis(2_700), "the contact is {age:?} old");
}

/// Guards against a watch that notices the end of an outage only when its last lost call times out.
#[test]
fn a_watch_resumes_soon_after_the_store_was_silent() {
    for offset_ms in (0..3_000).step_by(50) {
        let end = Duration::from_millis(5_000 + offset_ms);
        let silence = Duration::from_secs(2)..end;
        let resumed_by = end + Duration::from_millis(500);
        let (age, connections) = run_watch(Duration::from_millis(10), silence, resumed_by);
        assert!(age <= Duration::from_millis(2_100), "silent until {end:?}: {age:?} old");
        assert!(connections.contains(&ConnectionChoice::New));
    }
}

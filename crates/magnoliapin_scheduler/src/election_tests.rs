//! Tests of the election around an outage of the store.

use std::time::Duration;

use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::NodeName;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;

use super::Election;
use crate::leader::LeaderIdentity;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::LeaseRow;
use crate::watch::tests::node_profile;
use crate::watch::tests::site_bounds;
use crate::watch::tests::store_limits;
use crate::CallId;
use crate::NodeAction;
use crate::NodeTimes;

const TICK: Duration = Duration::from_millis(20);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// When the store is silent.
const SILENCE: std::ops::Range<Moment> = Moment(2_000_000)..Moment(7_000_000);
const END: Moment = Moment(20_000_000);

struct PendingCall {
    call: CallId,
    request: StoreRequest,
    sent_at: Moment,
    timeout: Duration,
    is_lost: bool,
}

/// Returns the lease as a row that was renewed for the last time with this version.
fn lease_row(version: u64) -> StoreRow {
    let lease = LeaseRow {
        generation: 1,
        node: NodeName::new("leader"),
        incarnation: 7,
        address: None,
        cpu_milli: 250,
        is_released: false,
        waiting_jobs: Vec::new(),
    };
    let row = rows::lease_row();
    StoreRow {
        table: row.table.to_owned(),
        partition: row.partition.clone(),
        key: row.key,
        version: RowVersion(version),
        value: Some(rows::encode(&lease)),
    }
}

/// Returns when the election first tries to acquire the lease. Its holder renews it until the store
/// is silent, and from `renewed_from` on. A busy node also makes calls for clients.
fn first_attempt(is_busy: bool, renewed_from: Option<Moment>) -> Option<Moment> {
    let identity = LeaderIdentity {
        profile: node_profile(),
        partition_count: 2,
        times: NodeTimes::new(&site_bounds()),
        instance_orders_per_s: 64.0,
        instance_lists_per_s: 64.0,
        store_limits: store_limits(),
        memory: ByteSize(256 * 1024 * 1024),
    };
    let mut out = Outbox::new(1);
    let mut election = Election::new(identity);
    let mut pending: Vec<PendingCall> = Vec::new();
    let (mut version, mut renewed_at) = (1, Moment::START);
    while out.now < END {
        let now = out.now;
        let is_renewed = now < SILENCE.start || renewed_from.is_some_and(|from| now >= from);
        if is_renewed && now.since(renewed_at) >= RENEWAL_INTERVAL {
            (version, renewed_at) = (version + 1, now);
        }
        for call in &mut pending {
            call.is_lost |= SILENCE.contains(&now);
        }
        let is_due = |call: &mut PendingCall| match &call.request {
            _ if call.is_lost => now.since(call.sent_at) >= call.timeout,
            StoreRequest::Watch { after, wait, .. } => {
                version > after.0 || now.since(call.sent_at) >= *wait
            }
            _ => true,
        };
        for call in pending.extract_if(.., is_due).collect::<Vec<_>>() {
            let reply = match call.is_lost {
                true => StoreReply::Failed(CallFailure::Unknown),
                false => StoreReply::Rows {
                    rows: vec![lease_row(version)],
                    has_more: false,
                    version: RowVersion(version),
                },
            };
            out.store_latency.record_reply(call.call, &reply, now);
            let _ = election.handle_reply(call.call, &reply, &mut out);
        }
        election.poll(true, false, &mut out);
        if is_busy && now.0.is_multiple_of(RENEWAL_INTERVAL.as_micros() as u64) {
            let _ = out.call_store(StoreRequest::Read(RowRange::single(&rows::control_fence())));
        }
        let mut actions = Vec::new();
        out.take_actions(&mut actions);
        for action in actions {
            let NodeAction::Store { call, request, timeout, .. } = action else { continue };
            if matches!(request, StoreRequest::Commit(_)) {
                return Some(now);
            }
            pending.push(PendingCall { call, request, sent_at: now, timeout, is_lost: false });
        }
        out.now = now + TICK;
    }
    None
}

/// Guards against a takeover that an outage delays after its end, as calls without a reply count as
/// slow ones.
#[test]
fn a_leader_lost_in_an_outage_is_replaced_soon_after_it() {
    for is_busy in [false, true] {
        let attempt = first_attempt(is_busy, None).expect("the lease is acquired");
        assert!(attempt >= SILENCE.end + Duration::from_millis(1_500), "at {attempt:?}");
        assert!(attempt <= SILENCE.end + Duration::from_millis(2_500), "at {attempt:?}");
    }
}

/// Guards against the replacement of a live leader by the first node that reaches the store again.
#[test]
fn a_leader_that_renews_after_an_outage_stays() {
    for is_busy in [false, true] {
        let renewed_from = SILENCE.end + Duration::from_millis(1_000);
        assert_eq!(first_attempt(is_busy, Some(renewed_from)), None);
    }
}

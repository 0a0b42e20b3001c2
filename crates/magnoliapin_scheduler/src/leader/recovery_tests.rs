//! Tests of loading the rows after a takeover.

use std::rc::Rc;
use std::time::Duration;

use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;

use crate::election::AcquiredLease;
use crate::leader::Leader;
use crate::leader::LeaderIdentity;
use crate::outbox::Outbox;
use crate::watch::tests::node_profile;
use crate::watch::tests::site_bounds;
use crate::watch::tests::store_limits;
use crate::CallId;
use crate::NodeAction;
use crate::NodeTimes;

pub(in crate::leader) fn identity() -> LeaderIdentity {
    LeaderIdentity {
        profile: node_profile(),
        partition_count: 2,
        times: NodeTimes::new(&site_bounds()),
        instance_orders_per_s: 64.0,
        instance_lists_per_s: 64.0,
        store_limits: store_limits(),
        memory: ByteSize(256 * 1024 * 1024),
    }
}

/// Returns the reads that have been sent, each with its timeout.
fn sent_reads(out: &mut Outbox) -> Vec<(CallId, Duration)> {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let reads = actions.into_iter().filter_map(|action| match action {
        NodeAction::Store { call, request: StoreRequest::Read(_), timeout, .. } => {
            Some((call, timeout))
        }
        _ => None,
    });
    reads.collect()
}

/// While the store loses a third of its replies, loading took several seconds, each lost reply one
/// of them, and no task started meanwhile.
#[test]
fn lost_replies_are_repeated_soon_and_then_less_often() {
    let mut out = Outbox::new(1);
    let lease =
        AcquiredLease { generation: 2, fence_version: RowVersion(1), requested_at: Moment::START };
    let config = Rc::new(SiteConfig::default());
    let mut leader = Leader::new(identity(), lease, config, Vec::new(), None, &mut out);
    let mut timeouts = Vec::new();
    for _ in 0..6 {
        let reads = sent_reads(&mut out);
        assert_eq!(reads.len(), 3, "the fences of two partitions and the assignments");
        timeouts.push(reads[0].1.as_millis());
        out.now = out.now + reads[0].1;
        for (call, _) in reads {
            let lost = StoreReply::Failed(CallFailure::Unknown);
            assert!(leader.handle_store_reply(call, &lost, &mut out));
        }
        out.now = out.now + Duration::from_millis(60);
        leader.tick(&mut out);
    }
    assert_eq!(timeouts, [200, 400, 800, 1600, 2400, 2400]);
}

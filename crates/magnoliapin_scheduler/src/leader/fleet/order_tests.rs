//! Tests of sending recorded orders.

use std::time::Duration;

use magnoliapin_model::RowVersion;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstanceState;
use magnoliapin_site::PoolName;
use magnoliapin_site::StoreReply;

use super::OrderKind;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::LeaderCall;
use crate::NodeAction;

/// Returns whether an order is sent if the store's reply to its record is handled after a time.
fn is_order_sent_after(pause: Duration) -> bool {
    let mut site = FakeSite::default();
    site.listed = Some(InstanceState::Up);
    let (mut leader, mut out) = site.lead(Duration::from_secs(13));
    let kind = OrderKind::Move(PoolName::new("other"));
    leader.plan_order(&InstanceName::new("m-1"), kind, &mut out);
    leader.finish_batch(&mut out);
    let is_record = |call: &LeaderCall| matches!(call, LeaderCall::Record(_));
    let call = leader.calls.iter().find(|(_, call)| is_record(call)).map(|(call, _)| *call);
    out.take_actions(&mut Vec::new());
    out.now = out.now + pause;
    let reply = StoreReply::Committed(RowVersion(9));
    leader.handle_store_reply(call.expect("the order is recorded"), &reply, &mut out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    actions.iter().any(|action| matches!(action, NodeAction::Instances { .. }))
}

/// Guards against an order that a replaced leader sends after a pause of its process, less than the
/// required time before an order of its successor.
#[test]
fn leaders_do_not_send_orders_after_a_pause() {
    assert!(is_order_sent_after(Duration::from_millis(10)));
    assert!(!is_order_sent_after(Duration::from_secs(4)));
}

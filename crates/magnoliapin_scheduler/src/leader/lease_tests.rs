//! Tests of renewing and releasing the lease.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::StoreRequest;

use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::LeaseRow;
use crate::ConnectionChoice;
use crate::NodeAction;

const TICK: Duration = Duration::from_millis(20);

/// A renewal that was sent.
struct SentRenewal {
    at: Moment,
    connection: ConnectionChoice,
}

/// Lets time pass without replies of the store. Returns the renewals that were sent.
fn poll_for(leader: &mut Leader, out: &mut Outbox, time: Duration) -> Vec<SentRenewal> {
    let end = out.now + time;
    let mut sent = Vec::new();
    while out.now < end {
        leader.poll_lease(out);
        let mut actions = Vec::new();
        out.take_actions(&mut actions);
        for action in actions {
            let NodeAction::Store { request, connection, .. } = action else { continue };
            let StoreRequest::Commit(transaction) = request else { continue };
            let lease = transaction.writes.iter().find(|(row, _)| *row == rows::lease_row());
            let lease: Option<LeaseRow> = lease.and_then(|(_, value)| rows::decode(value));
            if lease.is_some() {
                sent.push(SentRenewal { at: out.now, connection });
            }
        }
        out.now = out.now + TICK;
    }
    sent
}

/// Guards against a live leader that is replaced after an outage, because it waits for the reply to a
/// renewal that was sent before the outage ended.
#[test]
fn the_lease_is_renewed_throughout_an_outage() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    let sent = poll_for(&mut leader, &mut out, Duration::from_secs(5));
    let gaps = sent.windows(2).map(|pair| pair[1].at.since(pair[0].at));
    let longest = gaps.max().expect("several renewals are sent");
    assert!(longest <= Duration::from_millis(600), "none was sent for {longest:?}");
    let last = sent.last().expect("a renewal is sent");
    assert_eq!(last.connection, ConnectionChoice::New);
}

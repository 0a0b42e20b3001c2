//! Tests of renewing and releasing the lease.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;

use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::JOB;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::LeaseRow;
use crate::CallId;
use crate::ConnectionChoice;
use crate::NodeAction;

const TICK: Duration = Duration::from_millis(20);

/// A renewal that was sent.
struct SentRenewal {
    call: CallId,
    at: Moment,
    connection: ConnectionChoice,
    releases: bool,
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
            let NodeAction::Store { call, request, connection, .. } = action else { continue };
            let StoreRequest::Commit(transaction) = request else { continue };
            let lease = transaction.writes.iter().find(|(row, _)| *row == rows::lease_row());
            let lease: Option<LeaseRow> = lease.and_then(|(_, value)| rows::decode(value));
            if let Some(lease) = lease {
                let releases = lease.is_released;
                sent.push(SentRenewal { call, at: out.now, connection, releases });
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

/// Guards against a leader that counts a commit as proof that no other has taken over, although the
/// next leader has not fenced that partition yet.
#[test]
fn only_writes_under_the_control_fence_confirm_the_leader() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row(false), None, false, &mut out);
    let confirmed_at = leader.confirmed_at;
    out.now = out.now + TICK;
    leader.mark_job_changed(leader.job_keys[&JOB]);
    out.take_actions(&mut Vec::new());
    leader.poll_commits(&mut out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    assert_eq!(actions.len(), 1, "one partition has a change");
    let NodeAction::Store { call, .. } = actions[0] else { panic!("not a call to the store") };
    leader.handle_store_reply(call, &StoreReply::Committed(RowVersion(1_000)), &mut out);
    assert_eq!(leader.confirmed_at, confirmed_at);
}

/// Guards against a node that stops without having released the lease: the reply to an earlier renewal
/// was taken for that to the release.
#[test]
fn only_the_reply_to_the_release_releases_the_lease() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    let sent = poll_for(&mut leader, &mut out, Duration::from_millis(600));
    leader.release(&mut out);
    let committed = StoreReply::Committed(RowVersion(1_000));
    for renewal in &sent {
        leader.handle_store_reply(renewal.call, &committed, &mut out);
    }
    assert!(!sent.is_empty() && !leader.is_released());
    let sent = poll_for(&mut leader, &mut out, TICK * 2);
    let release = sent.first().expect("the release is sent at once");
    assert!(release.releases);
    leader.handle_store_reply(release.call, &committed, &mut out);
    assert!(leader.is_released());
}

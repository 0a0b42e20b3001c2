//! Tests of how row changes are grouped into transactions.

use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::PlatformRequest;

use crate::commit::ChangeTag;
use crate::commit::CommitQueue;
use crate::commit::RowChange;
use crate::outbox::Outbox;
use crate::EntryAction;
use crate::PolicyTimes;

const MEMBER: RowKey = RowKey::Member(EntryId(1));

fn bind(work: u128) -> RowChange {
    let work = WorkId(work);
    RowChange::new(ChangeTag::Bind(work))
        .with_guard(RowKey::Job(work), RowVersion(1))
        .with_write(RowKey::Job(work), Some(String::new()))
}

/// Returns the keys that the first transaction of these changes writes.
fn first_writes(changes: Vec<RowChange>) -> Vec<String> {
    let mut out = Outbox::new(1);
    out.now = Moment::from_millis(1_000);
    let mut queue = CommitQueue::default();
    changes.into_iter().for_each(|change| queue.push(change));
    queue.pump(&mut out, &PolicyTimes::default());
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let [EntryAction::Platform { request: PlatformRequest::Transact(sent), .. }] = &actions[..]
    else {
        panic!("one transaction is sent, not {actions:?}");
    };
    sent.writes.iter().map(|write| write.key.clone()).collect()
}

fn key(work: u128) -> String {
    RowKey::Job(WorkId(work)).to_string()
}

#[test]
fn changes_guarding_the_same_row_share_a_transaction() {
    let guarded = |work| bind(work).with_guard(MEMBER, RowVersion(7));
    let writes = first_writes(vec![guarded(1), guarded(2), guarded(3)]);
    assert_eq!(writes, [key(1), key(2), key(3)]);
}

#[test]
fn write_and_guard_of_one_row_use_separate_transactions() {
    let leave = RowChange::new(ChangeTag::Renew).with_write(MEMBER, None);
    let guarded = |work| bind(work).with_guard(MEMBER, RowVersion(7));
    assert_eq!(first_writes(vec![guarded(1), leave.clone(), bind(2)]), [key(1), key(2)]);
    let writes = first_writes(vec![leave, guarded(1), bind(2)]);
    assert_eq!(writes, [MEMBER.to_string(), key(2)]);
}

#[test]
fn held_back_changes_of_one_row_keep_their_order() {
    let writes = first_writes(vec![bind(1), bind(1), bind(2), bind(1)]);
    assert_eq!(writes, [key(1), key(2)]);
}

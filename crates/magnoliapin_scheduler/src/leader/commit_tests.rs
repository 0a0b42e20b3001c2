//! Tests of the sizes of what is stored for jobs and targets.

use std::time::Duration;

use magnoliapin_model::RowVersion;
use magnoliapin_site::JobId;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;

use crate::leader::crashes::tests::job_row_with;
use crate::leader::crashes::tests::running;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::outbox::Outbox;
use crate::rows;
use crate::watch::tests::store_limits;
use crate::NodeAction;

const TASKS: u32 = 10_000;

/// Takes the transactions that have been sent, and checks them against the limits of the store.
fn take_transactions(out: &mut Outbox) -> Vec<StoreTransaction> {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let transactions = actions.into_iter().filter_map(|action| match action {
        NodeAction::Store { request: StoreRequest::Commit(transaction), .. } => Some(transaction),
        _ => None,
    });
    let transactions: Vec<StoreTransaction> = transactions.collect();
    for transaction in &transactions {
        let largest = transaction.writes.iter().map(|(_, value)| value.len()).max();
        assert!(largest.unwrap_or_default() <= store_limits().value_bytes());
        assert!(transaction.value_bytes() <= store_limits().transaction_bytes());
        assert!(transaction.entry_count() <= 100);
    }
    transactions
}

/// Guards against progress that is larger than a row, which kept all changes of its partition from
/// being stored, and against a next leader that cannot read it.
#[test]
fn progress_larger_than_a_row_is_split_and_restored() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row_with(TASKS, false), None, false, &mut out);
    let key = leader.job_keys[&JOB];
    for index in 0..TASKS {
        let job = leader.jobs.get_mut(&key).expect("the job is open");
        let task = job.task_mut(task(JOB, index)).expect("the task is open");
        task.failed = vec![1];
        task.checkpoint = Some(format!("{index:016x}"));
    }
    leader.mark_job_changed(key);
    take_transactions(&mut out);
    leader.poll_commits(&mut out);
    let transactions = take_transactions(&mut out);
    let [transaction] = &transactions[..] else { panic!("{} transactions", transactions.len()) };
    let row = |(row, value): &(magnoliapin_site::RowId, Vec<u8>)| StoreRow {
        table: row.table.to_owned(),
        partition: row.partition.clone(),
        key: row.key.clone(),
        version: RowVersion(9),
        value: Some(value.clone()),
    };
    let rows: Vec<StoreRow> = transaction.writes.iter().map(row).collect();
    assert!(rows.len() > 3 && rows.iter().all(|row| row.table == rows::PROGRESS));

    let (mut next, mut next_out) = FakeSite::default().lead(Duration::from_secs(2));
    next.add_job(JOB, job_row_with(TASKS, false), None, true, &mut next_out);
    next.apply_loaded_rows(&[], &rows, &mut next_out);
    let restored = &next.jobs[&next.job_keys[&JOB]];
    assert_eq!(restored.progress(), leader.jobs[&key].progress());
    assert_eq!(restored.progress_pieces as usize, rows.len() - 1);
    take_transactions(&mut next_out);
    // Once the job has finished, no piece is left.
    let key = next.job_keys[&JOB];
    next.finish_job(key, magnoliapin_site::JobState::Cancelled, &mut next_out);
    next.poll_commits(&mut next_out);
    let transactions = take_transactions(&mut next_out);
    let removed: Vec<&str> = transactions[0].removals.iter().map(|row| row.key.as_str()).collect();
    assert!(rows.iter().all(|row| removed.contains(&row.key.as_str())), "{removed:?}");
}

/// Guards against batches of assignment rows that are larger than a transaction may be.
#[test]
fn batches_of_assignments_are_within_the_limits_of_the_store() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    let runs = u32::try_from(leader.max_runs_per_target()).expect("a small number");
    for number in 0..60_u64 {
        let key = TargetKey(1_000 + number);
        let mut target = Target::new(target_record(&format!("i-{number}"), 1), out.now);
        for index in 0..runs {
            target.add_run(task(JobId(u64::MAX), u32::MAX - index), running(u32::MAX, out.now));
        }
        leader.targets.insert(key, target);
        leader.unrecorded.insert(key);
    }
    take_transactions(&mut out);
    leader.record_assignments(&mut out);
    let transactions = take_transactions(&mut out);
    let [transaction] = &transactions[..] else { panic!("{} transactions", transactions.len()) };
    let stored = transaction.writes.len() - 1;
    assert!(stored > 10 && leader.unrecorded.len() == 60 - stored, "{stored}");
}

//! Tests of removing the inputs that no job needs.

use std::time::Duration;

use magnoliapin_model::ByteSize;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::StoredInput;
use magnoliapin_site::UploadId;

use super::UploadRemoval;
use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::JOB;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::UploadRow;
use crate::NodeAction;

const PIECES: u32 = 3;
const OTHER_JOB: JobId = JobId(6);

fn input(upload: u64) -> StoredInput {
    let size = ByteSize(100_000);
    StoredInput { upload: UploadId(upload), pieces: PIECES, size, version: RowVersion(1) }
}

fn upload_row(leader: &Leader, job: JobId, upload: u64) -> StoreRow {
    let row = rows::upload_row(job, UploadId(upload), leader.identity.partition_count);
    StoreRow {
        table: row.table.to_owned(),
        partition: row.partition,
        key: row.key,
        version: RowVersion(1),
        value: Some(rows::encode(&UploadRow { pieces: PIECES })),
    }
}

/// Shows the leader a list of all uploads.
fn list(leader: &mut Leader, rows: &[StoreRow], out: &mut Outbox) {
    for partition in 0..leader.identity.partition_count {
        let of_partition =
            rows.iter().filter(|row| row.partition == partition.to_string()).cloned().collect();
        let version = RowVersion(9);
        let reply = StoreReply::Rows { rows: of_partition, has_more: false, version };
        leader.handle_uploads_reply(partition, Vec::new(), &reply, out);
    }
}

/// Sends the removals that are due; returns them.
fn removals(leader: &mut Leader, out: &mut Outbox) -> Vec<StoreTransaction> {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    leader.poll_uploads(out);
    actions.clear();
    out.take_actions(&mut actions);
    let sent = actions.into_iter().filter_map(|action| match action {
        NodeAction::Store { request: StoreRequest::Commit(transaction), .. } => Some(transaction),
        _ => None,
    });
    sent.collect()
}

/// Guards against inputs that stay behind after a node has stopped between upload and acceptance, and
/// against the removal of one whose job is being submitted.
#[test]
fn uploads_without_a_job_are_removed_when_they_are_listed_again() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row(false), Some(input(1)), false, &mut out);
    let rows = [upload_row(&leader, JOB, 1), upload_row(&leader, JOB, 2)];
    let orphan = upload_row(&leader, OTHER_JOB, 3);
    let rows = [&rows[..], &[orphan]].concat();
    list(&mut leader, &rows, &mut out);
    assert!(removals(&mut leader, &mut out).is_empty());
    list(&mut leader, &rows, &mut out);
    let sent = removals(&mut leader, &mut out);
    let removed: Vec<&str> = sent
        .iter()
        .flat_map(|transaction| &transaction.removals)
        .filter(|row| row.table == rows::UPLOAD)
        .map(|row| row.key.as_str())
        .collect();
    assert_eq!(removed.len(), 2, "{removed:?}");
    assert!(!removed.contains(&rows[0].key.as_str()), "the input of a job that waits");
    for transaction in &sent {
        assert_eq!(transaction.removals.len() as u32, PIECES + 1);
        let is_of_known_job = transaction.removals[0].key.starts_with(&JOB.to_string());
        let intake =
            transaction.expected.iter().filter(|(row, _)| row.key == OTHER_JOB.to_string());
        // A job that the leader has not learned yet keeps its input.
        assert_eq!(intake.count(), usize::from(!is_of_known_job));
    }
}

/// Guards against inputs of finished jobs that stay in the store, also when a removal fails.
#[test]
fn the_input_of_a_finished_job_is_removed() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row(false), Some(input(1)), false, &mut out);
    let key = leader.job_keys[&JOB];
    leader.finish_job(key, JobState::Cancelled, &mut out);
    leader.poll_commits(&mut out);
    let partition = leader.jobs[&key].partition;
    let stored = StoreReply::Committed(RowVersion(20));
    leader.handle_commit_reply(partition, &stored, &mut out);
    assert!(leader.jobs.is_empty());
    assert_eq!(removals(&mut leader, &mut out).len(), 1);
    let removal = UploadRemoval { job: JOB, upload: UploadId(1), pieces: PIECES };
    let failed = StoreReply::Failed(CallFailure::Unknown);
    leader.handle_upload_removal_reply(removal, &failed, out.now);
    assert!(removals(&mut leader, &mut out).is_empty(), "a pause");
    out.now = out.now + Duration::from_secs(2);
    assert_eq!(removals(&mut leader, &mut out).len(), 1);
    leader.handle_upload_removal_reply(removal, &stored, out.now);
    out.now = out.now + Duration::from_secs(2);
    assert!(removals(&mut leader, &mut out).is_empty());
}

/// Guards against a job that is accepted although its input has been removed.
#[test]
fn a_job_whose_input_has_been_removed_is_refused() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    let row = rows::encode_job(&job_row(false), Some(&input(1)));
    let requester = crate::leader::Requester::Local(crate::CallId(77));
    let request = magnoliapin_site::PeerRequest::Submit { job: JOB, row, timeout_ms: 2_000 };
    leader.handle_peer_request(requester, request, &mut out);
    leader.poll_commits(&mut out);
    let partition = rows::partition_of(JOB, leader.identity.partition_count);
    let fence = rows::fence_row(partition);
    let version = leader.partitions[partition as usize].load.fence().expect("it is loaded");
    let fence = StoreRow {
        table: fence.table.to_owned(),
        partition: fence.partition,
        key: fence.key,
        version,
        value: Some(Vec::new()),
    };
    leader.handle_commit_reply(partition, &StoreReply::Conflict(vec![fence]), &mut out);
    let replies = leader.take_update().replies;
    assert_eq!(replies, [(crate::CallId(77), magnoliapin_site::PeerReply::Refused)]);
    assert!(leader.jobs.is_empty() && !leader.is_deposed());
}

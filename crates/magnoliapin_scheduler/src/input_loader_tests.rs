//! Tests of the memory that inputs take, and of starts that wait for them.

use std::time::Duration;

use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::JobId;
use magnoliapin_site::RunId;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoredInput;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TaskName;
use magnoliapin_site::UploadId;

use super::InputLoader;
use super::PendingStart;
use crate::outbox::Outbox;
use crate::CallId;
use crate::NodeAction;

const TIMEOUT: Duration = Duration::from_millis(500);
const MIB: u64 = 1024 * 1024;

fn start(call: u64, job: u64, size: u64) -> PendingStart {
    let task = TaskName { job: JobId(job), occurrence: 0, step: 0, index: 0 };
    PendingStart {
        call: CallId(call),
        target: TargetName::new("t"),
        address: "127.0.0.1:1".parse().expect("an address"),
        request: TargetRequest::Start {
            run: RunId { task, attempt: 1 },
            payload: String::new(),
            lease_until_ms: 0,
            fence: 1,
            checkpoint: None,
            ticket: None,
        },
        timeout: TIMEOUT,
        job: JobId(job),
        input: StoredInput {
            upload: UploadId(job),
            pieces: 1,
            size: ByteSize(size),
            version: RowVersion(1),
        },
    }
}

/// Takes the actions; returns the calls of reads, and the calls of starts with the size of their input.
fn take(out: &mut Outbox) -> (Vec<CallId>, Vec<(CallId, usize)>) {
    let (mut actions, mut reads, mut starts) = (Vec::new(), Vec::new(), Vec::new());
    out.take_actions(&mut actions);
    for action in actions {
        match action {
            NodeAction::Store { call, request: StoreRequest::Read(_), .. } => reads.push(call),
            NodeAction::Target { call, request: TargetRequest::Start { payload, .. }, .. } => {
                starts.push((call, payload.len()));
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    (reads, starts)
}

fn rows(size: u64) -> StoreReply {
    let row = StoreRow {
        table: "input".to_owned(),
        partition: "0".to_owned(),
        key: "k".to_owned(),
        version: RowVersion(1),
        value: Some(vec![b'x'; size as usize]),
    };
    StoreReply::Rows { rows: vec![row], has_more: false, version: RowVersion(1) }
}

/// Guards against a read for each start of a job, and against starts without their input.
#[test]
fn the_input_of_a_job_is_read_once_for_its_starts() {
    let mut out = Outbox::new(1);
    let mut loader = InputLoader::new(4, ByteSize(64 * MIB));
    for call in 1..=3 {
        assert_eq!(loader.add_start(start(call, 1, 9_000), &mut out), None);
    }
    let (reads, starts) = take(&mut out);
    assert_eq!((reads.len(), starts.len()), (1, 0));
    assert!(loader.handle_store_reply(reads[0], &rows(9_000), &mut out));
    let (reads, starts) = take(&mut out);
    assert!(reads.is_empty());
    assert_eq!(starts, [1, 2, 3].map(|call| (CallId(call), 9_000)));
}

/// Guards against copies of inputs that fill the memory while targets do not answer.
#[test]
fn copies_of_inputs_are_limited() {
    let mut out = Outbox::new(1);
    let mut loader = InputLoader::new(4, ByteSize(64 * MIB));
    for call in 1..=10 {
        assert_eq!(loader.add_start(start(call, 1, MIB), &mut out), None);
    }
    let (reads, _) = take(&mut out);
    loader.handle_store_reply(reads[0], &rows(MIB), &mut out);
    assert_eq!(take(&mut out).1.len(), 2);
    loader.handle_target_reply(CallId(1), &mut out);
    assert_eq!(take(&mut out).1, [(CallId(3), MIB as usize)]);
}

/// Guards against an input larger than the limit that is never sent.
#[test]
fn an_input_larger_than_the_limit_is_sent_alone() {
    let mut out = Outbox::new(1);
    let mut loader = InputLoader::new(4, ByteSize(64 * MIB));
    for call in 1..=2 {
        assert_eq!(loader.add_start(start(call, 1, 4 * MIB), &mut out), None);
    }
    let (reads, _) = take(&mut out);
    loader.handle_store_reply(reads[0], &rows(4 * MIB), &mut out);
    assert_eq!(take(&mut out).1.len(), 1);
    loader.handle_target_reply(CallId(1), &mut out);
    assert_eq!(take(&mut out).1.len(), 1);
}

/// Guards against starts that wait for ever, or are sent after their deadline.
#[test]
fn starts_without_their_input_fail_in_time() {
    let mut out = Outbox::new(1);
    let mut loader = InputLoader::new(4, ByteSize(64 * MIB));
    loader.add_start(start(1, 1, 9_000), &mut out);
    let (reads, _) = take(&mut out);
    let failed = StoreReply::Failed(CallFailure::NotDone);
    assert!(loader.handle_store_reply(reads[0], &failed, &mut out));
    out.now = Moment::START + Duration::from_millis(20);
    assert!(loader.poll(&mut out).is_empty());
    assert_eq!(take(&mut out).0.len(), 1, "the input is read again");
    out.now = Moment::START + TIMEOUT;
    assert_eq!(loader.poll(&mut out), [CallId(1)]);
    assert_eq!(take(&mut out), (Vec::new(), Vec::new()));
}

/// Guards against a damaged input that is sent to a target.
#[test]
fn an_input_of_another_size_is_not_sent() {
    let mut out = Outbox::new(1);
    let mut loader = InputLoader::new(4, ByteSize(64 * MIB));
    loader.add_start(start(1, 1, 9_000), &mut out);
    let (reads, _) = take(&mut out);
    loader.handle_store_reply(reads[0], &rows(8_999), &mut out);
    assert!(take(&mut out).1.is_empty());
}

//! Calls to targets and to the platform over broken, slow and unresponsive connections.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_entry::EntryMetrics;
use magnoliapin_entry::HttpPlatform;
use magnoliapin_entry::HttpTargets;
use magnoliapin_entry::MonotonicClock;
use magnoliapin_entry::PlatformClient;
use magnoliapin_entry::PoolLimits;
use magnoliapin_entry::SystemClock;
use magnoliapin_entry::TargetCall;
use magnoliapin_entry::TargetClient;
use magnoliapin_entry::TaskRuntime;
use magnoliapin_model::Attempt;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::OrderAction;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::RefusalReason;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;
use magnoliapin_wire::TaskState;
use magnoliapin_wire::TransactionResult;
use proptest::collection;
use proptest::num;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use support::fake_server::FakeResponse;
use support::fake_server::FakeServer;
use support::metric;
use support::unused_address;
use support::wait_for;

const NOT_SENT: TargetReply = TargetReply::Failed(CallFailure::NotSent);
const UNKNOWN: TargetReply = TargetReply::Failed(CallFailure::Unknown);
const NO_DEADLINE: Moment = Moment(u64::MAX);

/// Target and platform clients with their own task runtime, clock and metrics.
struct ClientFixture {
    runtime: TaskRuntime,
    clock: Arc<SystemClock>,
    metrics: Arc<EntryMetrics>,
    targets: HttpTargets,
}

impl ClientFixture {
    fn new(limits: PoolLimits) -> Self {
        let runtime = TaskRuntime::start(2).expect("the runtime starts");
        let clock = Arc::new(SystemClock::new());
        let metrics = Arc::new(EntryMetrics::new());
        let targets =
            HttpTargets::new(limits, clock.clone(), Arc::clone(&metrics), runtime.spawner());
        Self { runtime, clock, metrics, targets }
    }

    fn platform(&self, address: SocketAddr) -> HttpPlatform {
        let limits = PoolLimits::for_platform();
        let metrics = Arc::clone(&self.metrics);
        HttpPlatform::new(address, limits, self.clock.clone(), metrics, self.runtime.spawner())
    }

    fn call(&self, address: SocketAddr, request: TargetRequest) -> TargetReply {
        smol::block_on(self.targets.call(target_call(address, request)))
    }

    fn mismatch_count(&self) -> f64 {
        metric(
            &self.metrics.text(),
            "magnoliapin_calls_total{border=\"target\",result=\"mismatched\"",
        )
    }
}

fn target_call(address: SocketAddr, request: TargetRequest) -> TargetCall {
    let timeout = Duration::from_millis(400);
    TargetCall { address, request, timeout, new_connection: false, send_before: NO_DEADLINE }
}

fn task() -> TaskId {
    TaskId::new(WorkId(0xabc), Attempt(1))
}

fn start_request() -> TargetRequest {
    TargetRequest::Start(StartTask {
        task: task(),
        entry: EntryId(1),
        run: TargetIncarnation(7),
        team: TeamId::new("guides").expect("a valid name"),
        queue: QueueId::new("booking").expect("a valid name"),
        lease_ms: 1_000,
        max_run_ms: 1_000,
        payload: b"input".to_vec(),
    })
}

fn finished() -> TaskReply {
    TaskReply {
        task: task(),
        run: TargetIncarnation(7),
        state: TaskState::Finished,
        output: b"output".to_vec(),
        output_bytes: 6,
        free_slots: SlotCount(8),
    }
}

fn json(reply: &TaskReply) -> Vec<u8> {
    serde_json::to_vec(reply).expect("a reply is JSON")
}

#[test]
fn complete_response_is_returned_and_the_connection_is_reused() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeResponse::Body(json(&finished())));
    for _ in 0..5 {
        let reply = fixture.call(server.address, start_request());
        assert_eq!(reply, TargetReply::Task(finished()));
    }
    assert_eq!((server.requests(), server.connections()), (5, 1));
}

#[test]
fn new_connection_option_bypasses_idle_connections() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeResponse::Body(json(&finished())));
    fixture.call(server.address, TargetRequest::Query(task()));
    let mut call = target_call(server.address, TargetRequest::Query(task()));
    call.new_connection = true;
    smol::block_on(fixture.targets.call(call));
    assert_eq!(server.connections(), 2);
}

#[test]
fn refused_connection_is_reported_as_not_sent() {
    let fixture = ClientFixture::new(PoolLimits::default());
    assert_eq!(fixture.call(unused_address(), start_request()), NOT_SENT);
}

#[test]
fn call_past_its_send_deadline_writes_no_bytes() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeResponse::Body(json(&finished())));
    // The first pass uses a new connection, the second an idle one.
    for number in 0..2 {
        fixture.call(server.address, TargetRequest::Query(task()));
        let before = server.counts.bytes.load(Ordering::SeqCst);
        let mut call = target_call(server.address, start_request());
        call.new_connection = number == 0;
        call.send_before = fixture.clock.now();
        assert_eq!(smol::block_on(fixture.targets.call(call)), NOT_SENT);
        assert_eq!(server.counts.bytes.load(Ordering::SeqCst), before);
    }
}

#[test]
fn connection_closed_after_the_request_leaves_the_outcome_unknown() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeResponse::Close);
    assert_eq!(fixture.call(server.address, start_request()), UNKNOWN);
}

#[test]
fn unresponsive_connection_times_out_and_is_not_reused() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let server = FakeServer::start(|number, _| match number {
        0 => FakeResponse::Silent,
        _ => FakeResponse::Body(json(&finished())),
    });
    let started = Instant::now();
    assert_eq!(fixture.call(server.address, start_request()), UNKNOWN);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    wait_for("the unresponsive connection to close", || server.open() == 0);
    let reply = fixture.call(server.address, TargetRequest::Query(task()));
    assert_eq!(reply, TargetReply::Task(finished()));
    assert_eq!(server.connections(), 2);
}

#[test]
fn late_response_is_not_returned_to_the_next_call() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let server = FakeServer::start(|number, _| {
        let mut reply = finished();
        if number == 0 {
            reply.output = b"late".to_vec();
            reply.output_bytes = 4;
            return FakeResponse::Late(Duration::from_millis(600), json(&reply));
        }
        FakeResponse::Body(json(&reply))
    });
    assert_eq!(fixture.call(server.address, start_request()), UNKNOWN);
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(fixture.call(server.address, start_request()), TargetReply::Task(finished()));
}

#[test]
fn mismatched_responses_leave_the_outcome_unknown_and_are_counted() {
    let other_task = TaskReply { task: TaskId::new(WorkId(1), Attempt(1)), ..finished() };
    let other_incarnation = TaskReply { run: TargetIncarnation(8), ..finished() };
    let truncated = TaskReply { output: b"out".to_vec(), ..finished() };
    let cases =
        [json(&other_task), json(&other_incarnation), json(&truncated), b"{}".to_vec(), Vec::new()];
    for (number, body) in cases.into_iter().enumerate() {
        let fixture = ClientFixture::new(PoolLimits::default());
        let server = FakeServer::start(move |_, _| FakeResponse::Body(body.clone()));
        assert_eq!(fixture.call(server.address, start_request()), UNKNOWN, "case {number}");
        assert_eq!(fixture.mismatch_count(), 1.0, "case {number}");
    }
}

#[test]
fn refusal_from_another_incarnation_is_accepted() {
    let refusal = TaskReply {
        run: TargetIncarnation(8),
        state: TaskState::Refused(RefusalReason::OtherRun),
        output: Vec::new(),
        output_bytes: 0,
        ..finished()
    };
    let body = json(&refusal);
    let fixture = ClientFixture::new(PoolLimits::default());
    let server = FakeServer::start(move |_, _| FakeResponse::Body(body.clone()));
    assert_eq!(fixture.call(server.address, start_request()), TargetReply::Task(refusal));
}

#[test]
fn truncated_and_oversized_responses_leave_the_outcome_unknown() {
    let truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"task\":".to_vec();
    let mut oversized = b"HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n".to_vec();
    oversized.resize(100_000, b' ');
    let limits = PoolLimits { max_response_bytes: 50_000, ..PoolLimits::default() };
    for bytes in [truncated, oversized] {
        let fixture = ClientFixture::new(limits.clone());
        let server = FakeServer::start(move |_, _| FakeResponse::Raw(bytes.clone()));
        assert_eq!(fixture.call(server.address, start_request()), UNKNOWN);
    }
}

fn call_in_parallel(fixture: &ClientFixture, server: &FakeServer, new_connections: bool) {
    let calls = (0..60).map(|number| {
        let request = if number % 3 == 0 { TargetRequest::Query(task()) } else { start_request() };
        let mut call = target_call(server.address, request);
        call.timeout = Duration::from_secs(5);
        call.new_connection = new_connections && number % 5 == 0;
        fixture.targets.call(call)
    });
    let replies = smol::block_on(join_all(calls));
    assert!(replies.iter().all(|reply| *reply == TargetReply::Task(finished())), "{replies:?}");
}

#[test]
fn connections_to_one_target_stay_within_the_limit() {
    let fixture = ClientFixture::new(PoolLimits { idle_connections: 16, ..PoolLimits::default() });
    let server =
        FakeServer::start(|_, _| FakeResponse::Late(Duration::from_millis(100), json(&finished())));
    call_in_parallel(&fixture, &server, false);
    assert_eq!(server.connections(), 16);
}

#[test]
fn connections_stay_within_the_limit_while_they_are_replaced() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let server =
        FakeServer::start(|_, _| FakeResponse::Late(Duration::from_millis(50), json(&finished())));
    let metrics = Arc::clone(&fixture.metrics);
    let done = AtomicBool::new(false);
    let peak = std::thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut peak = 0.0_f64;
            while !done.load(Ordering::SeqCst) {
                let open = metric(&metrics.text(), "magnoliapin_connections{border=\"target\"}");
                peak = peak.max(open);
            }
            peak
        });
        call_in_parallel(&fixture, &server, true);
        done.store(true, Ordering::SeqCst);
        sampler.join().expect("the sampler does not panic")
    });
    assert!((1.0..=16.0).contains(&peak), "{peak} connections");
}

#[test]
fn control_connections_are_reserved_and_calls_over_the_limit_are_not_sent() {
    let limits = PoolLimits { connections: 3, control_connections: 1, ..PoolLimits::default() };
    let fixture = ClientFixture::new(limits);
    let server = FakeServer::start(|_, request| {
        let is_start = request.starts_with(b"POST /v1/tasks ");
        if is_start {
            FakeResponse::Silent
        } else {
            FakeResponse::Body(json(&finished()))
        }
    });
    let mut calls = Vec::new();
    for _ in 0..3 {
        calls.push(fixture.targets.call(target_call(server.address, start_request())));
    }
    let query = fixture.targets.call(target_call(server.address, TargetRequest::Query(task())));
    calls.push(query);
    let replies = smol::block_on(join_all(calls));
    assert_eq!(replies, [UNKNOWN, UNKNOWN, NOT_SENT, TargetReply::Task(finished())]);
}

#[test]
fn random_target_responses_leave_the_outcome_unknown() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    };
    let bytes = collection::vec(num::u8::ANY, 1..300);
    let (sender, receiver) = std::sync::mpsc::channel::<Vec<u8>>();
    let receiver = std::sync::Mutex::new(receiver);
    let server = FakeServer::start(move |number, _| {
        let bytes = receiver.lock().unwrap().recv().unwrap();
        if number % 2 == 0 {
            FakeResponse::Raw(bytes)
        } else {
            FakeResponse::Body(bytes)
        }
    });
    TestRunner::new(config)
        .run(&bytes, |bytes| {
            sender.send(bytes).unwrap();
            assert_eq!(fixture.call(server.address, start_request()), UNKNOWN);
            Ok(())
        })
        .unwrap();
}

#[test]
fn platform_responses_are_validated_against_the_request() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let row =
        |key: &str| TableRow { key: key.to_owned(), version: RowVersion(1), value: "v".to_owned() };
    let write = RowWrite { key: "job/1".to_owned(), value: Some("v".to_owned()) };
    let transact = PlatformRequest::Transact(TableTransaction {
        writes: vec![write],
        ..TableTransaction::default()
    });
    let read = PlatformRequest::Read(TableRead::Keys(vec!["job/1".to_owned()]));
    let prefix = PlatformRequest::Read(TableRead::Prefix {
        prefix: "job/".to_owned(),
        after: "job/1".to_owned(),
        limit: 2,
    });
    let committed = |count| TransactionResult::Committed(vec![RowVersion(1); count]);
    let cases = [
        (transact.clone(), serde_json::to_vec(&committed(1)).unwrap(), true),
        (transact.clone(), serde_json::to_vec(&committed(2)).unwrap(), false),
        (transact, b"[]".to_vec(), false),
        (read.clone(), serde_json::to_vec(&[row("job/1")]).unwrap(), true),
        (read, serde_json::to_vec(&[row("job/2")]).unwrap(), false),
        (prefix.clone(), serde_json::to_vec(&[row("job/2"), row("job/3")]).unwrap(), true),
        (prefix.clone(), serde_json::to_vec(&[row("job/3"), row("job/2")]).unwrap(), false),
        (prefix.clone(), serde_json::to_vec(&[row("job/1")]).unwrap(), false),
        (prefix, serde_json::to_vec(&[row("team/2")]).unwrap(), false),
    ];
    for (number, (request, body, is_valid)) in cases.into_iter().enumerate() {
        let server = FakeServer::start(move |_, _| FakeResponse::Body(body.clone()));
        let platform = fixture.platform(server.address);
        let reply = smol::block_on(platform.call(request, Duration::from_millis(500)));
        let failed = reply == PlatformReply::Failed(CallFailure::Unknown);
        assert_eq!(failed, !is_valid, "case {number}: {reply:?}");
    }
}

#[test]
fn order_rejected_with_409_is_reported_as_not_sent() {
    let fixture = ClientFixture::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeResponse::Status(409));
    let platform = fixture.platform(server.address);
    let order =
        InstanceOrder { run: TargetIncarnation(1), epoch: RowVersion(1), act: OrderAction::Drain };
    let request = PlatformRequest::Order("instance-1".parse().unwrap(), order);
    let reply = smol::block_on(platform.call(request, Duration::from_millis(500)));
    assert_eq!(reply, PlatformReply::Failed(CallFailure::NotSent));
    let read = platform.call(PlatformRequest::Instances, Duration::from_millis(500));
    assert_eq!(smol::block_on(read), PlatformReply::Failed(CallFailure::Unknown));
}

#[test]
fn platform_error_statuses_leave_the_outcome_unknown() {
    let fixture = ClientFixture::new(PoolLimits::default());
    for status in [400, 404, 500, 503] {
        let server = FakeServer::start(move |_, _| FakeResponse::Status(status));
        let platform = fixture.platform(server.address);
        let call = platform.call(PlatformRequest::Instances, Duration::from_millis(500));
        assert_eq!(smol::block_on(call), PlatformReply::Failed(CallFailure::Unknown));
    }
}

async fn join_all<T>(
    calls: impl IntoIterator<Item = magnoliapin_entry::CallFuture<'_, T>>,
) -> Vec<T> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = calls.into_iter().map(|call| executor.spawn(call)).collect();
    let all = async {
        let mut results = Vec::new();
        for task in tasks {
            results.push(task.await);
        }
        results
    };
    executor.run(all).await
}

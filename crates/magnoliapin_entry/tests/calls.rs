//! Calls of targets and of the platform over broken, slow and silent connections.

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
use magnoliapin_model::TargetRun;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::OrderAct;
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
use support::fake_server::FakeAnswer;
use support::fake_server::FakeServer;
use support::metric;
use support::unused_address;
use support::wait_for;

const NOT_SENT: TargetReply = TargetReply::Failed(CallFailure::NotSent);
const UNKNOWN: TargetReply = TargetReply::Failed(CallFailure::Unknown);
const FAR: Moment = Moment(u64::MAX);

/// Clients with their own threads.
struct ClientBench {
    runtime: TaskRuntime,
    clock: Arc<SystemClock>,
    metrics: Arc<EntryMetrics>,
    targets: HttpTargets,
}

impl ClientBench {
    fn new(limits: PoolLimits) -> Self {
        let runtime = TaskRuntime::start(2).expect("the test can set this up");
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

    fn mismatches(&self) -> f64 {
        metric(
            &self.metrics.text(),
            "magnoliapin_calls_total{border=\"target\",result=\"mismatched\"",
        )
    }
}

fn target_call(address: SocketAddr, request: TargetRequest) -> TargetCall {
    let timeout = Duration::from_millis(400);
    TargetCall { address, request, timeout, new_connection: false, send_before: FAR }
}

fn task() -> TaskId {
    TaskId::new(WorkId(0xabc), Attempt(1))
}

fn start_request() -> TargetRequest {
    TargetRequest::Start(StartTask {
        task: task(),
        entry: EntryId(1),
        run: TargetRun(7),
        team: TeamId::new("guides").expect("the test can set this up"),
        queue: QueueId::new("booking").expect("the test can set this up"),
        lease_ms: 1_000,
        max_run_ms: 1_000,
        payload: b"input".to_vec(),
    })
}

fn finished() -> TaskReply {
    TaskReply {
        task: task(),
        run: TargetRun(7),
        state: TaskState::Finished,
        output: b"output".to_vec(),
        output_bytes: 6,
        free_slots: SlotCount(8),
    }
}

fn json(reply: &TaskReply) -> Vec<u8> {
    serde_json::to_vec(reply).expect("the test can set this up")
}

#[test]
fn a_whole_answer_comes_back_and_the_connection_is_used_again() {
    let bench = ClientBench::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeAnswer::Body(json(&finished())));
    for _ in 0..5 {
        let reply = bench.call(server.address, start_request());
        assert_eq!(reply, TargetReply::Task(finished()));
    }
    assert_eq!((server.requests(), server.connections()), (5, 1));
}

#[test]
fn a_call_that_needs_a_new_connection_gets_one() {
    let bench = ClientBench::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeAnswer::Body(json(&finished())));
    bench.call(server.address, TargetRequest::Query(task()));
    let mut call = target_call(server.address, TargetRequest::Query(task()));
    call.new_connection = true;
    smol::block_on(bench.targets.call(call));
    assert_eq!(server.connections(), 2);
}

#[test]
fn a_refused_connection_proves_that_nothing_was_sent() {
    let bench = ClientBench::new(PoolLimits::default());
    assert_eq!(bench.call(unused_address(), start_request()), NOT_SENT);
}

#[test]
fn a_call_that_is_too_late_writes_no_byte() {
    let bench = ClientBench::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeAnswer::Body(json(&finished())));
    // The second call would go over the connection that the first one left open.
    for number in 0..2 {
        bench.call(server.address, TargetRequest::Query(task()));
        let before = server.counts.bytes.load(Ordering::SeqCst);
        let mut call = target_call(server.address, start_request());
        call.new_connection = number == 0;
        call.send_before = bench.clock.now();
        assert_eq!(smol::block_on(bench.targets.call(call)), NOT_SENT);
        assert_eq!(server.counts.bytes.load(Ordering::SeqCst), before);
    }
}

#[test]
fn a_connection_closed_after_the_request_leaves_the_outcome_unknown() {
    let bench = ClientBench::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeAnswer::Close);
    assert_eq!(bench.call(server.address, start_request()), UNKNOWN);
}

#[test]
fn a_silent_connection_is_given_up_and_never_used_again() {
    let bench = ClientBench::new(PoolLimits::default());
    let server = FakeServer::start(|number, _| match number {
        0 => FakeAnswer::Silent,
        _ => FakeAnswer::Body(json(&finished())),
    });
    let started = Instant::now();
    assert_eq!(bench.call(server.address, start_request()), UNKNOWN);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    wait_for("the end of the silent connection", || server.open() == 0);
    let reply = bench.call(server.address, TargetRequest::Query(task()));
    assert_eq!(reply, TargetReply::Task(finished()));
    assert_eq!(server.connections(), 2);
}

#[test]
fn a_late_answer_never_reaches_the_next_call() {
    let bench = ClientBench::new(PoolLimits::default());
    let server = FakeServer::start(|number, _| {
        let mut reply = finished();
        if number == 0 {
            reply.output = b"late".to_vec();
            reply.output_bytes = 4;
            return FakeAnswer::Late(Duration::from_millis(600), json(&reply));
        }
        FakeAnswer::Body(json(&reply))
    });
    assert_eq!(bench.call(server.address, start_request()), UNKNOWN);
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(bench.call(server.address, start_request()), TargetReply::Task(finished()));
}

#[test]
fn answers_that_do_not_fit_are_unknown_and_counted() {
    let other_task = TaskReply { task: TaskId::new(WorkId(1), Attempt(1)), ..finished() };
    let other_run = TaskReply { run: TargetRun(8), ..finished() };
    let cut = TaskReply { output: b"out".to_vec(), ..finished() };
    let cases = [json(&other_task), json(&other_run), json(&cut), b"{}".to_vec(), Vec::new()];
    for (number, body) in cases.into_iter().enumerate() {
        let bench = ClientBench::new(PoolLimits::default());
        let server = FakeServer::start(move |_, _| FakeAnswer::Body(body.clone()));
        assert_eq!(bench.call(server.address, start_request()), UNKNOWN, "case {number}");
        assert_eq!(bench.mismatches(), 1.0, "case {number}");
    }
}

#[test]
fn a_refusal_may_come_from_another_run() {
    let refusal = TaskReply {
        run: TargetRun(8),
        state: TaskState::Refused(RefusalReason::OtherRun),
        output: Vec::new(),
        output_bytes: 0,
        ..finished()
    };
    let body = json(&refusal);
    let bench = ClientBench::new(PoolLimits::default());
    let server = FakeServer::start(move |_, _| FakeAnswer::Body(body.clone()));
    assert_eq!(bench.call(server.address, start_request()), TargetReply::Task(refusal));
}

#[test]
fn cut_and_endless_answers_are_unknown() {
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"task\":".to_vec();
    let mut endless = b"HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n".to_vec();
    endless.resize(100_000, b' ');
    let limits = PoolLimits { answer_bytes: 50_000, ..PoolLimits::default() };
    for bytes in [cut, endless] {
        let bench = ClientBench::new(limits.clone());
        let server = FakeServer::start(move |_, _| FakeAnswer::Raw(bytes.clone()));
        assert_eq!(bench.call(server.address, start_request()), UNKNOWN);
    }
}

fn call_in_parallel(bench: &ClientBench, server: &FakeServer, new_connections: bool) {
    let calls = (0..60).map(|number| {
        let request = if number % 3 == 0 { TargetRequest::Query(task()) } else { start_request() };
        let mut call = target_call(server.address, request);
        call.timeout = Duration::from_secs(5);
        call.new_connection = new_connections && number % 5 == 0;
        bench.targets.call(call)
    });
    let replies = smol::block_on(join_all(calls));
    assert!(replies.iter().all(|reply| *reply == TargetReply::Task(finished())), "{replies:?}");
}

#[test]
fn a_target_sees_no_more_connections_than_the_bound() {
    let bench = ClientBench::new(PoolLimits { idle_connections: 16, ..PoolLimits::default() });
    let server =
        FakeServer::start(|_, _| FakeAnswer::Late(Duration::from_millis(100), json(&finished())));
    call_in_parallel(&bench, &server, false);
    assert_eq!(server.connections(), 16);
}

#[test]
fn sockets_to_one_target_stay_under_the_bound_while_they_are_replaced() {
    let bench = ClientBench::new(PoolLimits::default());
    let server =
        FakeServer::start(|_, _| FakeAnswer::Late(Duration::from_millis(50), json(&finished())));
    let metrics = Arc::clone(&bench.metrics);
    let done = AtomicBool::new(false);
    let most = std::thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut most = 0.0_f64;
            while !done.load(Ordering::SeqCst) {
                let open = metric(&metrics.text(), "magnoliapin_connections{border=\"target\"}");
                most = most.max(open);
            }
            most
        });
        call_in_parallel(&bench, &server, true);
        done.store(true, Ordering::SeqCst);
        sampler.join().expect("the sampler does not panic")
    });
    assert!((1.0..=16.0).contains(&most), "{most} sockets");
}

#[test]
fn starts_leave_room_for_questions_and_calls_without_room_are_not_sent() {
    let limits = PoolLimits { connections: 3, control_connections: 1, ..PoolLimits::default() };
    let bench = ClientBench::new(limits);
    let server = FakeServer::start(|_, request| {
        let is_start = request.starts_with(b"POST /v1/tasks ");
        if is_start {
            FakeAnswer::Silent
        } else {
            FakeAnswer::Body(json(&finished()))
        }
    });
    let mut starts = Vec::new();
    for _ in 0..3 {
        starts.push(bench.targets.call(target_call(server.address, start_request())));
    }
    let question = bench.targets.call(target_call(server.address, TargetRequest::Query(task())));
    starts.push(question);
    let replies = smol::block_on(join_all(starts));
    assert_eq!(replies, [UNKNOWN, UNKNOWN, NOT_SENT, TargetReply::Task(finished())]);
}

#[test]
fn random_answers_of_a_target_do_no_harm() {
    let bench = ClientBench::new(PoolLimits::default());
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
            FakeAnswer::Raw(bytes)
        } else {
            FakeAnswer::Body(bytes)
        }
    });
    TestRunner::new(config)
        .run(&bytes, |bytes| {
            sender.send(bytes).unwrap();
            assert_eq!(bench.call(server.address, start_request()), UNKNOWN);
            Ok(())
        })
        .unwrap();
}

#[test]
fn answers_of_the_platform_are_checked_against_their_request() {
    let bench = ClientBench::new(PoolLimits::default());
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
    for (number, (request, body, fits)) in cases.into_iter().enumerate() {
        let server = FakeServer::start(move |_, _| FakeAnswer::Body(body.clone()));
        let platform = bench.platform(server.address);
        let reply = smol::block_on(platform.call(request, Duration::from_millis(500)));
        let failed = reply == PlatformReply::Failed(CallFailure::Unknown);
        assert_eq!(failed, !fits, "case {number}: {reply:?}");
    }
}

#[test]
fn an_order_that_the_platform_refuses_as_outdated_did_nothing() {
    let bench = ClientBench::new(PoolLimits::default());
    let server = FakeServer::start(|_, _| FakeAnswer::Status(409));
    let platform = bench.platform(server.address);
    let order = InstanceOrder { run: TargetRun(1), epoch: RowVersion(1), act: OrderAct::Drain };
    let request = PlatformRequest::Order("instance-1".parse().unwrap(), order);
    let reply = smol::block_on(platform.call(request, Duration::from_millis(500)));
    assert_eq!(reply, PlatformReply::Failed(CallFailure::NotSent));
    let read = platform.call(PlatformRequest::Instances, Duration::from_millis(500));
    assert_eq!(smol::block_on(read), PlatformReply::Failed(CallFailure::Unknown));
}

#[test]
fn refusing_statuses_of_the_platform_are_unknown() {
    let bench = ClientBench::new(PoolLimits::default());
    for status in [400, 404, 500, 503] {
        let server = FakeServer::start(move |_, _| FakeAnswer::Status(status));
        let platform = bench.platform(server.address);
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

//! Runs nodes against clients whose requests are complete: jobs of every size, and crowds of jobs that
//! are accepted or refused.
#![allow(clippy::print_stdout, reason = "the figures are part of the result of a run")]

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::floods_support::exchange;
use crate::floods_support::status;
use crate::floods_support::MachineLimits;
use crate::floods_support::TestNode;
use crate::floods_support::TEAM_KEYS;
use crate::lock;
use crate::platform::digest;
use crate::support::site::wait_for;
use crate::SMALL_MEMORY;

/// Limit on bodies in the configuration.
const BODY_BYTES: usize = 1024 * 1024;
/// Number of clients of a crowd whose bodies are large.
const CLIENTS: usize = 8;
/// Number of clients that send the same request at the same time.
const WIDE_CROWD: usize = 300;
/// Longest time for which a crowd sends.
const CROWD_TIME: Duration = Duration::from_secs(20);
/// Number of tasks of a job whose body is small.
const TASKS_PER_JOB: usize = 10_000;

/// Returns the input of a job whose body has this size. Inputs of different jobs differ.
fn input(job: &str, body_bytes: usize) -> String {
    let around = body("").len();
    let mut input = job.to_owned();
    input.extend(std::iter::repeat_n('x', body_bytes.saturating_sub(around + job.len())));
    input
}

/// Returns the body of a job with one task.
fn body(input: &str) -> String {
    format!("{{\"phases\":[{{\"count\":1,\"cpu\":10,\"mem_mb\":1}}],\"spec\":\"{input}\"}}")
}

/// Returns a request with this body, with a length or in chunks.
fn post(path: &str, headers: &str, body: &str, is_chunked: bool) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\n{headers}");
    if !is_chunked {
        return format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes();
    }
    let mut request = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    for chunk in body.as_bytes().chunks(16 * 1024) {
        request.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        request.extend_from_slice(chunk);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

const CLOSE: &str = "connection: close\r\n";

/// Returns the state of a job in the response to a read.
pub(crate) fn state_of(node: &TestNode, job: &str) -> Option<String> {
    let read = format!("GET /q/{job} HTTP/1.1\r\nhost: h\r\n{CLOSE}\r\n");
    let response = exchange(node.clients, read.as_bytes())?;
    let state = response.split("\"state\":\"").nth(1)?.split('"').next()?;
    Some(state.to_owned())
}

/// Checks that each job has completed, that its task has started once with its input, and that the
/// store was never sent more than it takes.
fn check_completed(node: &TestNode, jobs: &BTreeMap<String, String>) {
    for (job, input) in jobs {
        wait_for(&format!("{job} is completed"), || {
            state_of(node, job).as_deref() == Some("completed")
        });
        let state = node.platform.state.lock().expect("no thread has panicked");
        let starts = state.started.get(&format!("{job}.0.0.0")).cloned().unwrap_or_default();
        assert_eq!(starts.len(), 1, "starts of {job}: {starts:?}");
        assert_eq!(starts[0].1, digest(input), "input of {job}");
    }
    let state = node.platform.state.lock().expect("no thread has panicked");
    assert_eq!(state.oversized, 0, "transactions over the limits of the store");
}

/// Guards against jobs that are inside the limit on bodies but larger than a row of the store.
#[test]
fn bodies_of_every_size_are_served() {
    let _guard = lock();
    let node = TestNode::start("sizes", SMALL_MEMORY);
    node.platform.register_target();
    let sizes = [
        1_000, 8_000, 16_000, 40_000, 49_000, 60_000, 65_500, 66_000, 70_000, 100_000, 200_000,
        262_144, 500_000, BODY_BYTES,
    ];
    let mut jobs = BTreeMap::new();
    for (number, size) in sizes.into_iter().enumerate() {
        for is_chunked in [false, true] {
            let job = format!("{:016x}", number * 2 + usize::from(is_chunked) + 1);
            let input = input(&job, size);
            let request = post(&format!("/q/{job}"), CLOSE, &body(&input), is_chunked);
            let response = exchange(node.clients, &request).unwrap_or_default();
            assert!(response.starts_with("HTTP/1.1 200"), "{size} bytes: {response}");
            jobs.insert(job, input);
        }
    }
    check_completed(&node, &jobs);
    node.check();
}

/// Guards against inputs that stay in the store after their job has finished.
#[test]
fn inputs_of_finished_jobs_are_removed() {
    let _guard = lock();
    let node = TestNode::start("removed", SMALL_MEMORY);
    node.platform.register_target();
    let job = "00000000000000b1";
    let input = input(job, 200_000);
    let request = post(&format!("/q/{job}"), CLOSE, &body(&input), false);
    assert_eq!(status(node.clients, &request), Some(200));
    check_completed(&node, &BTreeMap::from([(job.to_owned(), input)]));
    wait_for("the rows of the input are removed", || {
        node.platform.count_rows("input") + node.platform.count_rows("upload") == 0
    });
}

/// Guards against inputs that only the node knows which accepted the job.
#[test]
fn large_jobs_survive_a_change_of_leader_before_their_start() {
    let _guard = lock();
    let mut first = TestNode::start("change-1", SMALL_MEMORY);
    let second = TestNode::join(&first.platform, "change-2", SMALL_MEMORY);
    let mut jobs = BTreeMap::new();
    for (number, node) in [&first, &second].into_iter().enumerate() {
        let job = format!("{:016x}", number + 1);
        let input = input(&job, 200_000);
        let request = post(&format!("/q/{job}"), CLOSE, &body(&input), false);
        assert_eq!(status(node.clients, &request), Some(200));
        jobs.insert(job, input);
    }
    first.kill();
    second.platform.register_target();
    check_completed(&second, &jobs);
    second.check();
}

/// Guards against limits of a later configuration that are applied to jobs which wait.
#[test]
fn large_jobs_survive_a_limit_that_is_lowered() {
    let _guard = lock();
    let node = TestNode::start("lower", SMALL_MEMORY);
    let job = "00000000000000b1";
    let input = input(job, 200_000);
    let request = post(&format!("/q/{job}"), CLOSE, &body(&input), false);
    assert_eq!(status(node.clients, &request), Some(200));
    node.set_body_limit(2, 64 * 1024);
    let later = post("/q/00000000000000b2", CLOSE, &body(&input), false);
    wait_for("the new limit is in force", || status(node.clients, &later) == Some(413));
    node.platform.register_target();
    check_completed(&node, &BTreeMap::from([(job.to_owned(), input)]));
}

/// A job of a crowd.
pub(crate) struct CrowdRequest {
    pub(crate) path: String,
    pub(crate) headers: String,
    pub(crate) body: String,
    /// Input of the job in the body.
    pub(crate) input: String,
}

impl CrowdRequest {
    /// Creates the request of a job with one task, whose body has this size.
    pub(crate) fn new(path: &str, headers: String, job: &str, body_bytes: usize) -> Self {
        let input = input(job, body_bytes);
        Self { path: format!("{path}{job}"), headers, body: body(&input), input }
    }

    /// Returns the request as it is sent.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        post(&self.path, &self.headers, &self.body, false)
    }
}

/// What a crowd was told.
#[derive(Default)]
pub(crate) struct CrowdResult {
    /// Accepted jobs, with their inputs.
    pub(crate) accepted: BTreeMap<String, String>,
    /// Jobs that were refused, and never accepted.
    pub(crate) refused: Vec<String>,
    /// Refusals whose delay is 0 or missing.
    pub(crate) hasty_refusals: usize,
}

/// Sends jobs from `clients` connections, each `jobs_per_client` of them, and stops after a limited time.
/// `request` returns the request of a job.
pub(crate) fn send_crowd(
    address: SocketAddr,
    clients: usize,
    jobs_per_client: usize,
    request: impl Fn(&str) -> CrowdRequest + Send + Clone + 'static,
) -> CrowdResult {
    let deadline = Instant::now() + CROWD_TIME;
    let client = |number: usize| {
        let request = request.clone();
        thread::spawn(move || {
            let mut result = CrowdResult::default();
            let mut stream = None;
            for index in 0..jobs_per_client {
                if Instant::now() > deadline {
                    break;
                }
                let job = format!("{:016x}", 0xc000_0000 + number * 1_000_000 + index);
                let request = request(&job);
                let bytes = request.bytes();
                match send_on(&mut stream, address, &bytes) {
                    Some((200 | 202, _)) => {
                        result.accepted.insert(job, request.input);
                    }
                    Some((429 | 503, response)) => {
                        let delay = response.to_ascii_lowercase();
                        let delay = delay.split("retry-after: ").nth(1).unwrap_or("0");
                        result.hasty_refusals += usize::from(delay.starts_with('0'));
                        result.refused.push(job);
                    }
                    _ => stream = None,
                }
            }
            result
        })
    };
    let threads: Vec<_> = (0..clients).map(client).collect();
    let mut all = CrowdResult::default();
    for thread in threads {
        let result = thread.join().expect("a client does not panic");
        all.accepted.extend(result.accepted);
        all.refused.extend(result.refused);
        all.hasty_refusals += result.hasty_refusals;
    }
    println!("accepted={} refused={}", all.accepted.len(), all.refused.len());
    all
}

/// Sends a request on a connection that is kept, and returns the status and the response.
pub(crate) fn send_on(
    stream: &mut Option<TcpStream>,
    address: SocketAddr,
    request: &[u8],
) -> Option<(u16, String)> {
    if stream.is_none() {
        let opened = TcpStream::connect(address).ok()?;
        opened.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
        *stream = Some(opened);
    }
    let open = stream.as_mut()?;
    open.write_all(request).ok()?;
    let mut response = [0; 4096];
    let length = open.read(&mut response).ok().filter(|length| *length > 0)?;
    let response = String::from_utf8_lossy(&response[..length]).into_owned();
    if response.to_ascii_lowercase().contains("connection: close") {
        *stream = None;
    }
    let status = response.split(' ').nth(1)?.parse().ok()?;
    Some((status, response))
}

fn key_header(team: usize) -> String {
    format!("authorization: Token {}\r\n", TEAM_KEYS[team])
}

/// Waits until a team can hand in an ordinary job at a node.
fn check_team_is_served(node: &TestNode, team: usize, job: &str) {
    let headers = format!("{CLOSE}{}", key_header(team));
    let request = post(&format!("/k/{job}"), &headers, &body("x"), false);
    wait_for("a team with few jobs is served", || status(node.clients, &request) == Some(200));
}

/// Starts three nodes, of which the first leads, and sends them a crowd of team A whose jobs wait.
/// Checks that every node stays within its limits, also the next leader, that team B is served, and that
/// no accepted job is lost.
fn check_accepted_crowd(
    name: &str,
    first_limits: MachineLimits,
    jobs_per_client: usize,
    request: impl Fn(&str) -> CrowdRequest + Send + Clone + 'static,
) -> (CrowdResult, Vec<TestNode>) {
    let mut nodes = vec![TestNode::start(&format!("{name}-1"), first_limits)];
    for number in 2..=3 {
        nodes.push(TestNode::join(&nodes[0].platform, &format!("{name}-{number}"), SMALL_MEMORY));
    }
    let crowd = send_crowd(nodes[2].clients, CLIENTS, jobs_per_client, request);
    check_team_is_served(&nodes[1], 1, "00000000000000d1");
    nodes.iter().for_each(TestNode::check_limits);
    assert_eq!(crowd.hasty_refusals, 0, "refusals for load without a delay");
    // The first node leads, as it was alone.
    nodes[0].kill();
    let next = &nodes[1];
    check_team_is_served(next, 1, "00000000000000d2");
    next.platform.register_target();
    wait_for("the next leader runs a job", || {
        state_of(next, "00000000000000d2").as_deref() == Some("completed")
    });
    nodes[1..].iter().for_each(TestNode::check_limits);
    (crowd, nodes)
}

/// Guards against inputs of waiting jobs that fill the memory of the leader.
#[test]
fn accepted_jobs_with_large_inputs_fit_in_the_leader() {
    let _guard = lock();
    let (crowd, nodes) = check_accepted_crowd("inputs", SMALL_MEMORY, 200, |job| {
        CrowdRequest::new("/k/", key_header(0), job, 45_000)
    });
    let next = &nodes[1];
    check_completed(next, &crowd.accepted);
    let state = next.platform.state.lock().expect("no thread has panicked");
    for job in &crowd.refused {
        assert!(!state.started.contains_key(&format!("{job}.0.0.0")), "{job} was refused and ran");
    }
    drop(state);
    nodes[1..].iter().for_each(TestNode::check_limits);
}

/// Guards against small inputs, which are in the rows of their jobs, that fill the memory of the leader.
#[test]
fn accepted_jobs_with_small_inputs_fit_in_the_leader() {
    let _guard = lock();
    let request = |job: &str| CrowdRequest::new("/k/", key_header(0), job, 7_500);
    check_accepted_crowd("small", SMALL_MEMORY, 750, request);
}

/// Guards against jobs of several teams that are lost, or that fill the memory of a node, while the
/// leader is killed and started again and the store is slow.
#[test]
fn accepted_jobs_survive_a_change_of_leader_during_the_crowd() {
    let _guard = lock();
    let mut nodes = vec![TestNode::start("during-1", SMALL_MEMORY)];
    for number in 2..=3 {
        let name = format!("during-{number}");
        nodes.push(TestNode::join(&nodes[0].platform, &name, SMALL_MEMORY));
    }
    let platform = Arc::clone(&nodes[0].platform);
    platform.state.lock().expect("no thread has panicked").commit_delay = Duration::from_millis(5);
    let address = nodes[2].clients;
    let crowd = thread::spawn(move || {
        send_crowd(address, CLIENTS, 150, |job| {
            let number = job.bytes().map(usize::from).sum::<usize>();
            let size = [500, 7_500, 45_000][number % 3];
            CrowdRequest::new("/k/", key_header(number % 2), job, size)
        })
    });
    thread::sleep(Duration::from_millis(500));
    nodes[0].kill();
    thread::sleep(Duration::from_millis(1_500));
    nodes[0].restart();
    let crowd = crowd.join().expect("the crowd does not panic");
    platform.register_target();
    nodes.iter().for_each(TestNode::check);
    check_completed(&nodes[1], &crowd.accepted);
    let state = platform.state.lock().expect("no thread has panicked");
    for job in &crowd.refused {
        assert!(!state.started.contains_key(&format!("{job}.0.0.0")), "{job} was refused and ran");
    }
    drop(state);
    nodes.iter().for_each(TestNode::check_limits);
}

/// Returns the request of a job with many tasks.
fn many_tasks(job: &str) -> CrowdRequest {
    let body = format!("{{\"phases\":[{{\"count\":{TASKS_PER_JOB},\"cpu\":10}}],\"spec\":\"x\"}}");
    let (path, headers) = (format!("/k/{job}"), key_header(0));
    CrowdRequest { path, headers, body, input: "x".to_owned() }
}

/// Guards against tasks of waiting jobs that fill the memory of the leader.
#[test]
fn accepted_jobs_with_many_tasks_fit_in_the_leader() {
    let _guard = lock();
    check_accepted_crowd("tasks", SMALL_MEMORY, 40, many_tasks);
}

/// Guards against jobs that a large machine accepts, and that fill the smaller one which leads next.
#[test]
fn accepted_jobs_fit_in_the_smallest_machine() {
    let _guard = lock();
    let large = MachineLimits { memory_mb: 512, ..SMALL_MEMORY };
    check_accepted_crowd("mixed", large, 40, many_tasks);
}

/// Guards against a refusal of a job that has run: it was accepted before, and finished under an earlier
/// leader.
#[test]
fn a_known_job_is_not_refused_for_lack_of_room() {
    let _guard = lock();
    let mut first = TestNode::start("known-1", SMALL_MEMORY);
    let second = TestNode::join(&first.platform, "known-2", SMALL_MEMORY);
    first.platform.register_target();
    let headers = format!("{CLOSE}{}", key_header(0));
    // No target has the label, so these jobs wait.
    let step = format!("{{\"count\":{TASKS_PER_JOB},\"requirements\":\"nowhere\"}}");
    let large = format!("{{\"spec\":\"x\",\"phases\":[{step}]}}");
    let hand_in = |node: &TestNode, job: &str, body: &str| {
        status(node.clients, &post(&format!("/k/{job}"), &headers, body, false))
    };
    let known = "00000000000000e1";
    assert_eq!(hand_in(&second, known, &large.replace("nowhere", "")), Some(200));
    wait_for("the job is completed", || state_of(&second, known).as_deref() == Some("completed"));
    let new_job = |number: usize| format!("{:016x}", 0xe000 + number);
    for number in 0..20 {
        hand_in(&second, &new_job(number), &large);
    }
    first.kill();
    check_team_is_served(&second, 1, "00000000000000e2");
    wait_for("the next leader runs a job", || {
        state_of(&second, "00000000000000e2").as_deref() == Some("completed")
    });
    wait_for("the next leader refuses the team's jobs", || {
        hand_in(&second, &new_job(100), &large) == Some(429)
    });
    // The second time, the node refuses the jobs of the team by itself.
    for _ in 0..2 {
        assert_eq!(hand_in(&second, known, &large), Some(200));
        assert_eq!(hand_in(&second, &new_job(100), &large), Some(429));
    }
    second.check();
}

/// Guards against occurrences of one job that fill the memory of the leader.
#[test]
fn jobs_with_many_occurrences_fit_in_the_leader() {
    let _guard = lock();
    let node = TestNode::start("occurrences", SMALL_MEMORY);
    let body = format!(
        "{{\"phases\":[{{\"count\":{TASKS_PER_JOB},\"cpu\":10}}],\"spec\":\"x\",\"start_at_ms\":1,\
         \"period_ms\":0,\"repeat_count\":10000}}"
    );
    let request = post("/q/00000000000000b1", CLOSE, &body, false);
    assert_eq!(status(node.clients, &request), Some(200));
    node.check();
    assert!(state_of(&node, "00000000000000b1").is_some());
}

/// Guards against rows with the runs of a target, or with the progress of a job, that are larger than
/// the store takes.
#[test]
fn jobs_with_many_tasks_complete_on_one_target() {
    let _guard = lock();
    let node = TestNode::start("runs", SMALL_MEMORY);
    node.platform.register_target();
    let body = format!("{{\"phases\":[{{\"count\":{TASKS_PER_JOB}}}],\"spec\":\"x\"}}");
    let request = post("/q/00000000000000b1", CLOSE, &body, false);
    assert_eq!(status(node.clients, &request), Some(200));
    wait_for("the job with many tasks is completed", || {
        state_of(&node, "00000000000000b1").as_deref() == Some("completed")
    });
    let job = "00000000000000b2";
    assert_eq!(
        status(node.clients, &post(&format!("/q/{job}"), CLOSE, &self::body("y"), false)),
        Some(200)
    );
    check_completed(&node, &BTreeMap::from([(job.to_owned(), "y".to_owned())]));
}

/// Sends the same complete request from a wide crowd, and checks the node.
fn check_wide_crowd(
    name: &str,
    request: impl Fn(&str) -> CrowdRequest + Send + Clone + 'static,
) -> CrowdResult {
    let node = TestNode::start(name, SMALL_MEMORY);
    let crowd = send_crowd(node.clients, WIDE_CROWD, 4, request);
    node.check();
    for job in crowd.accepted.keys().take(20) {
        wait_for("an accepted job is known", || state_of(&node, job).is_some());
    }
    crowd
}

/// Guards against complete large bodies that are accepted at the same time.
#[test]
fn a_node_survives_complete_bodies_that_are_accepted() {
    let _guard = lock();
    check_wide_crowd("complete", |job| CrowdRequest::new("/q/", String::new(), job, 256 * 1024));
}

/// Guards against complete large bodies of clients without a valid key.
#[test]
fn a_node_survives_complete_bodies_with_unknown_keys() {
    let _guard = lock();
    let crowd = check_wide_crowd("strangers", |job| {
        let headers = "authorization: Token nobody\r\n".to_owned();
        CrowdRequest::new("/k/", headers, job, 256 * 1024)
    });
    assert!(crowd.accepted.is_empty());
}

/// Guards against complete large bodies that are decoded and then refused for good.
#[test]
fn a_node_survives_complete_bodies_that_are_no_valid_jobs() {
    let _guard = lock();
    let step = "{\"count\":1}";
    let steps = vec![step; 256 * 1024 / (step.len() + 1)].join(",");
    let body = format!("{{\"spec\":\"x\",\"phases\":[{steps}]}}");
    let crowd = check_wide_crowd("steps", move |job| CrowdRequest {
        path: format!("/q/{job}"),
        headers: String::new(),
        body: body.clone(),
        input: String::new(),
    });
    assert!(crowd.accepted.is_empty());
}

/// Guards against changes that pile up while the store is slow, and while it does not answer.
#[test]
fn a_node_survives_complete_bodies_while_the_store_is_slow_or_silent() {
    let _guard = lock();
    for (name, is_silent) in [("slow", false), ("silent", true)] {
        let node = TestNode::start(name, SMALL_MEMORY);
        let platform = &node.platform;
        {
            let mut state = platform.state.lock().expect("no thread has panicked");
            state.commit_delay = Duration::from_millis(200);
            state.is_silent = is_silent;
        }
        let crowd = send_crowd(node.clients, WIDE_CROWD / 3, 2, |job| {
            CrowdRequest::new("/q/", String::new(), job, 256 * 1024)
        });
        {
            let mut state = platform.state.lock().expect("no thread has panicked");
            state.commit_delay = Duration::ZERO;
            state.is_silent = false;
        }
        node.check();
        for job in crowd.accepted.keys() {
            wait_for("an accepted job is known", || state_of(&node, job).is_some());
        }
    }
}

/// Guards against parts of a job other than its input that are larger than the store takes: such a job
/// is refused for good, before anything is sent.
#[test]
fn jobs_that_cannot_be_stored_are_refused_for_good() {
    let _guard = lock();
    let node = TestNode::start("labels", SMALL_MEMORY);
    let label = "l".repeat(200_000);
    let body =
        format!("{{\"spec\":\"x\",\"phases\":[{{\"count\":1,\"requirements\":\"{label}\"}}]}}");
    let request = post("/q/00000000000000b1", CLOSE, &body, false);
    assert_eq!(status(node.clients, &request), Some(413));
    assert_eq!(node.platform.state.lock().expect("no thread has panicked").oversized, 0);
    node.check();
}

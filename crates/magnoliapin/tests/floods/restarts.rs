//! Runs several nodes whose clients use their connections until a process is gone, while processes are
//! stopped, killed and started again, the configuration changes and the store falls silent.
//!
//! `RESTART_SEEDS=FROM..TO` replaces the seeds in runs by hand; `RESTART_NODES` sets the number of nodes.
#![allow(clippy::print_stdout, reason = "the figures are part of the result of a run")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;

use crate::accepted_jobs::send_on;
use crate::accepted_jobs::state_of;
use crate::accepted_jobs::CrowdRequest;
use crate::floods_support::TestNode;
use crate::lock;
use crate::platform::digest;
use crate::support::site::wait_for;
use crate::SMALL_MEMORY;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 1..4;
const NODES: usize = 3;
const CLIENTS: usize = 6;
/// Disturbances of a run, each of which lasts for a while; the next may begin before its end.
const DISTURBANCES: usize = 8;
/// Attempts of a client to hand in a job.
const ATTEMPTS: usize = 4;
/// Sizes of bodies: in the row of the job, and in one or several rows of their own.
const BODY_BYTES: [usize; 4] = [200, 4_000, 20_000, 150_000];

/// Time within which a process that was told to stop does so.
const STOP_TIME: Duration = Duration::from_secs(2);

/// What a client was told of its jobs.
#[derive(Default)]
struct ClientLog {
    /// Accepted jobs, with the digests of their inputs.
    accepted: BTreeMap<String, u64>,
    /// Jobs each of whose attempts was refused.
    refused: Vec<String>,
}

/// Hands in jobs, each at another node when that gives no answer, until it is told to stop.
fn run_client(number: u64, seed: u64, nodes: &[SocketAddr], is_over: &AtomicBool) -> ClientLog {
    let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000) + number);
    let mut streams: Vec<Option<TcpStream>> = nodes.iter().map(|_| None).collect();
    let mut log = ClientLog::default();
    let mut index = 0;
    while !is_over.load(Ordering::Relaxed) {
        index += 1;
        let job = format!("{:016x}", (number + 1) << 32 | index);
        let size = BODY_BYTES[random.random_range(0..BODY_BYTES.len())];
        let request = CrowdRequest::new("/q/", String::new(), &job, size);
        let bytes = request.bytes();
        let mut refusals = 0;
        for _ in 0..ATTEMPTS {
            let node = random.random_range(0..nodes.len());
            match send_on(&mut streams[node], nodes[node], &bytes) {
                Some((200, _)) => {
                    log.accepted.insert(job.clone(), digest(&request.input));
                    break;
                }
                Some((429 | 503 | 413, _)) => refusals += 1,
                _ => streams[node] = None,
            }
            thread::sleep(Duration::from_millis(random.random_range(5..100)));
        }
        if refusals == ATTEMPTS {
            log.refused.push(job);
        }
        thread::sleep(Duration::from_millis(random.random_range(1..20)));
    }
    log
}

/// Disturbs the nodes, one disturbance after the other or several at once.
fn disturb(nodes: &mut [TestNode], random: &mut Pcg64Mcg) {
    let platform = Arc::clone(&nodes[0].platform);
    let mut version = 1;
    for _ in 0..DISTURBANCES {
        let node = random.random_range(0..nodes.len());
        match random.random_range(0..6) {
            0 | 1 => nodes[node].signal(Signal::TERM),
            2 => nodes[node].signal(Signal::KILL),
            3 => nodes[node].signal(Signal::HUP),
            4 => {
                version += 1;
                let bytes = [64 * 1024, 1024 * 1024][random.random_range(0..2)];
                nodes[node].set_body_limit(version, bytes);
            }
            _ => {
                let is_silent = random.random_bool(0.5);
                platform.state.lock().expect("no thread has panicked").is_silent = is_silent;
            }
        }
        thread::sleep(Duration::from_millis(random.random_range(20..900)));
        for node in nodes.iter_mut() {
            if !node.is_running() && random.random_bool(0.7) {
                node.restart();
            }
        }
    }
    platform.state.lock().expect("no thread has panicked").is_silent = false;
    for node in nodes.iter_mut() {
        if !node.is_running() {
            node.restart();
        }
    }
}

fn run_seed(seed: u64, node_count: usize) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut nodes = vec![TestNode::start(&format!("restart-{seed}-0"), SMALL_MEMORY)];
    for number in 1..node_count {
        let name = format!("restart-{seed}-{number}");
        nodes.push(TestNode::join(&nodes[0].platform, &name, SMALL_MEMORY));
    }
    let platform = Arc::clone(&nodes[0].platform);
    platform.register_target();
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.clients).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS as u64)
        .map(|number| {
            let (addresses, is_over) = (addresses.clone(), Arc::clone(&is_over));
            thread::spawn(move || run_client(number, seed, &addresses, &is_over))
        })
        .collect();
    disturb(&mut nodes, &mut random);
    is_over.store(true, Ordering::Relaxed);
    let mut log = ClientLog::default();
    for client in clients {
        let of_client = client.join().expect("a client does not panic");
        log.accepted.extend(of_client.accepted);
        log.refused.extend(of_client.refused);
    }
    println!("seed={seed} accepted={} refused={}", log.accepted.len(), log.refused.len());
    for node in &mut nodes {
        // A stop that began before may end at any time.
        let deadline = Instant::now() + STOP_TIME;
        while node.is_running() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(100));
        }
        if !node.is_running() {
            node.restart();
        }
        node.check();
    }
    assert!(!log.accepted.is_empty(), "seed {seed}: nothing was accepted");
    for (job, input) in &log.accepted {
        wait_for(&format!("seed {seed}: {job} is completed"), || {
            state_of(&nodes[0], job).as_deref() == Some("completed")
        });
        let state = platform.state.lock().expect("no thread has panicked");
        let starts = state.started.get(&format!("{job}.0.0.0")).cloned().unwrap_or_default();
        let is_sound = starts.len() == 1 && starts[0].1 == *input;
        drop(state);
        assert!(is_sound, "seed {seed}: starts of {job}: {starts:?}");
    }
    let state = platform.state.lock().expect("no thread has panicked");
    let refused_runs: Vec<&String> = log
        .refused
        .iter()
        .filter(|job| state.started.contains_key(&format!("{job}.0.0.0")))
        .collect();
    let oversized = state.oversized;
    drop(state);
    assert!(refused_runs.is_empty(), "seed {seed}: refused and started: {refused_runs:?}");
    assert_eq!(oversized, 0, "seed {seed}: transactions over the limits of the store");
}

/// Guards against jobs that are lost, run twice or run although they were refused, while processes stop
/// and start under clients that keep their connections.
#[test]
fn jobs_run_once_while_processes_stop_and_start() {
    let _guard = lock();
    let seeds = std::env::var("RESTART_SEEDS").ok().map_or(SEEDS, |text| {
        let (from, to) = text.split_once("..").expect("RESTART_SEEDS must be FROM..TO");
        from.parse().expect("a number")..to.parse().expect("a number")
    });
    let nodes = std::env::var("RESTART_NODES").ok();
    let nodes = nodes.map_or(NODES, |text| text.parse().expect("RESTART_NODES must be a number"));
    for seed in seeds {
        run_seed(seed, nodes);
    }
}

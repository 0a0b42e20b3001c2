//! The whole path over separate processes.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use support::http;
use support::http::HttpFailure;
use support::site::wait_for;
use support::site::TestSite;
use support::site::GUIDE_KEY;
use support::site::OPERATOR_KEY;

#[test]
fn a_request_and_a_job_are_served() {
    let site = TestSite::start_ready("served", 2);
    let request = site.run(GUIDE_KEY, &["request", "booking", "two guests at eight"]);
    assert_eq!((request.code, request.output.as_str()), (0, "two guests at eight"));

    let submitted = site.run(GUIDE_KEY, &["submit", "rosters", "the late shift"]);
    assert_eq!(submitted.code, 0, "{}", submitted.errors);
    let id = submitted.output.trim();
    let read = || site.run_at(1, GUIDE_KEY, &["--json", "job", id]);
    wait_for("the job finishes", || read().output.contains("\"finished\""));
    assert!(read().output.contains("the late shift"));

    let foreign = site.run(OPERATOR_KEY, &["job", id]);
    assert_eq!(foreign.code, 1);
    assert!(foreign.errors.contains("not_found"), "{}", foreign.errors);
}

#[test]
fn a_job_handed_in_twice_with_one_idempotency_key_is_one_job() {
    let site = TestSite::start_ready("idempotent", 2);
    let submit = |entry| {
        let arguments = ["submit", "booking", "capture", "--idempotency-key", "family-7"];
        site.run_at(entry, GUIDE_KEY, &arguments).output
    };
    let first = submit(0);
    assert_eq!(first, submit(1));
    assert_eq!(first, submit(0));
}

#[test]
fn a_wrong_key_is_refused_and_never_shown() {
    let site = TestSite::start_ready("wrong-key", 1);
    let refused = site.run("not-a-key-of-anybody", &["request", "booking", "x"]);
    assert_eq!(refused.code, 1);
    assert!(refused.errors.contains("bad_key"), "{}", refused.errors);
    assert!(refused.errors.contains("not_run"), "{}", refused.errors);
    assert!(!refused.errors.contains("not-a-key-of-anybody"));
}

#[test]
fn an_open_queue_takes_work_without_a_key() {
    let site = TestSite::start_ready("open", 1);
    let open = site.run("", &["request", "maps", "the harbour"]);
    assert_eq!((open.code, open.output.as_str()), (0, "the harbour"));
    let keyed = site.run("", &["request", "booking", "x"]);
    assert!(keyed.errors.contains("bad_key"), "{}", keyed.errors);
}

#[test]
fn a_withdrawn_key_stops_working_at_every_entry() {
    let site = TestSite::start_ready("withdrawn", 2);
    let withdrawn = site.run(OPERATOR_KEY, &["key", "withdraw", "guides", "trial"]);
    assert_eq!(withdrawn.code, 0, "{}", withdrawn.errors);
    site.wait_until_in_force(2);
    for entry in 0..2 {
        let refused = site.run_at(entry, GUIDE_KEY, &["request", "booking", "x"]);
        assert!(refused.errors.contains("bad_key"), "{}", refused.errors);
    }
}

/// What one caller saw while the entries stopped.
#[derive(Default)]
struct CallerCounts {
    answered: u32,
    refused: u32,
    faults: Vec<String>,
}

/// Sends request after request to whichever entry still listens.
fn call_until_stopped(
    entries: &[SocketAddr],
    name: usize,
    has_stopped: &AtomicBool,
) -> CallerCounts {
    let mut counts = CallerCounts::default();
    let mut turn = name;
    while !has_stopped.load(Ordering::SeqCst) {
        turn += 1;
        let payload = format!("{{\"run_ms\":150,\"marker\":{}}}", name * 1_000_000 + turn);
        match http::run(entries[turn % entries.len()], "booking", GUIDE_KEY, &payload) {
            Ok(reply) if reply.status == 200 && reply.body == payload => counts.answered += 1,
            Ok(reply) if reply.body.contains("\"outcome\":\"not_run\"") => counts.refused += 1,
            Ok(reply) => counts.faults.push(format!("{} {}", reply.status, reply.body)),
            Err(HttpFailure::Refused) => thread::sleep(Duration::from_millis(5)),
            Err(HttpFailure::Cut(reason)) => counts.faults.push(reason),
        }
    }
    counts
}

#[test]
fn a_planned_stop_of_every_entry_under_load_cuts_no_request() {
    let mut site = TestSite::start_ready("stop", 3);
    let entries: Vec<SocketAddr> = site.entries.iter().map(|entry| entry.address).collect();
    let has_stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|name| {
            let (entries, has_stopped) = (entries.clone(), Arc::clone(&has_stopped));
            thread::spawn(move || call_until_stopped(&entries, name, &has_stopped))
        })
        .collect();

    thread::sleep(Duration::from_secs(1));
    for entry in &mut site.entries {
        entry.terminate();
        assert_eq!(entry.exit_code(), Some(0));
        thread::sleep(Duration::from_millis(300));
    }
    has_stopped.store(true, Ordering::SeqCst);

    let counts: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let faults: Vec<_> = counts.iter().flat_map(|counts| &counts.faults).collect();
    assert!(faults.is_empty(), "{} faults, such as {:?}", faults.len(), faults.first());
    assert!(counts.iter().all(|counts| counts.answered > 0), "every caller was served");
}

#[test]
fn a_second_signal_ends_an_entry_at_once() {
    let mut site = TestSite::start_ready("second-signal", 1);
    let address = site.entries[0].address;
    let caller = thread::spawn(move || {
        http::run(address, "booking", GUIDE_KEY, "{\"run_ms\":20000}").is_ok()
    });
    thread::sleep(Duration::from_millis(500));
    let started = Instant::now();
    site.entries[0].terminate();
    thread::sleep(Duration::from_millis(300));
    site.entries[0].terminate();
    assert_eq!(site.entries[0].exit_code(), Some(1));
    assert!(started.elapsed() < Duration::from_secs(3));
    assert!(!caller.join().unwrap());
}

#[test]
fn a_document_can_be_applied_as_soon_as_an_entry_listens() {
    let site = TestSite::start("at-once", 1);
    let applied = site.run("", &["config", "apply", support::site::DOCUMENT]);
    assert_eq!((applied.code, applied.output.as_str()), (0, "version 1 is accepted\n"));
}

#[test]
fn drains_keep_the_availability_budget() {
    let site = TestSite::start_ready("drain", 2);
    let drain = |instance| site.run(OPERATOR_KEY, &["drain", instance]);
    wait_for("the fleet knows the instance", || drain("target-a").code == 0);
    let second = drain("target-b");
    assert_eq!(second.code, 1);
    assert!(second.errors.contains("budget_exceeded"), "{}", second.errors);

    wait_for("one instance is out of service", || {
        let pools = site.run_at(1, OPERATOR_KEY, &["--json", "pools"]).output;
        pools.contains("\"unavailable\": 1")
    });
    let request = site.run(GUIDE_KEY, &["request", "booking", "still served"]);
    assert_eq!((request.code, request.output.as_str()), (0, "still served"));

    let back = site.run(OPERATOR_KEY, &["undrain", "target-a"]);
    assert_eq!(back.code, 0, "{}", back.errors);
    wait_for("the second instance may be drained", || drain("target-b").code == 0);
}

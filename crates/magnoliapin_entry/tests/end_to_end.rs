//! End-to-end tests in one process: callers, entries, platform and targets over real sockets.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_standin::TargetMode;
use support::request;
use support::request_with;
use support::send_raw;
use support::site::TestSite;
use support::site::GUIDES_AUTH;
use support::site::OPERATOR_AUTH;
use support::wait_for;
use support::RawResponse;
use support::TEST_TIMEOUT;

const REQUESTS_PATH: &str = "/v1/queues/booking/requests";
const JOBS_PATH: &str = "/v1/queues/booking/jobs";

#[test]
fn requests_and_resubmitted_jobs_run_once() {
    let site = TestSite::start(&["zone-a", "zone-a", "zone-b"], &["zone-a", "zone-b"]);
    for entry in 0..2 {
        let response =
            request_with(site.address(entry), "POST", REQUESTS_PATH, GUIDES_AUTH, b"a walk");
        assert_eq!((response.status, response.body.as_slice()), (200, b"a walk".as_slice()));
        assert!(response.head.contains("x-magnoliapin-outcome: ran"), "{}", response.head);
    }

    let headers = format!("{GUIDES_AUTH}idempotency-key: once\r\n");
    let first = request_with(site.address(0), "POST", JOBS_PATH, &headers, b"a job");
    assert_eq!(first.status, 202, "{first:?}");
    let id = first.json()["id"].as_str().unwrap().to_owned();
    let again = request_with(site.address(1), "POST", JOBS_PATH, &headers, b"a job");
    assert_eq!((again.status, again.json()["id"].as_str()), (202, Some(id.as_str())));
    let job = site.wait_for_job(1, &id).json();
    assert_eq!((job["state"].as_str(), job["output"].as_str()), (Some("finished"), Some("a job")));

    let works = site.works();
    assert_eq!(works.len(), 3);
    assert!(works.values().all(|counts| counts.effects == 1), "{works:?}");
}

#[test]
fn api_keys_queues_and_operator_rights_are_checked() {
    let site = TestSite::start(&["zone-a"], &["zone-a"]);
    let address = site.address(0);
    let cases = [
        ("POST", REQUESTS_PATH, "", 401, "bad_key"),
        ("POST", REQUESTS_PATH, "authorization: Bearer wrong\r\n", 401, "bad_key"),
        ("POST", "/v1/queues/none/requests", GUIDES_AUTH, 404, "not_found"),
        ("GET", "/v1/jobs/00000000000000000000000000000001", GUIDES_AUTH, 404, "not_found"),
        ("POST", "/v1/config", GUIDES_AUTH, 403, "not_allowed"),
    ];
    for (method, path, headers, status, kind) in cases {
        let body: &[u8] =
            if path == "/v1/config" { b"{\"sections\":{},\"whole\":false}" } else { b"" };
        let response = request_with(address, method, path, headers, body);
        assert_eq!(
            (response.status, response.kind().as_str()),
            (status, kind),
            "{path}: {response:?}"
        );
        assert_eq!(response.json()["outcome"], "not_run");
    }
    let open = request(address, "POST", "/v1/queues/route/requests", b"open to all");
    assert_eq!((open.status, open.body.as_slice()), (200, b"open to all".as_slice()));
    let large = vec![b'x'; 70_000];
    let response = request_with(address, "POST", REQUESTS_PATH, GUIDES_AUTH, &large);
    assert_eq!((response.status, response.kind().as_str()), (413, "body_too_large"));
    for path in ["/v1/config", "/v1/status", "/v1/instances", "/v1/pools", "/v1/timeline"] {
        let response = request_with(address, "GET", path, OPERATOR_AUTH, b"");
        assert_eq!(response.status, 200, "{path}: {response:?}");
    }
}

#[test]
fn infeasible_maintenance_period_returns_a_warning_with_the_numbers() {
    let site = TestSite::start(&["zone-a"], &["zone-a"]);
    let apply = |text: &str| {
        let change = serde_json::json!({ "sections": { "maintenance": text }, "whole": false });
        let body = change.to_string();
        let response =
            request_with(site.address(0), "POST", "/v1/config", OPERATOR_AUTH, body.as_bytes());
        assert_eq!(response.status, 200, "{response:?}");
        response.json()
    };
    let feasible = apply("period_hours = 500\n");
    assert!(feasible["warnings"].is_null(), "{feasible}");
    let infeasible = apply("period_hours = 1\ndrain_seconds = 3600\n");
    let warning = infeasible["warnings"][0].to_string();
    assert!(warning.contains("3600"), "{infeasible}");
}

#[test]
fn timeline_records_entry_start_and_jobs() {
    let site = TestSite::start(&["zone-a"], &["zone-a"]);
    let job = request_with(site.address(0), "POST", JOBS_PATH, GUIDES_AUTH, b"a job");
    let id = job.json()["id"].as_str().unwrap().to_owned();
    site.wait_for_job(0, &id);
    let mut view = serde_json::Value::Null;
    wait_for("all expected timeline events", || {
        view = request(site.address(0), "GET", "/v1/timeline", b"").json();
        let records = view["records"].as_array().unwrap();
        let names: Vec<_> = records.iter().filter_map(|record| record["name"].as_str()).collect();
        let expected = ["entry_ready", "config_in_force", "job_accepted", "job_ended"];
        expected.iter().all(|name| names.contains(name))
    });
    let entry = site.entries[0].entry().to_string();
    let records = view["records"].as_array().unwrap();
    assert!(records.iter().all(|record| record["entry"] == entry.as_str()));
}

#[test]
fn unresponsive_connection_loses_no_response_and_causes_no_second_run() {
    let site = TestSite::start(&["zone-a"], &["zone-a"]);
    let address = site.address(0);
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(move || {
            request_with(address, "POST", REQUESTS_PATH, GUIDES_AUTH, b"{\"run_ms\":700}")
        });
        wait_for("the start of the run", || site.works().values().any(|work| work.starts == 1));
        site.targets[0].set_mode(TargetMode::Silent);
        caller.join().unwrap()
    });
    assert_eq!((response.status, response.body.as_slice()), (200, b"{\"run_ms\":700}".as_slice()));
    let works = site.works();
    let counts: Vec<_> = works.values().map(|work| (work.starts, work.effects)).collect();
    assert_eq!(counts, [(1, 1)]);
}

/// Sends requests one after the other until `stop` is set; returns all responses.
fn run_load(address: SocketAddr, stop: &AtomicBool, served: &AtomicUsize) -> Vec<RawResponse> {
    let body = b"{\"run_ms\":40}";
    let head = format!(
        "POST {REQUESTS_PATH} HTTP/1.1\r\n{GUIDES_AUTH}connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [head.as_bytes(), body].concat();
    let mut responses = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let response =
            RawResponse::parse(&send_raw(address, &bytes)).expect("the response is complete");
        served.fetch_add(usize::from(response.status == 200), Ordering::SeqCst);
        responses.push(response);
    }
    responses
}

#[test]
fn planned_stop_under_load_drops_no_request() {
    let site = TestSite::start(&["zone-a", "zone-a"], &["zone-a", "zone-a"]);
    let address = site.address(0);
    let stop = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    let responses = std::thread::scope(|scope| {
        let callers: Vec<_> =
            (0..8).map(|_| scope.spawn(|| run_load(address, &stop, &served))).collect();
        wait_for("forty served requests", || served.load(Ordering::SeqCst) >= 40);
        site.entries[0].stop();
        let started = Instant::now();
        // The callers stop sending shortly after the entry is not ready, as a load balancer does.
        wait_for("an entry that is not ready", || !site.entries[0].is_ready());
        std::thread::sleep(Duration::from_millis(50));
        stop.store(true, Ordering::SeqCst);
        let responses: Vec<_> =
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
        smol::block_on(site.entries[0].finished());
        assert!(started.elapsed() < TEST_TIMEOUT, "{:?}", started.elapsed());
        responses
    });
    let served = responses.iter().filter(|response| response.status == 200).count();
    let refused: Vec<_> = responses.iter().filter(|response| response.status != 200).collect();
    assert!(served >= 40, "{served} requests were served");
    for response in &refused {
        assert_eq!(response.kind(), "not_ready", "{response:?}");
        assert_eq!(response.json()["outcome"], "not_run");
    }
    let works = site.works();
    assert_eq!(works.len(), served);
    assert!(works.values().all(|counts| counts.effects == 1), "{works:?}");
    let other = request_with(site.address(1), "POST", REQUESTS_PATH, GUIDES_AUTH, b"still served");
    assert_eq!(other.status, 200, "{other:?}");
}

#[test]
fn jobs_of_a_killed_entry_finish_exactly_once() {
    let site = TestSite::start(&["zone-a", "zone-a"], &["zone-a", "zone-a"]);
    let mut ids = Vec::new();
    for _ in 0..10 {
        let job =
            request_with(site.address(0), "POST", JOBS_PATH, GUIDES_AUTH, b"{\"run_ms\":300}");
        assert_eq!(job.status, 202, "{job:?}");
        ids.push(job.json()["id"].as_str().unwrap().to_owned());
    }
    site.entries[0].kill();
    let deadline = Instant::now() + Duration::from_secs(40);
    for id in &ids {
        let path = format!("/v1/jobs/{id}");
        loop {
            let job = request_with(site.address(1), "GET", &path, GUIDES_AUTH, b"");
            if job.status == 200 && job.json()["state"] == "finished" {
                break;
            }
            assert!(Instant::now() < deadline, "job {id} has not finished: {job:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    let works = site.works();
    assert_eq!(works.len(), ids.len());
    assert!(works.values().all(|counts| counts.effects == 1), "{works:?}");
}

//! Responses to malformed, slow and oversized requests of callers.

mod support;

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_entry::EntryHandle;
use magnoliapin_entry::EntryService;
use support::connect;
use support::metric;
use support::options_without_platform;
use support::read_until_closed;
use support::request;
use support::request_with;
use support::send_raw;
use support::wait_for;
use support::RawResponse;

const REQUESTS_PATH: &str = "/v1/queues/booking/requests";

fn start() -> EntryHandle {
    EntryService::start(options_without_platform()).expect("the entry starts")
}

fn assert_refused(response: &RawResponse, status: u16, kind: &str) {
    assert_eq!((response.status, response.kind().as_str()), (status, kind));
    assert_eq!(response.json()["outcome"], "not_run");
    assert!(response.head.contains("x-magnoliapin-outcome: not_run"), "{}", response.head);
}

/// Sends raw bytes and returns the response after which the entry closes the connection.
fn response_to(handle: &EntryHandle, bytes: &[u8]) -> RawResponse {
    let response = send_raw(handle.caller_address(), bytes);
    RawResponse::parse(&response)
        .unwrap_or_else(|| panic!("incomplete response: {}", String::from_utf8_lossy(&response)))
}

#[test]
fn unknown_paths_get_404_and_wrong_methods_get_405() {
    let handle = start();
    let address = handle.caller_address();
    for path in
        ["/", "/v1", "/v1/queues/booking", "/v1/jobs/xyz", "/v1/queues/NO/jobs", "/a/b/c/d/e"]
    {
        assert_refused(&request(address, "GET", path, b""), 404, "not_found");
    }
    assert_refused(&request(address, "GET", REQUESTS_PATH, b""), 405, "method_not_allowed");
    assert_refused(&request(address, "PUT", "/v1/config", b""), 405, "method_not_allowed");
    assert_refused(&request(address, "DELETE", "/healthz", b""), 405, "method_not_allowed");
}

#[test]
fn malformed_headers_get_the_standard_error_response() {
    let handle = start();
    let malformed: [&[u8]; 5] = [
        b"GET / HTTP/1.1\r\nno colon here\r\n\r\n",
        b"\x00\x01\x02\x03\r\n\r\n",
        b"GET /healthz HTTP/1.1\r\nhost: a\r\ncontent-length: minus\r\n\r\n",
        b"POST /healthz HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"GET /healthz HTTP/9.9\r\n\r\n",
    ];
    for bytes in malformed {
        assert_refused(&response_to(&handle, bytes), 400, "bad_request");
    }
}

#[test]
fn oversized_headers_and_paths_are_rejected() {
    let handle = start();
    let long = format!("GET /healthz HTTP/1.1\r\nlong: {}\r\n\r\n", "x".repeat(100_000));
    assert_refused(&response_to(&handle, long.as_bytes()), 400, "bad_request");
    let many = format!("GET /healthz HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(1_000));
    assert_refused(&response_to(&handle, many.as_bytes()), 400, "bad_request");
    let path = format!("GET /{} HTTP/1.1\r\n\r\n", "p".repeat(100_000));
    assert_refused(&response_to(&handle, path.as_bytes()), 400, "bad_request");
}

/// Guards against heads that `hyper` refuses by itself and that no counter shows.
#[test]
fn oversized_headers_are_counted() {
    let handle = start();
    let long = format!("GET /healthz HTTP/1.1\r\nlong: {}\r\n\r\n", "x".repeat(100_000));
    let many = format!("GET /healthz HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(1_000));
    for bytes in [long, many] {
        assert_refused(&response_to(&handle, bytes.as_bytes()), 400, "bad_request");
    }
    let name = "magnoliapin_limited_callers_total{reason=\"large_head\"}";
    assert_eq!(metric(&handle.metrics_text(), name), 2.0);
}

#[test]
fn incomplete_headers_time_out_with_408() {
    let handle = start();
    let started = Instant::now();
    let mut stream = connect(handle.caller_address());
    stream.write_all(b"POST /v1/queues/booking/requests HTTP/1.1\r\nhos").unwrap();
    let response = RawResponse::parse(&read_until_closed(&mut stream)).unwrap();
    assert_refused(&response, 408, "slow_sender");
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

#[test]
fn trickled_headers_time_out_with_408() {
    let handle = start();
    let started = Instant::now();
    let mut stream = connect(handle.caller_address());
    let mut writer = stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        for byte in b"GET /healthz HTTP/1.1\r\nhost: a very slow sender of headers\r\n\r\n" {
            if writer.write_all(&[*byte]).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(25));
        }
    });
    let response = RawResponse::parse(&read_until_closed(&mut stream)).unwrap();
    assert_refused(&response, 408, "slow_sender");
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    sender.join().unwrap();
}

#[test]
fn incomplete_bodies_time_out_with_408() {
    let handle = start();
    let head = b"POST /v1/queues/booking/requests HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf";
    assert_refused(&response_to(&handle, head), 408, "slow_sender");
}

#[test]
fn oversized_content_length_is_rejected_before_the_body_is_read() {
    let handle = start();
    let head = b"POST /v1/queues/booking/requests HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n";
    assert_refused(&response_to(&handle, head), 413, "body_too_large");
}

#[test]
fn oversized_body_is_rejected_during_the_upload() {
    let handle = start();
    let mut bytes =
        b"POST /v1/queues/booking/requests HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n".to_vec();
    bytes.resize(bytes.len() + 4_000_000, b'x');
    assert_refused(&response_to(&handle, &bytes), 413, "body_too_large");
}

#[test]
fn oversized_chunked_body_is_rejected() {
    let handle = start();
    let mut bytes =
        b"POST /v1/queues/booking/requests HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..40 {
        bytes.extend_from_slice(b"10000\r\n");
        bytes.resize(bytes.len() + 0x10000, b'x');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    assert_refused(&response_to(&handle, &bytes), 413, "body_too_large");
}

#[test]
fn malformed_request_headers_and_configuration_are_rejected() {
    let handle = start();
    let address = handle.caller_address();
    let cases = [
        ("authorization: Basic abc\r\n", 401, "bad_key"),
        ("authorization: Bearer \r\n", 401, "bad_key"),
        ("authorization: Bearer a\r\nauthorization: Bearer b\r\n", 400, "bad_request"),
        ("idempotency-key: \r\n", 400, "bad_request"),
        ("x-timeout-ms: soon\r\n", 400, "bad_request"),
        ("x-timeout-ms: 0\r\n", 400, "bad_request"),
    ];
    for (headers, status, kind) in cases {
        let response = request_with(address, "POST", REQUESTS_PATH, headers, b"work");
        assert_refused(&response, status, kind);
    }
    let response = request(address, "POST", "/v1/config", b"{");
    assert_refused(&response, 400, "bad_request");
}

#[test]
fn slow_senders_do_not_delay_other_callers() {
    let handle = start();
    let address = handle.caller_address();
    let mut slow: Vec<_> = (0..200).map(|_| connect(address)).collect();
    for stream in &mut slow {
        stream.write_all(b"GET /healthz HTTP/1.1\r\n").unwrap();
    }
    for _ in 0..20 {
        let started = Instant::now();
        assert_eq!(request(address, "GET", "/healthz", b"").status, 200);
        assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    }
    for stream in &mut slow {
        let response = RawResponse::parse(&read_until_closed(stream)).unwrap();
        assert_refused(&response, 408, "slow_sender");
    }
}

fn start_with_connections(limit: usize) -> EntryHandle {
    let mut options = options_without_platform();
    options.limits.caller_connections = limit;
    EntryService::start(options).expect("a port is free")
}

fn open_connections(handle: &EntryHandle) -> f64 {
    metric(&handle.metrics_text(), "magnoliapin_connections{border=\"caller\"}")
}

#[test]
fn connections_over_the_limit_are_refused_until_a_slot_is_free() {
    let handle = start_with_connections(3);
    let address = handle.caller_address();
    let mut busy: Vec<_> = (0..3).map(|_| connect(address)).collect();
    for stream in &mut busy {
        let half = format!("POST {REQUESTS_PATH} HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf");
        stream.write_all(half.as_bytes()).unwrap();
    }
    wait_for("three open connections", || open_connections(&handle) >= 3.0);
    // Gives the entry time to parse all three heads; connections without a head can be evicted.
    std::thread::sleep(Duration::from_millis(100));
    let refused = RawResponse::parse(&read_until_closed(&mut connect(address))).unwrap();
    assert_refused(&refused, 429, "overloaded");
    for stream in &mut busy {
        let response = RawResponse::parse(&read_until_closed(stream)).unwrap();
        assert_refused(&response, 408, "slow_sender");
    }
    drop(busy);
    wait_for("all connections to close", || open_connections(&handle) < 1.0);
    assert_eq!(request(address, "GET", "/healthz", b"").status, 200);
}

#[test]
fn idle_connection_is_evicted_for_a_new_one() {
    let handle = start_with_connections(3);
    let address = handle.caller_address();
    let mut idle: Vec<_> = (0..3).map(|_| connect(address)).collect();
    wait_for("three open connections", || open_connections(&handle) >= 3.0);
    assert_eq!(request(address, "GET", "/healthz", b"").status, 200);
    assert!(read_until_closed(&mut idle[0]).is_empty());
    let evicted = metric(&handle.metrics_text(), "magnoliapin_evicted_connections_total");
    assert_eq!(evicted, 1.0);
}

#[test]
fn idle_connection_is_closed_after_the_idle_timeout() {
    let mut options = options_without_platform();
    options.limits.idle_timeout = Duration::from_millis(200);
    let handle = EntryService::start(options).unwrap();
    let mut stream = connect(handle.caller_address());
    assert!(read_until_closed(&mut stream).is_empty());
}

#[test]
fn connection_is_closed_when_the_caller_does_not_read_responses() {
    let mut options = options_without_platform();
    options.limits.write_timeout = Duration::from_millis(300);
    let handle = EntryService::start(options).unwrap();
    let mut stream = connect(handle.caller_address());
    stream.write_all("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n".repeat(4_000).as_bytes()).unwrap();
    let open = || metric(&handle.metrics_text(), "magnoliapin_connections{border=\"caller\"}");
    wait_for("the connection to open", || open() >= 1.0);
    wait_for("the connection to close", || open() < 1.0);
    let answered = metric(&handle.metrics_text(), "magnoliapin_answers_total{kind=\"ok\"}");
    assert!(answered < 4_000.0, "the socket accepted every response");
}

#[test]
fn pipelined_requests_share_a_connection() {
    let handle = start();
    let get = "GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";
    let last = "GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let response = send_raw(handle.caller_address(), format!("{get}{get}{last}").as_bytes());
    let text = String::from_utf8(response).unwrap();
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 3, "{text}");
}

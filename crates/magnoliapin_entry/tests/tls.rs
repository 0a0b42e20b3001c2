//! TLS for callers: handshakes, their limits and certificate reload.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_entry::EntryHandle;
use magnoliapin_entry::EntryService;
use magnoliapin_entry::TlsFiles;
use support::connect;
use support::metric;
use support::options_without_platform;
use support::read_until_closed;
use support::tls::exchange;
use support::tls::replace_file;
use support::tls::TestCertificate;
use support::wait_for;
use support::TEST_TIMEOUT;

const HEALTH_REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n";
const FAILED_HANDSHAKES: &str = "magnoliapin_failed_handshakes_total";
const REFUSED_CERTIFICATES: &str = "magnoliapin_refused_certificates_total";

/// Starts an entry with a new certificate and a handshake timeout of 1 s.
fn start(test: &str) -> (EntryHandle, TestCertificate, TlsFiles) {
    start_with(test, 64, Duration::from_secs(1))
}

fn start_with(
    test: &str,
    connections: usize,
    timeout: Duration,
) -> (EntryHandle, TestCertificate, TlsFiles) {
    let certificate = TestCertificate::new();
    let files = TestCertificate::files(test);
    certificate.write(&files);
    let mut options = options_without_platform().with_tls(Some(files.clone()));
    options.limits.caller_connections = connections;
    options.limits.header_timeout = timeout;
    let handle = EntryService::start(options).expect("the entry starts");
    (handle, certificate, files)
}

fn is_served(handle: &EntryHandle, certificate: &TestCertificate) -> bool {
    certificate
        .open(handle.caller_address())
        .and_then(|mut session| exchange(&mut session, HEALTH_REQUEST))
        .is_some_and(|response| response.status == 200 && response.body == b"ok\n")
}

fn count(handle: &EntryHandle, name: &str) -> f64 {
    metric(&handle.metrics_text(), name)
}

/// Waits until the entry closes the connection; fails if that takes half of `TEST_TIMEOUT`.
fn assert_closed(stream: &mut TcpStream, since: Instant) {
    read_until_closed(stream);
    assert!(since.elapsed() < TEST_TIMEOUT / 2, "still open after {:?}", since.elapsed());
}

#[test]
fn session_serves_several_requests() {
    let (handle, certificate, _) = start("requests");
    let mut session = certificate.open(handle.caller_address()).expect("the handshake succeeds");
    for _ in 0..3 {
        let response = exchange(&mut session, HEALTH_REQUEST).expect("the request is answered");
        assert_eq!((response.status, response.body.as_slice()), (200, b"ok\n".as_slice()));
    }
    assert!(TestCertificate::new().open(handle.caller_address()).is_none());
}

#[test]
fn malformed_and_slow_headers_are_rejected_over_tls() {
    let (handle, certificate, _) = start("headers");
    for (bytes, kind) in [
        (b"GET / HTTP/1.1\r\nno colon here\r\n\r\n".as_slice(), "bad_request"),
        (b"GET / HTTP/1.1\r\nhost".as_slice(), "slow_sender"),
    ] {
        let mut session =
            certificate.open(handle.caller_address()).expect("the handshake succeeds");
        let response = exchange(&mut session, bytes).expect("the refusal arrives");
        assert_eq!(response.kind(), kind);
        // With a close_notify alert the read returns 0 instead of an error.
        assert_eq!(session.read(&mut [0; 16]).expect("the entry sends close_notify"), 0);
    }
}

#[test]
fn plain_text_connection_is_closed_without_a_response() {
    let (handle, certificate, _) = start("plain");
    let started_at = Instant::now();
    let mut stream = connect(handle.caller_address());
    stream.write_all(HEALTH_REQUEST).expect("the entry listens");
    let response = read_until_closed(&mut stream);
    assert!(started_at.elapsed() < TEST_TIMEOUT / 2);
    assert!(!response.starts_with(b"HTTP"), "{}", String::from_utf8_lossy(&response));
    wait_for("the counter", || count(&handle, FAILED_HANDSHAKES) == 1.0);
    assert!(is_served(&handle, &certificate));
}

#[test]
fn stalled_handshakes_time_out_and_do_not_block_other_callers() {
    let (handle, certificate, _) = start("stalled");
    let started_at = Instant::now();
    let mut stalled: Vec<TcpStream> = (0..32).map(|_| connect(handle.caller_address())).collect();
    for stream in stalled.iter_mut().skip(16) {
        // Start of a TLS record that carries a ClientHello.
        stream.write_all(&[0x16, 0x03, 0x01, 0x01, 0x00, 0x01]).expect("the entry listens");
    }
    for _ in 0..8 {
        assert!(is_served(&handle, &certificate));
    }
    for stream in &mut stalled {
        assert_closed(stream, started_at);
    }
    wait_for("the counter", || count(&handle, FAILED_HANDSHAKES) == 32.0);
}

#[test]
fn trickled_handshake_times_out() {
    let (handle, _, _) = start("trickled");
    let started_at = Instant::now();
    let mut stream = connect(handle.caller_address());
    stream.write_all(&[0x16, 0x03, 0x01, 0x10, 0x00]).expect("the entry listens");
    while stream.write_all(&[0x01]).is_ok() {
        assert!(started_at.elapsed() < TEST_TIMEOUT / 2, "the handshake is still open");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(count(&handle, FAILED_HANDSHAKES), 1.0);
}

#[test]
fn stalled_handshake_is_evicted_for_a_new_connection() {
    let (handle, certificate, _) = start_with("room", 4, Duration::from_secs(60));
    let stalled: Vec<TcpStream> = (0..4).map(|_| connect(handle.caller_address())).collect();
    wait_for("a free connection slot", || is_served(&handle, &certificate));
    drop(stalled);
}

#[test]
fn replaced_certificate_is_used_and_open_connections_stay_up() {
    let (handle, old, files) = start("replaced");
    let address = handle.caller_address();
    let mut session = old.open(address).expect("the handshake succeeds");
    assert!(exchange(&mut session, HEALTH_REQUEST).is_some());
    let new = TestCertificate::new();
    new.write(&files);
    wait_for("the new certificate", || is_served(&handle, &new));
    assert!(old.open(address).is_none());
    let response =
        exchange(&mut session, HEALTH_REQUEST).expect("the old connection is still open");
    assert_eq!(response.status, 200);
}

#[test]
fn invalid_new_certificate_keeps_the_old_one_and_is_counted_once() {
    let (handle, certificate, files) = start("bad");
    replace_file(&files.certificate, "no certificate");
    wait_for("the counter", || count(&handle, REFUSED_CERTIFICATES) == 1.0);
    // Long enough for two more checks of the files.
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(count(&handle, REFUSED_CERTIFICATES), 1.0);
    assert!(is_served(&handle, &certificate));
    let next = TestCertificate::new();
    next.write(&files);
    wait_for("the next certificate", || is_served(&handle, &next));
}

#[test]
fn entry_start_fails_without_its_certificate() {
    let files = TestCertificate::files("missing");
    let options = options_without_platform().with_tls(Some(files));
    assert!(EntryService::start(options).is_err());
}

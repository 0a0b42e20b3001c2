//! Starting, stopping and killing an entry.

mod support;

use std::net::TcpStream;

use magnoliapin_entry::EntryError;
use magnoliapin_entry::EntryService;
use support::metric;
use support::options_without_platform;
use support::request;
use support::wait_for;

#[test]
fn entry_without_a_platform_is_healthy_but_not_ready() {
    let handle = EntryService::start(options_without_platform()).unwrap();
    let address = handle.caller_address();
    assert_eq!(request(address, "GET", "/healthz", b"").status, 200);
    let ready = request(address, "GET", "/readyz", b"");
    assert_eq!((ready.status, ready.kind().as_str()), (503, "not_ready"));
    let refused = request(address, "POST", "/v1/queues/booking/requests", b"work");
    assert_eq!((refused.status, refused.kind().as_str()), (503, "not_ready"));
    assert!(refused.head.contains("x-magnoliapin-outcome: not_run"), "{}", refused.head);
    assert!(refused.head.contains("retry-after: "), "{}", refused.head);
}

#[test]
fn metrics_count_responses_and_ticks() {
    let handle = EntryService::start(options_without_platform()).unwrap();
    request(handle.caller_address(), "GET", "/healthz", b"");
    let response = request(handle.caller_address(), "GET", "/metrics", b"");
    let text = String::from_utf8(response.body).unwrap();
    assert!(metric(&text, "magnoliapin_answers_total{kind=\"ok\"}") >= 1.0, "{text}");
    wait_for("two ticks", || {
        metric(&handle.metrics_text(), "magnoliapin_events_total{event=\"tick\"}") >= 2.0
    });
}

#[test]
fn killed_entry_closes_its_sockets_immediately() {
    let handle = EntryService::start(options_without_platform()).unwrap();
    let address = handle.caller_address();
    let open = TcpStream::connect(address).unwrap();
    handle.kill();
    assert!(TcpStream::connect(address).is_err());
    smol::block_on(handle.finished());
    drop(open);
}

#[test]
fn address_in_use_is_reported() {
    let first = EntryService::start(options_without_platform()).unwrap();
    let mut options = options_without_platform();
    options.caller_listen = first.caller_address();
    let report = EntryService::start(options).unwrap_err();
    assert_eq!(*report.current_context(), EntryError::CallerListen(first.caller_address()));
}

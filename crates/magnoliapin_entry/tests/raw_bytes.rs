//! Random, mutated and truncated requests on the caller port get a response or a closed connection,
//! and never cause a panic.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_entry::EntryService;
use proptest::collection;
use proptest::num;
use proptest::prelude::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use support::connect;
use support::metric;
use support::options_without_platform;
use support::read_until_closed;
use support::request;

const VALID: &[u8] =
    b"POST /v1/queues/booking/jobs HTTP/1.1\r\nhost: a\r\nauthorization: Bearer k\r\n\
    idempotency-key: i\r\nconnection: close\r\ncontent-length: 4\r\n\r\nwork";

/// Upper bound of an exchange; exceeds the sum of the header, body and linger timeouts.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

fn config(seed: u64, cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}

/// Sends bytes, shuts down the write side and waits until the entry closes the connection.
fn exchange(address: SocketAddr, bytes: &[u8]) {
    let started = Instant::now();
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    read_until_closed(&mut stream);
    assert!(started.elapsed() < EXCHANGE_TIMEOUT, "{:?} for {bytes:?}", started.elapsed());
}

fn run_exchanges(seed: u64, cases: u32, bytes: impl Strategy<Value = Vec<u8>>) {
    let handle = EntryService::start(options_without_platform()).expect("the entry starts");
    let address = handle.caller_address();
    TestRunner::new(config(seed, cases))
        .run(&bytes, |bytes| {
            exchange(address, &bytes);
            Ok(())
        })
        .expect("every exchange ends in time");
    assert_eq!(request(address, "GET", "/healthz", b"").status, 200);
    assert_eq!(metric(&handle.metrics_text(), "magnoliapin_restarts_total"), 0.0);
}

#[test]
fn random_bytes_get_a_response_or_a_closed_connection() {
    run_exchanges(21, 300, collection::vec(num::u8::ANY, 0..500));
}

#[test]
fn mutated_requests_get_a_response_or_a_closed_connection() {
    let mutations = collection::vec((0..VALID.len(), num::u8::ANY), 1..6);
    let mutated = mutations.prop_map(|mutations| {
        let mut bytes = VALID.to_vec();
        for (position, byte) in mutations {
            bytes[position] = byte;
        }
        bytes
    });
    run_exchanges(22, 400, mutated);
}

#[test]
fn truncated_requests_get_a_response_or_a_closed_connection() {
    let truncated = (0..VALID.len()).prop_map(|length| VALID[..length].to_vec());
    run_exchanges(23, 200, truncated);
}

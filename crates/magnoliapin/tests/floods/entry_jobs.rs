//! Runs an entry against clients whose requests are complete, and against datagrams that no entry sent.

use std::net::SocketAddr;
use std::net::UdpSocket;

use crate::accepted_jobs::send_crowd;
use crate::accepted_jobs::CrowdRequest;
use crate::floods_support::free_address;
use crate::floods_support::status;
use crate::lock;
use crate::start_entry;
use crate::support::site::wait_for;
use crate::support::site::TestSite;
use crate::support::site::GUIDE_KEY;
use crate::ANY_PORT;
use crate::ENTRY_MACHINE;

/// Size of the inputs, under the limit of the queues.
const INPUT_BYTES: usize = 60_000;
/// Number of clients, each of which sends several jobs.
const CLIENTS: usize = 8;
/// Jobs of each client; all of them together are fewer than may wait in a queue.
const JOBS_PER_CLIENT: usize = 120;
/// Number of clients that send at the same time.
const WIDE_CROWD: usize = 300;
/// Number and size of the datagrams.
const DATAGRAMS: usize = 20_000;
const DATAGRAM_BYTES: usize = 1_400;

fn request(path: &'static str, key: &str) -> impl Fn(&str) -> CrowdRequest + Send + Clone {
    let headers = format!("authorization: Bearer {key}\r\n");
    move |job| {
        let mut body = job.to_owned();
        body.extend(std::iter::repeat_n('x', INPUT_BYTES - job.len()));
        CrowdRequest { path: path.to_owned(), headers: headers.clone(), input: String::new(), body }
    }
}

/// Returns whether the entry answers an ordinary request for its state.
fn answers(address: SocketAddr) -> bool {
    status(address, b"GET /readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").is_some()
}

fn check(site: &TestSite) {
    let address = site.entries[0].address;
    wait_for("the entry answers", || answers(address));
    ENTRY_MACHINE.check(site.entries[0].process_id());
}

/// Guards against inputs of accepted jobs that wait and fill the memory.
#[test]
fn an_entry_survives_jobs_that_wait() {
    let _guard = lock();
    let site = start_entry("entry-jobs", &[], ANY_PORT);
    let address = site.entries[0].address;
    let crowd = send_crowd(
        address,
        CLIENTS,
        JOBS_PER_CLIENT,
        request("/v1/queues/rosters/jobs", GUIDE_KEY),
    );
    assert!(!crowd.accepted.is_empty());
    assert_eq!(crowd.hasty_refusals, 0, "refusals for load without a delay");
    check(&site);
}

/// Guards against complete requests that wait for their outcome and fill the memory.
#[test]
fn an_entry_survives_complete_requests_that_wait() {
    let _guard = lock();
    let site = start_entry("entry-waits", &[], ANY_PORT);
    let address = site.entries[0].address;
    send_crowd(address, WIDE_CROWD, 2, request("/v1/queues/booking/requests", GUIDE_KEY));
    check(&site);
}

/// Guards against complete bodies of clients without a valid key.
#[test]
fn an_entry_survives_complete_bodies_with_unknown_keys() {
    let _guard = lock();
    let site = start_entry("entry-strangers", &[], ANY_PORT);
    let address = site.entries[0].address;
    let crowd = send_crowd(address, WIDE_CROWD, 4, request("/v1/queues/rosters/jobs", "nobody"));
    assert!(crowd.accepted.is_empty());
    check(&site);
}

/// Guards against datagrams that queue up, or that are taken for those of another entry.
#[test]
fn an_entry_survives_datagrams_of_strangers() {
    let _guard = lock();
    let peers = free_address();
    let site = start_entry("entry-datagrams", &[], peers);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let datagram = vec![7; DATAGRAM_BYTES];
    for number in 0..DATAGRAMS {
        // Datagrams that the kernel drops are no fault.
        let _ = socket.send_to(&datagram[..number % DATAGRAM_BYTES], peers);
    }
    check(&site);
}

//! Machines that panic or are taken for lost, and callers that hang up.

mod support;

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use magnoliapin_entry::CallFuture;
use magnoliapin_entry::EntryBorders;
use magnoliapin_entry::EntryHandle;
use magnoliapin_entry::PeerTransport;
use magnoliapin_entry::UdpTransport;
use magnoliapin_model::ClientToken;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::TableTransaction;
use support::connect;
use support::metric;
use support::request;
use support::request_with;
use support::site::TestSite;
use support::site::GUIDES;
use support::wait_for;

const RUN_PATH: &str = "/v1/queues/booking/requests";

/// Panics once when it is told to.
#[derive(Debug)]
struct FaultyTransport {
    inner: UdpTransport,
    panics: AtomicBool,
}

impl PeerTransport for FaultyTransport {
    fn local_address(&self) -> SocketAddr {
        self.inner.local_address()
    }

    fn send<'a>(
        &'a self,
        address: SocketAddr,
        datagram: &'a [u8],
    ) -> CallFuture<'a, io::Result<()>> {
        assert!(!self.panics.swap(false, Ordering::SeqCst), "the test makes the driver panic");
        self.inner.send(address, datagram)
    }

    fn receive<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> CallFuture<'a, io::Result<(usize, SocketAddr)>> {
        self.inner.receive(buffer)
    }
}

fn event_count(handle: &EntryHandle, event: &str) -> f64 {
    let name = format!("magnoliapin_events_total{{event=\"{event}\"}}");
    metric(&handle.metrics_text(), &name)
}

fn first_starts(handle: &EntryHandle) -> f64 {
    metric(&handle.metrics_text(), "magnoliapin_policy_count{count=\"first_starts\"}")
}

fn assert_serves(site: &TestSite, entry: usize) {
    wait_for("an answer of the new machine", || {
        request_with(site.address(entry), "POST", RUN_PATH, GUIDES, b"again").status == 200
    });
}

#[test]
fn a_driver_that_panics_starts_over_and_its_callers_are_told() {
    let transport = Arc::new(FaultyTransport {
        inner: UdpTransport::bind("127.0.0.1:0".parse().unwrap()).unwrap(),
        panics: AtomicBool::new(false),
    });
    let mut site = TestSite::start(&["zone-a"], &["zone-a"]);
    let peers: Arc<dyn PeerTransport> = Arc::<FaultyTransport>::clone(&transport);
    site.start_entry_with("zone-a", EntryBorders { peers: Some(peers), ..EntryBorders::default() });
    wait_for("a ready entry", || site.entries[1].is_ready());
    let first = site.entries[1].entry();
    let address = site.address(1);
    std::thread::scope(|scope| {
        let caller = scope
            .spawn(move || request_with(address, "POST", RUN_PATH, GUIDES, b"{\"run_ms\":2000}"));
        wait_for("the start of the work", || first_starts(&site.entries[1]) >= 1.0);
        transport.panics.store(true, Ordering::SeqCst);
        let answer = caller.join().unwrap();
        assert_eq!((answer.status, answer.kind().as_str()), (504, "outcome_unknown"));
        assert_eq!(answer.json()["outcome"], "unknown");
    });
    wait_for("a new identifier", || site.entries[1].entry() != first);
    let text = site.entries[1].metrics_text();
    assert_eq!(metric(&text, "magnoliapin_restarts_total{child=\"driver\"}"), 1.0);
    assert_serves(&site, 1);
}

#[test]
fn an_entry_that_was_taken_for_lost_starts_over() {
    let site = TestSite::start(&["zone-a"], &["zone-a"]);
    let first = site.entries[0].entry();
    let write = RowWrite { key: format!("entry/{first}"), value: None };
    let transaction =
        TableTransaction { token: ClientToken(1), guards: Vec::new(), writes: vec![write] };
    let body = serde_json::to_vec(&transaction).unwrap();
    let platform = site.platform.address();
    assert_eq!(request(platform, "POST", "/v1/table/transactions", &body).status, 200);
    wait_for("a new identifier", || site.entries[0].entry() != first);
    let machines = metric(&site.entries[0].metrics_text(), "magnoliapin_machines_total");
    assert_eq!(machines, 2.0);
    assert_serves(&site, 0);
}

#[test]
fn a_caller_that_hangs_up_is_noticed() {
    let site = TestSite::start(&["zone-a"], &["zone-a"]);
    let body = b"{\"run_ms\":2000}";
    let head =
        format!("POST {RUN_PATH} HTTP/1.1\r\n{GUIDES}content-length: {}\r\n\r\n", body.len());
    let before = event_count(&site.entries[0], "caller");
    let mut stream = connect(site.address(0));
    stream.write_all(&[head.as_bytes(), body].concat()).unwrap();
    wait_for("the request", || event_count(&site.entries[0], "caller") > before);
    drop(stream);
    wait_for("the hang-up", || event_count(&site.entries[0], "caller_gone") >= 1.0);
    assert_serves(&site, 0);
}

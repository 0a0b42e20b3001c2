//! Restarts of the state machine after a panic or after the entry is declared lost, and callers
//! that disconnect.

mod support;

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use magnoliapin_entry::CallFuture;
use magnoliapin_entry::EntryDependencies;
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
use support::site::GUIDES_AUTH;
use support::wait_for;

const REQUESTS_PATH: &str = "/v1/queues/booking/requests";

/// UDP transport whose next send panics once `panics` is set.
#[derive(Debug)]
struct PanickingTransport {
    inner: UdpTransport,
    panics: AtomicBool,
}

impl PeerTransport for PanickingTransport {
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
    wait_for("a response of the new state machine", || {
        request_with(site.address(entry), "POST", REQUESTS_PATH, GUIDES_AUTH, b"again").status
            == 200
    });
}

#[test]
fn panicked_driver_restarts_and_its_callers_get_outcome_unknown() {
    let transport = Arc::new(PanickingTransport {
        inner: UdpTransport::bind("127.0.0.1:0".parse().unwrap()).unwrap(),
        panics: AtomicBool::new(false),
    });
    let mut site = TestSite::start(&["zone-a"], &["zone-a"]);
    let peers: Arc<dyn PeerTransport> = Arc::<PanickingTransport>::clone(&transport);
    site.start_entry_with(
        "zone-a",
        EntryDependencies { peers: Some(peers), ..EntryDependencies::default() },
    );
    wait_for("a ready entry", || site.entries[1].is_ready());
    let first = site.entries[1].entry();
    let address = site.address(1);
    std::thread::scope(|scope| {
        let caller = scope.spawn(move || {
            request_with(address, "POST", REQUESTS_PATH, GUIDES_AUTH, b"{\"run_ms\":2000}")
        });
        wait_for("the first start of the request", || first_starts(&site.entries[1]) >= 1.0);
        transport.panics.store(true, Ordering::SeqCst);
        let response = caller.join().unwrap();
        assert_eq!((response.status, response.kind().as_str()), (504, "outcome_unknown"));
        assert_eq!(response.json()["outcome"], "unknown");
    });
    wait_for("a new identifier", || site.entries[1].entry() != first);
    let text = site.entries[1].metrics_text();
    assert_eq!(metric(&text, "magnoliapin_restarts_total{child=\"driver\"}"), 1.0);
    assert_serves(&site, 1);
}

#[test]
fn entry_declared_lost_restarts_with_a_new_identifier() {
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
fn caller_disconnect_is_detected() {
    let site = TestSite::start(&["zone-a"], &["zone-a"]);
    let body = b"{\"run_ms\":2000}";
    let head = format!(
        "POST {REQUESTS_PATH} HTTP/1.1\r\n{GUIDES_AUTH}content-length: {}\r\n\r\n",
        body.len()
    );
    let before = event_count(&site.entries[0], "caller");
    let mut stream = connect(site.address(0));
    stream.write_all(&[head.as_bytes(), body].concat()).unwrap();
    wait_for("the request", || event_count(&site.entries[0], "caller") > before);
    drop(stream);
    wait_for("the disconnect event", || event_count(&site.entries[0], "caller_gone") >= 1.0);
    assert_serves(&site, 0);
}

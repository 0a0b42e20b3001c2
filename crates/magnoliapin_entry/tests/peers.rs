//! Peer datagrams that an entry must drop: replayed, misdirected, unauthenticated and malformed.

mod support;

use std::cell::Cell;
use std::net::UdpSocket;

use magnoliapin_entry::EntryHandle;
use magnoliapin_entry::EntryService;
use magnoliapin_model::EntryId;
use magnoliapin_model::TeamId;
use magnoliapin_wire::HybridStamp;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::PeerEnvelope;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::MAX_DATAGRAM_BYTES;
use proptest::collection;
use proptest::num;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use support::metric;
use support::options_without_platform;
use support::wait_for;

struct PeerFixture {
    handle: EntryHandle,
    socket: UdpSocket,
}

impl PeerFixture {
    fn start() -> Self {
        let handle = EntryService::start(options_without_platform()).expect("the entry starts");
        wait_for("the first state machine", || handle.entry() != EntryId(0));
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
        Self { handle, socket }
    }

    fn send(&self, datagram: &[u8]) {
        self.socket.send_to(datagram, self.handle.peer_address()).expect("the datagram is sent");
    }

    fn send_message(&self, key: &[u8], sequence: u64, to: Option<EntryId>) {
        let message = PeerMessage::SliceMoved(TeamId::new("guides").expect("a valid name"));
        let stamp = HybridStamp::default();
        let envelope = PeerEnvelope { from: EntryId(99), to, sequence, stamp, message };
        self.send(&PeerCodec::new(key).encode(&envelope).expect("the envelope fits a datagram"));
    }

    fn count(&self, fate: &str) -> f64 {
        let name = format!("magnoliapin_datagrams_total{{fate=\"{fate}\"}}");
        metric(&self.handle.metrics_text(), &name)
    }
}

const PEER_KEY: &[u8] = b"key of the tests";

#[test]
fn replayed_datagrams_are_dropped() {
    let fixture = PeerFixture::start();
    for sequence in [5, 5, 4, 6] {
        fixture.send_message(PEER_KEY, sequence, Some(fixture.handle.entry()));
    }
    wait_for("four datagrams", || fixture.count("received") + fixture.count("replayed") >= 4.0);
    assert_eq!((fixture.count("received"), fixture.count("replayed")), (2.0, 2.0));
}

#[test]
fn misdirected_and_unauthenticated_datagrams_are_dropped() {
    let fixture = PeerFixture::start();
    fixture.send_message(b"another key", 1, None);
    fixture.send_message(PEER_KEY, 2, Some(EntryId(12345)));
    fixture.send(&vec![0; MAX_DATAGRAM_BYTES + 10]);
    fixture.send(b"");
    wait_for("four datagrams", || fixture.count("foreign") + fixture.count("misdirected") >= 4.0);
    assert_eq!((fixture.count("foreign"), fixture.count("misdirected")), (3.0, 1.0));
    assert_eq!(fixture.count("received"), 0.0);
}

#[test]
fn random_datagrams_are_dropped_and_the_next_valid_one_is_accepted() {
    let fixture = PeerFixture::start();
    let config = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let bytes = collection::vec(num::u8::ANY, 0..600);
    let sent = Cell::new(0.0);
    TestRunner::new(config)
        .run(&bytes, |bytes| {
            fixture.send(&bytes);
            sent.set(sent.get() + 1.0);
            // Loopback drops datagrams once the receive buffer is full, so send one at a time.
            wait_for("the datagram to be dropped", || fixture.count("foreign") >= sent.get());
            Ok(())
        })
        .unwrap();
    fixture.send_message(PEER_KEY, 1, None);
    wait_for("the valid datagram", || fixture.count("received") >= 1.0);
}

//! Datagrams that an entry must drop.

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

struct PeerProbe {
    handle: EntryHandle,
    socket: UdpSocket,
}

impl PeerProbe {
    fn start() -> Self {
        let handle =
            EntryService::start(options_without_platform()).expect("the test can set this up");
        wait_for("the first machine", || handle.entry() != EntryId(0));
        let socket = UdpSocket::bind("127.0.0.1:0").expect("the test can set this up");
        Self { handle, socket }
    }

    fn send(&self, datagram: &[u8]) {
        self.socket
            .send_to(datagram, self.handle.peer_address())
            .expect("the test can set this up");
    }

    fn send_message(&self, key: &[u8], sequence: u64, to: Option<EntryId>) {
        let message =
            PeerMessage::PartMoved(TeamId::new("guides").expect("the test can set this up"));
        let stamp = HybridStamp::default();
        let envelope = PeerEnvelope { from: EntryId(99), to, sequence, stamp, message };
        self.send(&PeerCodec::new(key).encode(&envelope).expect("the test can set this up"));
    }

    fn count(&self, fate: &str) -> f64 {
        let name = format!("magnoliapin_datagrams_total{{fate=\"{fate}\"}}");
        metric(&self.handle.metrics_text(), &name)
    }
}

const KEY: &[u8] = b"key of the tests";

#[test]
fn a_datagram_of_a_peer_is_taken_once() {
    let probe = PeerProbe::start();
    for sequence in [5, 5, 4, 6] {
        probe.send_message(KEY, sequence, Some(probe.handle.entry()));
    }
    wait_for("four datagrams", || probe.count("received") + probe.count("replayed") >= 4.0);
    assert_eq!((probe.count("received"), probe.count("replayed")), (2.0, 2.0));
}

#[test]
fn datagrams_for_others_and_with_other_keys_are_dropped() {
    let probe = PeerProbe::start();
    probe.send_message(b"another key", 1, None);
    probe.send_message(KEY, 2, Some(EntryId(12345)));
    probe.send(&vec![0; MAX_DATAGRAM_BYTES + 10]);
    probe.send(b"");
    wait_for("four datagrams", || probe.count("foreign") + probe.count("misdirected") >= 4.0);
    assert_eq!((probe.count("foreign"), probe.count("misdirected")), (3.0, 1.0));
    assert_eq!(probe.count("received"), 0.0);
}

#[test]
fn random_datagrams_are_dropped_and_the_next_good_one_is_taken() {
    let probe = PeerProbe::start();
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
            probe.send(&bytes);
            sent.set(sent.get() + 1.0);
            // Loopback drops datagrams once the receiver's buffer is full.
            wait_for("the drop", || probe.count("foreign") >= sent.get());
            Ok(())
        })
        .unwrap();
    probe.send_message(KEY, 1, None);
    wait_for("the good datagram", || probe.count("received") >= 1.0);
}

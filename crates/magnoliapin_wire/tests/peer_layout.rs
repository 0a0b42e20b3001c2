//! Golden files of the bytes of each message between entries.
//!
//! A change here is a change of the protocol: entries of the two releases no longer understand
//! each other.

use std::fmt::Write;
use std::net::SocketAddr;

use indexmap::IndexMap;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::rows::ConfigHead;
use magnoliapin_wire::rows::SectionChange;
use magnoliapin_wire::CodecError;
use magnoliapin_wire::ConfigNews;
use magnoliapin_wire::EntryFacts;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::HybridStamp;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::PeerEnvelope;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::TeamUsage;
use magnoliapin_wire::MAX_DATAGRAM_BYTES;

const TAG_BYTES: usize = 16;

fn facts() -> EntryFacts {
    EntryFacts {
        zone: ZoneId::new("z1").expect("a name"),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7001)),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 7002)),
        state: EntryState::Ready,
        config: ConfigVersion(300),
        head_age_us: Some(5),
        apply_in_flight: true,
        member_count: 9,
        usage: vec![usage("guides")],
    }
}

fn usage(team: &str) -> TeamUsage {
    let team = TeamId::new(team).expect("a name");
    TeamUsage { team, running: 1, waiting: 2, part: 3 }
}

fn news() -> ConfigNews {
    let section = SectionName::Maintenance;
    let version = ConfigVersion(8);
    ConfigNews {
        since: ConfigVersion(7),
        head: ConfigHead { version, recent: vec![SectionChange { version, section }] },
        head_row: RowVersion(5),
        sections: IndexMap::from([(section, Some("paused = true\n".to_owned()))]),
    }
}

fn messages() -> Vec<(&'static str, PeerMessage)> {
    let stamp = Moment(1_000);
    vec![
        ("probe", PeerMessage::Probe { stamp, facts: facts() }),
        ("reply", PeerMessage::Reply { stamp, facts: facts() }),
        ("target leaving", PeerMessage::TargetLeaving(InstanceId::new("i-1").expect("a name"))),
        ("part moved", PeerMessage::PartMoved(TeamId::new("guides").expect("a name"))),
        ("ask config", PeerMessage::AskConfig { known: ConfigVersion(7) }),
        ("tell config", PeerMessage::TellConfig(news())),
    ]
}

fn envelope(message: PeerMessage) -> PeerEnvelope {
    let stamp = HybridStamp { wall_us: 2_000, count: 6 };
    PeerEnvelope { from: EntryId(0xff), to: Some(EntryId(1)), sequence: 4, stamp, message }
}

#[test]
fn the_bytes_of_each_message_stay_as_they_are() {
    let codec = PeerCodec::new(b"site key");
    let mut layout = String::new();
    for (name, message) in messages() {
        let envelope = envelope(message);
        let datagram = codec.encode(&envelope).unwrap();
        assert_eq!(codec.decode(&datagram), Ok(envelope));
        let (tag, body) = datagram.split_at(TAG_BYTES);
        writeln!(layout, "# {name}\n{}\n{}", hex::encode(tag), hex::encode(body)).unwrap();
    }
    insta::assert_snapshot!(layout);
}

#[test]
fn every_message_has_its_golden_bytes() {
    for (_, message) in messages() {
        // A new variant must be added above; the compiler says so here.
        match message {
            PeerMessage::Probe { .. }
            | PeerMessage::Reply { .. }
            | PeerMessage::TargetLeaving(_)
            | PeerMessage::PartMoved(_)
            | PeerMessage::AskConfig { .. }
            | PeerMessage::TellConfig(_) => {}
        }
    }
}

#[test]
fn a_datagram_that_was_cut_or_changed_is_dropped() {
    let codec = PeerCodec::new(b"site key");
    for (name, message) in messages() {
        let datagram = codec.encode(&envelope(message)).unwrap();
        for length in 0..datagram.len() {
            assert!(codec.decode(&datagram[..length]).is_err(), "{name} cut to {length}");
        }
        for place in 0..datagram.len() {
            let mut changed = datagram.clone();
            changed[place] ^= 1;
            assert_eq!(codec.decode(&changed), Err(CodecError::BadTag), "{name} at {place}");
        }
        assert_eq!(PeerCodec::new(b"other key").decode(&datagram), Err(CodecError::BadTag));
    }
}

#[test]
fn a_datagram_has_a_bounded_length() {
    let codec = PeerCodec::new(b"site key");
    let usage = vec![usage("a-team-with-a-name-of-forty-characters--"); 400];
    let facts = EntryFacts { usage, ..facts() };
    let long = envelope(PeerMessage::Probe { stamp: Moment(0), facts });
    assert_eq!(codec.encode(&long), Err(CodecError::TooLong));
    let datagram = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(codec.decode(&datagram), Err(CodecError::TooLong));
}

//! Snapshots of the encoded bytes of each message between entries.
//!
//! A changed snapshot is a protocol change: entries of the old and the new release cannot
//! communicate.

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
use magnoliapin_wire::ConfigUpdate;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryStatus;
use magnoliapin_wire::HybridStamp;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::PeerEnvelope;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::TeamUsage;
use magnoliapin_wire::MAX_DATAGRAM_BYTES;

const TAG_BYTES: usize = 16;

fn entry_status() -> EntryStatus {
    EntryStatus {
        zone: ZoneId::new("z1").expect("valid name"),
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
    let team = TeamId::new(team).expect("valid name");
    TeamUsage { team, running: 1, waiting: 2, slice: 3 }
}

fn config_update() -> ConfigUpdate {
    let section = SectionName::Maintenance;
    let version = ConfigVersion(8);
    ConfigUpdate {
        since: ConfigVersion(7),
        head: ConfigHead { version, recent: vec![SectionChange { version, section }] },
        head_row: RowVersion(5),
        sections: IndexMap::from([(section, Some("paused = true\n".to_owned()))]),
    }
}

fn messages() -> Vec<(&'static str, PeerMessage)> {
    let stamp = Moment(1_000);
    vec![
        ("probe", PeerMessage::Heartbeat { stamp, status: entry_status() }),
        ("reply", PeerMessage::HeartbeatReply { stamp, status: entry_status() }),
        ("target leaving", PeerMessage::TargetLeaving(InstanceId::new("i-1").expect("valid name"))),
        ("part moved", PeerMessage::SliceMoved(TeamId::new("guides").expect("valid name"))),
        ("ask config", PeerMessage::RequestConfig { known: ConfigVersion(7) }),
        ("tell config", PeerMessage::SendConfig(config_update())),
    ]
}

fn envelope(message: PeerMessage) -> PeerEnvelope {
    let stamp = HybridStamp { wall_us: 2_000, count: 6 };
    PeerEnvelope { from: EntryId(0xff), to: Some(EntryId(1)), sequence: 4, stamp, message }
}

#[test]
fn encoded_bytes_of_each_message_are_stable() {
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
fn snapshot_covers_every_message() {
    for (_, message) in messages() {
        // Fails to compile if a variant is added, as a reminder to add it to `messages`.
        match message {
            PeerMessage::Heartbeat { .. }
            | PeerMessage::HeartbeatReply { .. }
            | PeerMessage::TargetLeaving(_)
            | PeerMessage::SliceMoved(_)
            | PeerMessage::RequestConfig { .. }
            | PeerMessage::SendConfig(_) => {}
        }
    }
}

#[test]
fn truncated_and_modified_datagrams_are_rejected() {
    let codec = PeerCodec::new(b"site key");
    for (name, message) in messages() {
        let datagram = codec.encode(&envelope(message)).unwrap();
        for length in 0..datagram.len() {
            assert!(codec.decode(&datagram[..length]).is_err(), "{name} cut to {length}");
        }
        for position in 0..datagram.len() {
            let mut changed = datagram.clone();
            changed[position] ^= 1;
            assert_eq!(codec.decode(&changed), Err(CodecError::BadTag), "{name} at {position}");
        }
        assert_eq!(PeerCodec::new(b"other key").decode(&datagram), Err(CodecError::BadTag));
    }
}

#[test]
fn datagram_length_is_limited() {
    let codec = PeerCodec::new(b"site key");
    let usage = vec![usage("a-team-with-a-name-of-forty-characters--"); 400];
    let status = EntryStatus { usage, ..entry_status() };
    let oversized = envelope(PeerMessage::Heartbeat { stamp: Moment(0), status });
    assert_eq!(codec.encode(&oversized), Err(CodecError::TooLong));
    let datagram = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(codec.decode(&datagram), Err(CodecError::TooLong));
}

//! Property tests: round trips of generated messages, and arbitrary bytes for every decoder.

use std::net::SocketAddr;

use hmac::Hmac;
use hmac::Mac;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::TeamId;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::rows;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CodecError;
use magnoliapin_wire::ConfigChange;
use magnoliapin_wire::EntryFence;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryStatus;
use magnoliapin_wire::EntryTasks;
use magnoliapin_wire::HybridStamp;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::LeaseGrant;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::PeerEnvelope;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TaskReply;
use magnoliapin_wire::TeamUsage;
use magnoliapin_wire::TransactionResult;
use magnoliapin_wire::MAX_DATAGRAM_BYTES;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::any;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use serde::de::DeserializeOwned;
use serde::Serialize;
use sha2::Sha256;

const SITE_KEY: &[u8] = b"site key";
const TAG_BYTES: usize = 16;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = String> {
    "[a-z0-9_.-]{1,40}"
}

fn address() -> impl Strategy<Value = SocketAddr> {
    prop_oneof![
        any::<([u8; 4], u16)>().prop_map(SocketAddr::from),
        any::<([u16; 8], u16)>().prop_map(SocketAddr::from),
    ]
}

fn usage() -> impl Strategy<Value = TeamUsage> {
    (name(), any::<u32>(), any::<u32>(), any::<u32>()).prop_map(
        |(team, running, waiting, slice)| TeamUsage {
            team: TeamId::new(&team).expect("valid name"),
            running,
            waiting,
            slice,
        },
    )
}

fn entry_status() -> impl Strategy<Value = EntryStatus> {
    let states = prop_oneof![
        Just(EntryState::Starting),
        Just(EntryState::Ready),
        Just(EntryState::Stopping)
    ];
    let identity = (name(), address(), address(), states);
    let config = (any::<u64>(), option::of(any::<u64>()), any::<bool>(), any::<u32>());
    (identity, config, vec(usage(), 0..20)).prop_map(|(identity, config, usage)| EntryStatus {
        zone: ZoneId::new(&identity.0).expect("valid name"),
        peer_address: identity.1,
        caller_address: identity.2,
        state: identity.3,
        config: ConfigVersion(config.0),
        head_age_us: config.1,
        apply_in_flight: config.2,
        member_count: config.3,
        usage,
    })
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let instance = name().prop_map(|name| InstanceId::new(&name).expect("valid name"));
    let team = name().prop_map(|name| TeamId::new(&name).expect("valid name"));
    let heartbeat = (any::<u64>(), entry_status());
    let reply = (any::<u64>(), entry_status());
    prop_oneof![
        heartbeat
            .prop_map(|(stamp, status)| PeerMessage::Heartbeat { stamp: Moment(stamp), status }),
        reply.prop_map(|(stamp, status)| PeerMessage::HeartbeatReply {
            stamp: Moment(stamp),
            status
        }),
        instance.prop_map(PeerMessage::TargetLeaving),
        team.prop_map(PeerMessage::SliceMoved),
    ]
}

fn envelope() -> impl Strategy<Value = PeerEnvelope> {
    let to = option::of(any::<u64>().prop_map(EntryId));
    let stamp = (any::<u64>(), any::<u32>());
    let stamp = stamp.prop_map(|(wall_us, count)| HybridStamp { wall_us, count });
    (any::<u64>(), to, any::<u64>(), stamp, message()).prop_map(
        |(from, to, sequence, stamp, message)| PeerEnvelope {
            from: EntryId(from),
            to,
            sequence,
            stamp,
            message,
        },
    )
}

/// Encodes a datagram with a valid tag for an arbitrary body.
fn signed(body: &[u8]) -> Vec<u8> {
    let mac = Hmac::<Sha256>::new_from_slice(SITE_KEY).expect("HMAC accepts keys of any length");
    let tag = mac.chain_update(body).finalize().into_bytes();
    [&tag[..TAG_BYTES], body].concat()
}

/// Returns whether the JSON parses as `T`; checks that the parsed value round-trips.
fn accepts_json<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> bool {
    let Ok(value) = serde_json::from_slice::<T>(bytes) else {
        return false;
    };
    let written = serde_json::to_string(&value).expect("messages serialize to JSON");
    let parsed = serde_json::from_str::<T>(&written).expect("serialized messages parse");
    assert_eq!(serde_json::to_string(&parsed).expect("messages serialize to JSON"), written);
    true
}

fn accepts_row<T: RowValue>(bytes: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return false;
    };
    T::from_json(text).is_ok_and(|row| accepts_json::<T>(row.to_json().as_bytes()))
}

struct JsonFormat {
    name: &'static str,
    accepts: fn(&[u8]) -> bool,
    sample: &'static str,
}

/// Every JSON message and row, with a valid sample.
const JSON_FORMATS: &[JsonFormat] = &[
    JsonFormat {
        name: "transaction",
        accepts: accepts_json::<TableTransaction>,
        sample: r#"{"token":"000000000000000000000000000000ff","guards":[{"key":"a","version":1}],"writes":[{"key":"a","value":"x"},{"key":"b","value":null}]}"#,
    },
    JsonFormat {
        name: "transaction result",
        accepts: accepts_json::<TransactionResult>,
        sample: r#"{"conflict":[{"key":"a","version":1,"value":"x"}]}"#,
    },
    JsonFormat {
        name: "read",
        accepts: accepts_json::<TableRead>,
        sample: r#"{"prefix":{"prefix":"job/","after":"","limit":100}}"#,
    },
    JsonFormat {
        name: "rows",
        accepts: accepts_json::<Vec<TableRow>>,
        sample: r#"[{"key":"a","version":1,"value":"x"}]"#,
    },
    JsonFormat {
        name: "instances",
        accepts: accepts_json::<Vec<InstanceRecord>>,
        sample: r#"[{"instance":"i-1","zone":"z1","rack":"r1","pool":"front","address":"127.0.0.1:80","run":"00000000000000ff","slots":8,"image":"a","state":"live"}]"#,
    },
    JsonFormat {
        name: "order",
        accepts: accepts_json::<InstanceOrder>,
        sample: r#"{"run":"00000000000000ff","epoch":3,"act":{"reboot":{"image":"a"}}}"#,
    },
    JsonFormat {
        name: "start of a task",
        accepts: accepts_json::<StartTask>,
        sample: r#"{"task":"000000000000000000000000000000ff-1","entry":"00000000000000ff","run":"00000000000000ff","team":"guides","queue":"booking","lease_ms":1,"max_run_ms":2,"payload":"aGk="}"#,
    },
    JsonFormat {
        name: "reply of a task",
        accepts: accepts_json::<TaskReply>,
        sample: r#"{"task":"000000000000000000000000000000ff-1","run":"00000000000000ff","state":{"refused":"full"},"output":"aGk=","output_bytes":2,"free_slots":8}"#,
    },
    JsonFormat {
        name: "tasks of an entry",
        accepts: accepts_json::<EntryTasks>,
        sample: r#"{"run":"00000000000000ff","leaving":false,"free_slots":8,"tasks":[]}"#,
    },
    JsonFormat {
        name: "lease",
        accepts: accepts_json::<LeaseGrant>,
        sample: r#"{"lease_ms":15000}"#,
    },
    JsonFormat {
        name: "fence",
        accepts: accepts_json::<EntryFence>,
        sample: r#"{"heir":"00000000000000ff","lease_ms":15000}"#,
    },
    JsonFormat {
        name: "change of the configuration",
        accepts: accepts_json::<ConfigChange>,
        sample: r#"{"base":7,"sections":{"teams.guides":"limit = 4","weights":null},"whole":false}"#,
    },
    JsonFormat {
        name: "answer",
        accepts: accepts_json::<CallerAnswer>,
        sample: r#"{"answer":"refused","kind":"conflict","outcome":"not_run","message":"m","errors":[],"current":{"teams.guides":null}}"#,
    },
    JsonFormat {
        name: "config head",
        accepts: accepts_row::<rows::ConfigHead>,
        sample: r#"{"version":7,"recent":[{"version":7,"section":"teams.guides"}]}"#,
    },
    JsonFormat {
        name: "section",
        accepts: accepts_row::<rows::SectionRow>,
        sample: r#"{"owner":"guides","version":7,"text":"limit = 4"}"#,
    },
    JsonFormat {
        name: "entry",
        accepts: accepts_row::<rows::EntryRow>,
        sample: r#"{"zone":"z1","caller_address":"127.0.0.1:80","peer_address":"[::1]:81","renewals":2}"#,
    },
    JsonFormat {
        name: "allotment",
        accepts: accepts_row::<rows::AllotmentRow>,
        sample: r#"{"limit":10,"parts":{"00000000000000ff":4}}"#,
    },
    JsonFormat {
        name: "job",
        accepts: accepts_row::<rows::JobRow>,
        sample: r#"{"team":"guides","queue":"booking","pool":"front","state":"accepted","holder":"00000000000000ff","idempotent":true,"max_run_ms":1,"max_attempts":3,"payload":"aGk=","output":"aGk="}"#,
    },
];

#[test]
fn samples_are_accepted() {
    for format in JSON_FORMATS {
        assert!((format.accepts)(format.sample.as_bytes()), "{}", format.name);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn envelopes_round_trip(envelope in envelope()) {
        let codec = PeerCodec::new(SITE_KEY);
        let datagram = codec.encode(&envelope).unwrap();
        prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(codec.decode(&datagram), Ok(envelope));
    }

    #[test]
    fn datagrams_without_valid_tag_are_rejected(datagram in vec(any::<u8>(), 0..300)) {
        let error = PeerCodec::new(SITE_KEY).decode(&datagram).unwrap_err();
        let expected =
            if datagram.len() < TAG_BYTES { CodecError::Malformed } else { CodecError::BadTag };
        prop_assert_eq!(error, expected);
    }

    #[test]
    fn signed_bytes_are_decoded_or_rejected(body in vec(any::<u8>(), 0..300)) {
        let codec = PeerCodec::new(SITE_KEY);
        match codec.decode(&signed(&body)) {
            Ok(envelope) => prop_assert!(codec.encode(&envelope).is_ok()),
            Err(error) => prop_assert_eq!(error, CodecError::Malformed),
        }
    }

    #[test]
    fn corrupted_signed_envelopes_are_decoded_or_rejected(
        envelope in envelope(),
        edits in vec((any::<Index>(), any::<u8>()), 1..4),
    ) {
        let codec = PeerCodec::new(SITE_KEY);
        let mut body = codec.encode(&envelope).unwrap().split_off(TAG_BYTES);
        for (position, byte) in edits {
            let position = position.index(body.len());
            body[position] = byte;
        }
        match codec.decode(&signed(&body)) {
            Ok(envelope) => prop_assert!(codec.encode(&envelope).is_ok()),
            Err(error) => prop_assert_eq!(error, CodecError::Malformed),
        }
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_round_trip(bytes in vec(any::<u8>(), 0..200)) {
        for format in JSON_FORMATS {
            (format.accepts)(&bytes);
        }
    }

    #[test]
    fn corrupted_messages_are_parsed_or_rejected(
        edits in vec((any::<Index>(), "[\\[\\]{}\",:a-z0-9.-]{0,2}", 0..3_usize), 1..5),
    ) {
        for format in JSON_FORMATS {
            let mut text = format.sample.to_owned();
            for (position, insert, removed) in &edits {
                let start = position.index(text.len() + 1);
                let end = (start + removed).min(text.len());
                text.replace_range(start..end, insert);
            }
            (format.accepts)(text.as_bytes());
        }
    }

    #[test]
    fn row_keys_round_trip_or_are_rejected(text in "(job/|entry/|allotment/|config/section/)?.{0,40}") {
        if let Ok(key) = text.parse::<RowKey>() {
            prop_assert_eq!(key.to_string(), text);
        }
    }
}

#[test]
fn too_deeply_nested_messages_are_rejected() {
    for format in JSON_FORMATS {
        for open in ["[", "{\"a\":"] {
            assert!(!(format.accepts)(open.repeat(100_000).as_bytes()), "{}", format.name);
        }
    }
}

//! Sizes of messages, and the time to encode and decode them.

use std::hint::black_box;
use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryStatus;
use magnoliapin_wire::HybridStamp;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::PeerEnvelope;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TeamUsage;
use serde::Serialize;

use crate::markdown::fixed;
use crate::markdown::write_head;
use crate::markdown::write_row;
use crate::site::address;
use crate::site::zone;
use crate::site::SimulatedSite;
use crate::site::SiteSize;

const ROUNDS: u32 = 2_000;
/// Bytes of the UDP and IP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// Returns the size of a message as a datagram with its headers, in bytes.
pub(crate) fn datagram_bytes(message: &PeerMessage) -> u64 {
    let datagram = codec().encode(&envelope(message.clone())).expect("a message fits");
    datagram.len() as u64 + HEADER_BYTES
}

/// Returns the size of a value as JSON, in bytes.
pub(crate) fn json_bytes(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).expect("a message is JSON").len() as u64
}

/// Writes the tables.
pub(crate) fn write_tables(output: &mut impl Write) -> io::Result<()> {
    let columns = ["teams told", "bytes", "encode µs", "check and decode µs"];
    write_head(output, "A probe or reply between entries, with UDP and IP headers", &columns)?;
    for teams in [0, 6, 40] {
        let message = heartbeat(teams);
        let codec = codec();
        let envelope = envelope(message.clone());
        let encode = mean_time(|| drop(black_box(codec.encode(black_box(&envelope)))));
        let datagram = codec.encode(&envelope).expect("a message fits");
        let decode = mean_time(|| drop(black_box(codec.decode(black_box(&datagram)))));
        let bytes = datagram_bytes(&message);
        write_row(output, &[&teams, &bytes, &micros(encode), &micros(decode)])?;
    }
    write_reads(output)
}

fn write_reads(output: &mut impl Write) -> io::Result<()> {
    let mut site = SimulatedSite::started(SiteSize::new(1, 1, 3_300, 101, 390));
    let columns = ["answer of the platform", "rows", "bytes", "bytes a row", "decode ms"];
    write_head(output, "Answers that an entry decodes, 3,300 instances and 390 teams", &columns)?;
    let scan = |prefix: &str| {
        let (prefix, after) = (prefix.to_owned(), String::new());
        magnoliapin_wire::PlatformRequest::Read(TableRead::Prefix { prefix, after, limit: 10_000 })
    };
    let reads = [
        ("instance list", magnoliapin_wire::PlatformRequest::Instances),
        ("scan of instance/", scan("instance/")),
        ("whole configuration", scan("config/")),
    ];
    for (name, request) in reads {
        let reply = site.execute_platform_call(request);
        let rows = match &reply {
            PlatformReply::Rows(rows) => rows.len(),
            PlatformReply::Instances(records) => records.len(),
            _ => 0,
        };
        let text = serde_json::to_vec(&reply).expect("a message is JSON");
        let started_at = Instant::now();
        for _ in 0..20 {
            let reply = serde_json::from_slice::<PlatformReply>(black_box(&text));
            black_box(reply).expect("the reply is decoded");
        }
        let decode = fixed(started_at.elapsed().as_secs_f64() * 1_000.0 / 20.0);
        let bytes_per_row = text.len() / rows.max(1);
        write_row(output, &[&name, &rows, &text.len(), &bytes_per_row, &decode])?;
    }
    Ok(())
}

fn heartbeat(teams: usize) -> PeerMessage {
    let usage = |team: usize| TeamUsage {
        team: format!("t{team}").parse().expect("a short name"),
        running: 60,
        waiting: 200,
        slice: 70,
    };
    let status = EntryStatus {
        zone: zone(1),
        peer_address: address(7_201),
        caller_address: address(7_101),
        state: EntryState::Ready,
        config: ConfigVersion(7_900),
        head_age_us: Some(300_000),
        apply_in_flight: false,
        member_count: 28,
        usage: (0..teams).map(usage).collect(),
    };
    PeerMessage::Heartbeat { stamp: Moment(86_400_000_000), status }
}

fn envelope(message: PeerMessage) -> PeerEnvelope {
    let (from, to) = (EntryId(u64::MAX / 3), Some(EntryId(u64::MAX / 5)));
    let stamp = HybridStamp { wall_us: 1_800_000_000_000_000, count: 3 };
    PeerEnvelope { from, to, sequence: 1_000_000, stamp, message }
}

fn codec() -> PeerCodec {
    PeerCodec::new(b"a key for trials on loopback")
}

fn mean_time(mut operation: impl FnMut()) -> Duration {
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        operation();
    }
    started_at.elapsed() / ROUNDS
}

fn micros(time: Duration) -> String {
    fixed(time.as_secs_f64() * 1_000_000.0)
}

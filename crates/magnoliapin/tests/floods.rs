//! Runs a node and an entry against clients that could exhaust memory, descriptors or connections.

#[path = "floods/accepted_jobs.rs"]
mod accepted_jobs;
#[path = "floods/entry_jobs.rs"]
mod entry_jobs;
mod floods_support;
#[path = "../../../platform/tests/support/mod.rs"]
mod platform;
#[path = "floods/restarts.rs"]
mod restarts;
mod support;

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use floods_support::status;
use floods_support::wait_until_read;
use floods_support::Flood;
use floods_support::MachineLimits;
use floods_support::TestNode;
use support::site::wait_for;
use support::site::SiteProcess;
use support::site::TargetGroup;
use support::site::TestSite;
use support::site::DOCUMENT;
use support::site::GUIDE_KEY;

/// Size of the bodies, under the limit of the test's configuration.
const BODY_BYTES: usize = 256 * 1024;
/// Number of chunks of one byte that a client of the entry sends.
const SINGLE_CHUNKS: usize = 1_000;
/// Size of a chunk of one byte with its prefix and line ends, which is sent by itself.
const SINGLE_CHUNK_BYTES: usize = 6;
/// Number of clients of most floods.
const CLIENTS: usize = 300;
/// Limits of most tests: few bytes, more descriptors than clients.
const SMALL_MEMORY: MachineLimits = MachineLimits { memory_mb: 64, max_fds: 4_100 };

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Keeps the tests of this file from running at the same time.
fn lock() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a head that does not end, of this size. It consists of one header, as the number of
/// headers has a limit of its own.
fn endless_head(bytes: usize) -> Vec<u8> {
    let mut head = b"POST /q/00000000000000b1 HTTP/1.1\r\nhost: h\r\nx-filler: ".to_vec();
    head.resize(bytes, b'a');
    head
}

/// Returns a request that stops one byte before the end of its body.
fn short_body(path: &str, headers: &str) -> Vec<u8> {
    let mut request =
        format!("POST {path} HTTP/1.1\r\nhost: h\r\n{headers}content-length: {BODY_BYTES}\r\n\r\n")
            .into_bytes();
    request.extend(vec![b'a'; BODY_BYTES - 1]);
    request
}

/// Returns a request whose chunked body stops before its end.
fn short_chunks(path: &str, headers: &str, total: usize, chunk: usize) -> Vec<u8> {
    let mut request =
        format!("POST {path} HTTP/1.1\r\nhost: h\r\n{headers}transfer-encoding: chunked\r\n\r\n")
            .into_bytes();
    for _ in 0..total / chunk {
        request.extend(format!("{chunk:x}\r\n").into_bytes());
        request.extend(vec![b'a'; chunk]);
        request.extend(b"\r\n");
    }
    request
}

/// Sends a flood to one address of a node and checks the node while the flood is open.
fn flood_node(name: &str, address: impl Fn(&TestNode) -> SocketAddr, bytes: Vec<u8>, piece: usize) {
    let _guard = lock();
    let node = TestNode::start(name, SMALL_MEMORY);
    let flood = Flood::open(address(&node), CLIENTS, bytes, piece).send();
    node.check();
    drop(flood);
}

/// Guards against buffers of heads that grow without limit.
#[test]
fn a_node_survives_endless_heads() {
    flood_node("heads", |node| node.clients, endless_head(300 * 1024), 64 * 1024);
}

/// Guards against heads over the limit that are held in memory.
#[test]
fn a_node_survives_heads_over_the_limit() {
    let mut head = endless_head(300 * 1024);
    head.extend_from_slice(b"\r\ncontent-length: 9\r\n\r\n");
    flood_node("long-heads", |node| node.clients, head, 300 * 1024);
}

/// Guards against empty lines before a request that occupy the process or its memory.
#[test]
fn a_node_survives_endless_empty_lines() {
    flood_node("lines", |node| node.clients, b"\r\n".repeat(512 * 1024), 64 * 1024);
}

/// Guards against bodies without a bound on all of them together.
#[test]
fn a_node_survives_bodies_that_stop_short() {
    let body = short_body("/q/00000000000000b1", "");
    flood_node("bodies", |node| node.clients, body, BODY_BYTES * 2);
}

/// Guards against buffers that are kept for each piece of a body.
#[test]
fn a_node_survives_bodies_in_pieces() {
    let body = short_body("/q/00000000000000b1", "");
    flood_node("pieces", |node| node.clients, body, 4 * 1024);
}

/// Guards against chunked bodies, whose size is not announced.
#[test]
fn a_node_survives_large_chunks() {
    let body = short_chunks("/q/00000000000000b1", "", BODY_BYTES, 16 * 1024);
    flood_node("chunks", |node| node.clients, body, 32 * 1024);
}

/// Guards against the cost of each chunk in memory.
#[test]
fn a_node_survives_chunks_of_one_byte() {
    let _guard = lock();
    let node = TestNode::start("bytes", SMALL_MEMORY);
    let body = short_chunks("/q/00000000000000b1", "", 64 * 1024, 1);
    let flood = Flood::open(node.clients, CLIENTS / 5, body, BODY_BYTES * 2).send();
    wait_until_read(node.clients);
    node.check();
    drop(flood);
}

/// Guards against the same from clients without a valid key.
#[test]
fn a_node_survives_bodies_with_unknown_keys() {
    let body = short_body("/k/00000000000000b1", "authorization: Token nobody\r\n");
    flood_node("keys", |node| node.clients, body, 64 * 1024);
}

/// Guards against the same on the address of the readiness check.
#[test]
fn a_node_survives_floods_of_its_readiness_address() {
    flood_node("ready", |node| node.ready, short_body("/api/readyz", ""), 64 * 1024);
}

/// Guards against the other floods on the address of the readiness check.
#[test]
fn a_node_survives_heads_lines_and_chunks_on_its_readiness_address() {
    let large = short_chunks("/api/readyz", "", BODY_BYTES, 16 * 1024);
    let small = short_chunks("/api/readyz", "", SINGLE_CHUNKS, 1);
    let mut long_head = endless_head(300 * 1024);
    long_head.extend_from_slice(b"\r\ncontent-length: 9\r\n\r\n");
    let floods = [
        ("ready-heads", endless_head(300 * 1024)),
        ("ready-long-heads", long_head),
        ("ready-lines", b"\r\n".repeat(512 * 1024)),
        ("ready-chunks", large),
        ("ready-bytes", small),
    ];
    for (name, bytes) in floods {
        flood_node(name, |node| node.ready, bytes, 64 * 1024);
    }
}

/// Guards against clients that take the address for other nodes for that of clients, and against memory
/// for replies that a connection takes before it has sent a request.
#[test]
fn a_node_survives_requests_on_its_address_for_nodes() {
    let _guard = lock();
    let limits = MachineLimits { memory_mb: 40, ..SMALL_MEMORY };
    let floods = [
        ("peer-heads", endless_head(300 * 1024)),
        ("peer-lines", b"\r\n".repeat(512 * 1024)),
        ("peer-bodies", short_body("/q/00000000000000b1", "")),
        ("peer-bytes", short_chunks("/q/00000000000000b1", "", SINGLE_CHUNKS, 1)),
    ];
    for (name, bytes) in floods {
        let node = TestNode::start(name, limits);
        let flood = Flood::open(node.peers, CLIENTS, bytes, 64 * 1024).send();
        node.check();
        drop(flood);
    }
}

/// Guards against buffers that are allocated before their bytes arrive, and against large frames
/// that are never complete.
#[test]
fn a_node_survives_incomplete_frames() {
    let _guard = lock();
    let node = TestNode::start("frames", SMALL_MEMORY);
    let frame = |bytes| [&(4 * 1024 * 1024_u32 - 1).to_le_bytes()[..], &vec![7; bytes]].concat();
    let short = Flood::open(node.peers, CLIENTS / 4, frame(1024), 64 * 1024);
    let long = Flood::open(node.peers, CLIENTS / 4, frame(1024 * 1024), 64 * 1024);
    let flood = short.join(long).send();
    node.check();
    drop(flood);
}

/// Guards against events that queue up because frames are read faster than they are handled, and
/// against replies that are kept for nodes that do not read them.
#[test]
fn a_node_survives_valid_frames_whose_replies_are_not_read() {
    let _guard = lock();
    let node = TestNode::start("pings", SMALL_MEMORY);
    // The length, the number of the request and the variant of a ping.
    let ping = [2, 0, 0, 0, 0, 0];
    let flood = Flood::open(node.peers, CLIENTS / 4, ping.repeat(100_000), 600_000).send();
    node.check();
    drop(flood);
}

/// Guards against responses that are kept for clients that do not read them.
#[test]
fn a_node_survives_clients_that_do_not_read() {
    let request = b"GET /q/00000000000000b1 HTTP/1.1\r\nhost: h\r\n\r\n";
    flood_node("unread", |node| node.clients, request.repeat(5_000), 64 * 1024);
}

/// Guards against connections that use up the descriptors.
#[test]
fn a_node_survives_connections_that_send_nothing() {
    let _guard = lock();
    let node = TestNode::start("idle", MachineLimits { memory_mb: 64, max_fds: 400 });
    let clients = Flood::open(node.clients, CLIENTS, Vec::new(), 1);
    let peers = Flood::open(node.peers, CLIENTS / 3, Vec::new(), 1);
    let flood = clients.join(peers).send();
    node.check();
    drop(flood);
}

/// Guards against limits of an earlier configuration that remain in force for incomplete bodies.
#[test]
fn a_node_survives_a_limit_that_is_lowered_during_bodies() {
    let _guard = lock();
    let node = TestNode::start("lowered", SMALL_MEMORY);
    let body = short_body("/q/00000000000000b1", "");
    let flood = Flood::open(node.clients, CLIENTS, body, 32 * 1024).send_up_to(BODY_BYTES / 2);
    node.set_body_limit(2, 64 * 1024);
    thread::sleep(Duration::from_millis(200));
    let flood = flood.send();
    node.check();
    drop(flood);
}

/// Guards against requests of clients that have left, which kept a node from stopping.
#[test]
fn a_node_stops_after_clients_have_left() {
    let _guard = lock();
    let mut node = TestNode::start("left", SMALL_MEMORY);
    {
        // The store does not answer while its state is locked, so the request is under way.
        let _state = node.platform.state.lock().expect("no thread has panicked");
        let mut stream = TcpStream::connect(node.clients).expect("the node accepts");
        let body = "{\"spec\":\"x\",\"phases\":[{\"count\":1}]}";
        let length = body.len();
        write!(
            stream,
            "POST /q/00000000000000b1 HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .expect("the node reads");
        thread::sleep(Duration::from_millis(200));
        drop(stream);
        thread::sleep(Duration::from_millis(100));
    }
    wait_for("a job is accepted", || node.accepts_job("00000000000000b2"));
    assert_eq!(node.stop(), Some(0));
}

/// Guards against limits that ordinary clients reach: the largest head and body are accepted, and a
/// connection is used again.
#[test]
fn a_node_serves_the_largest_requests_on_one_connection() {
    let _guard = lock();
    let node = TestNode::start("largest", SMALL_MEMORY);
    let mut stream = TcpStream::connect(node.clients).expect("the node accepts");
    for job in ["00000000000000b1", "00000000000000b2"] {
        let prefix = "{\"phases\":[{\"count\":1}],\"spec\":\"";
        let body = format!("{prefix}{}\"}}", "x".repeat(1024 * 1024 - prefix.len() - 2));
        let length = body.len();
        let start = format!("POST /q/{job} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n");
        let filler = "x".repeat(16 * 1024 - start.len() - "x-filler: \r\n\r\n".len());
        write!(stream, "{start}x-filler: {filler}\r\n\r\n{body}").expect("the node reads");
        let mut response = [0; 4096];
        let length = stream.read(&mut response).expect("the node answers");
        let response = String::from_utf8_lossy(&response[..length]);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        thread::sleep(Duration::from_secs(1));
    }
}

/// Settings of the entry: 8 MiB of bodies and 200 connections; the rest is for the process.
const ENTRY_LIMITS: &str = "[limits]\ncaller_connections = 200\nall_body_bytes = 8388608\n";
const ENTRY_MACHINE: MachineLimits = MachineLimits { memory_mb: 64, max_fds: 200 + 200 + 64 };

/// Starts an entry with small limits on a site with these targets.
fn start_entry(name: &str, groups: &[TargetGroup], peer_listen: SocketAddr) -> TestSite {
    let mut site = TestSite::start_groups(name, 0, groups);
    let text = format!(
        "zone = \"zone-a\"\ncaller_listen = \"127.0.0.1:0\"\npeer_listen = \"{peer_listen}\"\n\
         platform = \"{}\"\npeer_key = \"the key of a test's entries\"\n{ENTRY_LIMITS}",
        site.platform_address()
    );
    let settings = support::scratch_file(&format!("{name}.toml"), &text);
    site.entries.push(SiteProcess::start(&["entry", "--settings", &settings]));
    site.apply_first(DOCUMENT);
    site
}

/// An address with any port that is free.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Sends a flood to an entry with small limits and checks it while the flood is open.
fn flood_entry(name: &str, bytes: Vec<u8>, piece: usize) {
    let _guard = lock();
    let groups = [TargetGroup { name: "target", pool: "evening" }];
    let site = start_entry(name, &groups, ANY_PORT);
    let address = site.entries[0].address;
    let flood = Flood::open(address, CLIENTS, bytes, piece).send();
    let request = format!(
        "POST /v1/queues/booking/requests HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         authorization: Bearer {GUIDE_KEY}\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    wait_for("a request is answered", || status(address, request.as_bytes()) == Some(200));
    ENTRY_MACHINE.check(site.entries[0].process_id());
    drop(flood);
}

const ENTRY_PATH: &str = "/v1/queues/booking/requests";

/// Guards against buffers of heads that grow without limit.
#[test]
fn an_entry_survives_endless_heads() {
    flood_entry("entry-heads", endless_head(300 * 1024), 64 * 1024);
}

/// Guards against empty lines before a request that occupy the process or its memory.
#[test]
fn an_entry_survives_endless_empty_lines() {
    flood_entry("entry-lines", b"\r\n".repeat(512 * 1024), 64 * 1024);
}

/// Guards against heads over the limit that are held in memory.
#[test]
fn an_entry_survives_heads_over_the_limit() {
    let mut head = endless_head(300 * 1024);
    head.extend_from_slice(b"\r\ncontent-length: 9\r\n\r\n");
    flood_entry("entry-long-heads", head, 300 * 1024);
}

/// Guards against bodies that together exceed the memory, and that keep others from being served.
#[test]
fn an_entry_survives_bodies_that_stop_short() {
    let key = format!("authorization: Bearer {GUIDE_KEY}\r\n");
    flood_entry("entry-bodies", short_body(ENTRY_PATH, &key), BODY_BYTES * 2);
}

/// Guards against the same from clients without a valid key, piece by piece.
#[test]
fn an_entry_survives_bodies_with_unknown_keys() {
    let key = "authorization: Bearer nobody\r\n";
    flood_entry("entry-keys", short_body(ENTRY_PATH, key), 4 * 1024);
}

/// Guards against chunked bodies, whose size is not announced.
#[test]
fn an_entry_survives_large_chunks() {
    let key = format!("authorization: Bearer {GUIDE_KEY}\r\n");
    let body = short_chunks(ENTRY_PATH, &key, BODY_BYTES, 16 * 1024);
    flood_entry("entry-chunks", body, 32 * 1024);
}

/// Guards against the cost of each chunk in memory.
#[test]
fn an_entry_survives_chunks_of_one_byte() {
    let key = format!("authorization: Bearer {GUIDE_KEY}\r\n");
    flood_entry(
        "entry-bytes",
        short_chunks(ENTRY_PATH, &key, SINGLE_CHUNKS, 1),
        SINGLE_CHUNK_BYTES,
    );
}

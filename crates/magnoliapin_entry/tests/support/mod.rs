//! Test helpers: a raw HTTP client and entry options with short timeouts.

#![allow(dead_code)]

pub(crate) mod fake_server;
pub(crate) mod site;
pub(crate) mod tls;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_entry::EntryLimits;
use magnoliapin_entry::EntryOptions;
use magnoliapin_model::ZoneId;

/// Upper bound of every wait in a test.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Parsed HTTP response.
#[derive(Clone, Debug)]
pub(crate) struct RawResponse {
    /// HTTP status code.
    pub(crate) status: u16,
    /// Status line and headers, in lower case.
    pub(crate) head: String,
    /// Response body, as long as `content-length` states.
    pub(crate) body: Vec<u8>,
}

impl RawResponse {
    /// Parses the first response of `bytes`; `None` if it is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Self> {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head.split("content-length: ").nth(1)?.split("\r\n").next()?;
        let length: usize = length.parse().ok()?;
        let body = bytes.get(end + 4..end + 4 + length)?.to_vec();
        Some(Self { status, head, body })
    }

    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    /// Returns the kind of the error in the body.
    pub(crate) fn kind(&self) -> String {
        self.json()["kind"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends bytes on a new connection and reads until the entry closes it or a read times out.
pub(crate) fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    // The entry may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    read_until_closed(&mut stream)
}

/// Connects and sets `TEST_TIMEOUT` as the read timeout.
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the entry listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout is valid");
    stream
}

/// Reads until the peer closes the connection or a read fails.
pub(crate) fn read_until_closed(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..length]);
    }
    bytes
}

/// Sends a request on a new connection and returns the response.
pub(crate) fn request(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> RawResponse {
    request_with(address, method, path, "", body)
}

/// Sends a request with additional header lines, each terminated by CRLF.
pub(crate) fn request_with(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
) -> RawResponse {
    let length = body.len();
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    let response = send_raw(address, &bytes);
    RawResponse::parse(&response).unwrap_or_else(|| {
        panic!("incomplete response to {method} {path}: {}", String::from_utf8_lossy(&response))
    })
}

/// Returns options with short timeouts and a platform address without a listener.
pub(crate) fn options_without_platform() -> EntryOptions {
    let limits = EntryLimits {
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(600),
        stop_grace_period: Duration::from_millis(50),
        ..EntryLimits::default()
    };
    EntryOptions::new(ZoneId::new("zone-a").expect("a valid name"), unused_address())
        .with_peer_key(b"key of the tests")
        .with_seed(7)
        .with_limits(limits)
}

/// Returns a loopback address without a listener.
pub(crate) fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("a bound socket has an address")
}

/// Polls `condition` until it holds.
///
/// # Panics
///
/// Panics after `TEST_TIMEOUT`.
pub(crate) fn wait_for(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the sum of all metrics in `text` whose line starts with `prefix`; 0 without a match.
pub(crate) fn metric(text: &str, prefix: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(prefix))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

//! A blocking HTTP client that distinguishes failed connections from incomplete responses.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

/// A complete response.
#[derive(Debug)]
pub struct HttpReply {
    pub status: u16,
    pub body: String,
}

/// Reasons why there is no complete response.
#[derive(Debug)]
pub enum HttpFailure {
    /// The connection could not be established; nothing was sent.
    NotConnected,
    /// The exchange failed before the complete response had arrived.
    Incomplete(String),
}

/// Sends a GET request for a path.
pub fn get(address: SocketAddr, path: &str) -> Result<HttpReply, HttpFailure> {
    exchange(address, &format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n"))
}

/// Sends a request to a queue and waits for its output.
pub fn post_request(
    address: SocketAddr,
    queue: &str,
    key: &str,
    payload: &str,
) -> Result<HttpReply, HttpFailure> {
    let length = payload.len();
    exchange(
        address,
        &format!(
            "POST /v1/queues/{queue}/requests HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
             authorization: Bearer {key}\r\ncontent-length: {length}\r\n\r\n{payload}"
        ),
    )
}

fn exchange(address: SocketAddr, request: &str) -> Result<HttpReply, HttpFailure> {
    let mut stream = TcpStream::connect(address).map_err(|_| HttpFailure::NotConnected)?;
    let incomplete = |error: io::Error| HttpFailure::Incomplete(error.to_string());
    stream.set_read_timeout(Some(TIMEOUT)).map_err(incomplete)?;
    stream.write_all(request.as_bytes()).map_err(incomplete)?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map_err(incomplete)?;
    parse(&response)
        .ok_or_else(|| HttpFailure::Incomplete(format!("incomplete response: {response:?}")))
}

fn parse(response: &str) -> Option<HttpReply> {
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    (length == Some(body.len())).then(|| HttpReply { status, body: body.to_owned() })
}

//! A blocking HTTP client that tells a cut exchange from every other outcome.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug)]
pub struct HttpReply {
    pub status: u16,
    pub body: String,
}

/// Why there is no whole answer.
#[derive(Debug)]
pub enum HttpFailure {
    /// Nothing listened; nothing was sent.
    Refused,
    /// The connection ended before the whole answer.
    Cut(String),
}

/// Asks for a path.
pub fn get(address: SocketAddr, path: &str) -> Result<HttpReply, HttpFailure> {
    exchange(address, &format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n"))
}

/// Runs a request and waits for its output.
pub fn run(
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
    let mut stream = TcpStream::connect(address).map_err(|_| HttpFailure::Refused)?;
    let cut = |error: io::Error| HttpFailure::Cut(error.to_string());
    stream.set_read_timeout(Some(TIMEOUT)).map_err(cut)?;
    stream.write_all(request.as_bytes()).map_err(cut)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(cut)?;
    parse(&answer).ok_or_else(|| HttpFailure::Cut(format!("not a whole answer: {answer:?}")))
}

fn parse(answer: &str) -> Option<HttpReply> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    (length == Some(body.len())).then(|| HttpReply { status, body: body.to_owned() })
}

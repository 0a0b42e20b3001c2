//! HTTP server that responds to each request according to a test's script.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Scripted response to one request.
#[derive(Clone, Debug)]
pub(crate) enum FakeResponse {
    /// Responds with status 200 and these bytes as the body.
    Body(Vec<u8>),
    /// Responds with this status and an empty body.
    Status(u16),
    /// Responds like `Body` after this delay.
    Late(Duration, Vec<u8>),
    /// Sends these bytes unchanged and closes the connection.
    Raw(Vec<u8>),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open and never responds.
    Silent,
}

/// Traffic counters of the server.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounts {
    /// Connections accepted since the start.
    pub(crate) connections: AtomicUsize,
    /// Connections open now.
    pub(crate) open: AtomicUsize,
    /// Complete requests received.
    pub(crate) requests: AtomicUsize,
    /// Request bytes received.
    pub(crate) bytes: AtomicUsize,
}

/// HTTP server on a free loopback port; its threads run until the test process exits.
#[derive(Clone, Debug)]
pub(crate) struct FakeServer {
    /// Address on which the server listens.
    pub(crate) address: SocketAddr,
    /// Traffic counters.
    pub(crate) counts: Arc<TrafficCounts>,
}

impl FakeServer {
    /// Starts a server; `script` is called with the sequence number of the request, from 0, and its
    /// bytes.
    pub(crate) fn start(
        script: impl Fn(usize, &[u8]) -> FakeResponse + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let counts = Arc::new(TrafficCounts::default());
        let script = Arc::new(script);
        let server = Self { address, counts };
        let acceptor = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = Arc::clone(&acceptor.counts);
                let script = Arc::clone(&script);
                std::thread::spawn(move || {
                    counts.connections.fetch_add(1, Ordering::SeqCst);
                    counts.open.fetch_add(1, Ordering::SeqCst);
                    serve(stream, &counts, script.as_ref());
                    counts.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Returns the number of connections accepted since the start.
    pub(crate) fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.counts.open.load(Ordering::SeqCst)
    }

    /// Returns the number of complete requests received.
    pub(crate) fn requests(&self) -> usize {
        self.counts.requests.load(Ordering::SeqCst)
    }
}

fn serve(
    mut stream: TcpStream,
    counts: &TrafficCounts,
    script: &dyn Fn(usize, &[u8]) -> FakeResponse,
) {
    while let Some(request) = read_request(&mut stream, counts) {
        let number = counts.requests.fetch_add(1, Ordering::SeqCst);
        let written = match script(number, &request) {
            FakeResponse::Body(body) => write_response(&mut stream, 200, &body),
            FakeResponse::Status(status) => write_response(&mut stream, status, b""),
            FakeResponse::Late(delay, body) => {
                std::thread::sleep(delay);
                write_response(&mut stream, 200, &body)
            }
            FakeResponse::Raw(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            FakeResponse::Close => return,
            FakeResponse::Silent => {
                // Returns when the client closes the connection.
                while matches!(stream.read(&mut [0; 1024]), Ok(length) if length > 0) {}
                return;
            }
        };
        if !written {
            return;
        }
    }
}

fn write_response(stream: &mut TcpStream, status: u16, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

fn read_request(stream: &mut TcpStream, counts: &TrafficCounts) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&bytes) {
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        counts.bytes.fetch_add(length, Ordering::SeqCst);
        bytes.extend_from_slice(&buffer[..length]);
    }
    Some(bytes)
}

fn is_complete(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    bytes.len() >= end + 4 + length
}

//! A server that answers each HTTP request as a test's script says.

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

/// What the server does with one request.
#[derive(Clone, Debug)]
pub(crate) enum FakeAnswer {
    /// Answers with these bytes as the body.
    Body(Vec<u8>),
    /// Answers with a status and an empty body.
    Status(u16),
    /// Answers after a while.
    Late(Duration, Vec<u8>),
    /// Sends these bytes as they are and closes.
    Raw(Vec<u8>),
    /// Closes without an answer.
    Close,
    /// Keeps the connection open and never answers.
    Silent,
}

/// Counts what the server saw.
#[derive(Debug, Default)]
pub(crate) struct FakeCounts {
    /// Connections.
    pub(crate) connections: AtomicUsize,
    /// Connections that are open.
    pub(crate) open: AtomicUsize,
    /// Requests.
    pub(crate) requests: AtomicUsize,
    /// Bytes.
    pub(crate) bytes: AtomicUsize,
}

/// A server on a free loopback port; its threads end with the test's process.
#[derive(Clone, Debug)]
pub(crate) struct FakeServer {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// What it saw.
    pub(crate) counts: Arc<FakeCounts>,
}

impl FakeServer {
    /// Starts a server; `script` gets the number of the request, from 0, and its bytes.
    pub(crate) fn start(
        script: impl Fn(usize, &[u8]) -> FakeAnswer + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let counts = Arc::new(FakeCounts::default());
        let script = Arc::new(script);
        let server = Self { address, counts };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = Arc::clone(&accepting.counts);
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

    /// Returns how many connections the server has seen.
    pub(crate) fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::SeqCst)
    }

    /// Returns how many connections are open.
    pub(crate) fn open(&self) -> usize {
        self.counts.open.load(Ordering::SeqCst)
    }

    /// Returns how many requests the server has seen.
    pub(crate) fn requests(&self) -> usize {
        self.counts.requests.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, counts: &FakeCounts, script: &dyn Fn(usize, &[u8]) -> FakeAnswer) {
    while let Some(request) = read_request(&mut stream, counts) {
        let number = counts.requests.fetch_add(1, Ordering::SeqCst);
        let written = match script(number, &request) {
            FakeAnswer::Body(body) => write_answer(&mut stream, 200, &body),
            FakeAnswer::Status(status) => write_answer(&mut stream, status, b""),
            FakeAnswer::Late(wait, body) => {
                std::thread::sleep(wait);
                write_answer(&mut stream, 200, &body)
            }
            FakeAnswer::Raw(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            FakeAnswer::Close => return,
            FakeAnswer::Silent => {
                // Ends when the other side closes.
                while matches!(stream.read(&mut [0; 1024]), Ok(length) if length > 0) {}
                return;
            }
        };
        if !written {
            return;
        }
    }
}

fn write_answer(stream: &mut TcpStream, status: u16, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

fn read_request(stream: &mut TcpStream, counts: &FakeCounts) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !is_whole(&bytes) {
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        counts.bytes.fetch_add(length, Ordering::SeqCst);
        bytes.extend_from_slice(&buffer[..length]);
    }
    Some(bytes)
}

fn is_whole(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    bytes.len() >= end + 4 + length
}

//! HTTP/1.1 client connection to the platform or a target.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::Request;
use hyper::StatusCode;
use magnoliapin_model::Moment;
use magnoliapin_wire::CallFailure;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;
use smol::Task;
use smol_hyper::rt::FuturesIo;

use crate::metrics::EndpointKind;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::TaskSpawner;

/// Response of one HTTP exchange, read completely.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Complete body.
    pub(crate) body: Bytes,
}

/// One open connection and the task that drives it.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Task<()>,
    guard: Arc<SendGuard>,
    idle_since: Instant,
}

impl HttpConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened. No request has been sent then.
    pub(crate) async fn open(
        address: SocketAddr,
        endpoint: EndpointKind,
        clock: Arc<dyn MonotonicClock>,
        metrics: Arc<EntryMetrics>,
        spawner: &TaskSpawner,
    ) -> io::Result<Self> {
        let gauge = ConnectionGauge::new(endpoint, metrics);
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let guard = Arc::new(SendGuard::new(clock));
        let stream = GuardedStream { stream, guard: Arc::clone(&guard), _gauge: gauge };
        let (sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = spawner.spawn(async move {
            // The exchange in progress reports the same error.
            let _ = connection.await;
        });
        let driver = driver.ok_or(io::ErrorKind::NotConnected)?;
        Ok(Self { sender, driver, guard, idle_since: Instant::now() })
    }

    /// Returns the time at which the connection became idle.
    pub(crate) fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Waits until the connection can send a request; returns `false` if it is closed.
    pub(crate) async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether the peer or an error has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads its complete response. The body has at most `max_response_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response. The connection must be closed then.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        send_before: Option<Moment>,
        max_response_bytes: usize,
    ) -> Result<HttpResponse, Box<dyn std::error::Error + Send + Sync>> {
        self.guard.arm(send_before);
        let response = self.sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, max_response_bytes).collect().await?.to_bytes();
        self.idle_since = Instant::now();
        Ok(HttpResponse { status: head.status, body })
    }

    /// Closes the connection and returns how its last request failed:
    /// [`CallFailure::NotSent`] only if no byte of it was written.
    pub(crate) async fn close(self) -> CallFailure {
        // After the driver task is cancelled nothing is written, so the guard's count is final.
        self.driver.cancel().await;
        if self.guard.has_written() {
            CallFailure::Unknown
        } else {
            CallFailure::NotSent
        }
    }
}

/// Counts the bytes written for a request, and rejects a request after its deadline for sending.
#[derive(Debug)]
struct SendGuard {
    clock: Arc<dyn MonotonicClock>,
    written_bytes: AtomicU64,
    send_before: AtomicU64,
}

impl SendGuard {
    fn new(clock: Arc<dyn MonotonicClock>) -> Self {
        let written_bytes = AtomicU64::new(0);
        Self { clock, written_bytes, send_before: AtomicU64::new(u64::MAX) }
    }

    fn arm(&self, send_before: Option<Moment>) {
        self.written_bytes.store(0, Ordering::SeqCst);
        let limit = send_before.map_or(u64::MAX, |moment| moment.0);
        self.send_before.store(limit, Ordering::SeqCst);
    }

    fn has_written(&self) -> bool {
        self.written_bytes.load(Ordering::SeqCst) > 0
    }

    /// Returns whether the request has started before its deadline or may start now.
    fn may_write(&self) -> bool {
        self.has_written() || self.clock.now().0 < self.send_before.load(Ordering::SeqCst)
    }

    fn add_written(&self, bytes: usize) {
        self.written_bytes.fetch_add(bytes as u64, Ordering::SeqCst);
    }
}

/// A socket that checks its guard right before each write.
#[derive(Debug)]
struct GuardedStream {
    stream: TcpStream,
    guard: Arc<SendGuard>,
    _gauge: ConnectionGauge,
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.guard.may_write() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(bytes)) = result {
            self.guard.add_written(bytes);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Counts a connection as open until the gauge is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGauge {
    endpoint: EndpointKind,
    metrics: Arc<EntryMetrics>,
}

impl ConnectionGauge {
    /// Increments the number of open connections.
    pub(crate) fn new(endpoint: EndpointKind, metrics: Arc<EntryMetrics>) -> Self {
        metrics.count_connection(endpoint, 1);
        Self { endpoint, metrics }
    }
}

impl Drop for ConnectionGauge {
    fn drop(&mut self) {
        self.metrics.count_connection(self.endpoint, -1);
    }
}

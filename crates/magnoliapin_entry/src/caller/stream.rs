//! Caller stream, monitored for slow headers, invalid headers and stalled writes.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::Timer;

use crate::caller::socket::CallerSocket;
use crate::stop_signal::StopSignal;

/// Progress of the exchange on a caller connection.
#[derive(Debug)]
pub(crate) struct StreamMonitor {
    /// Time at which the first bytes of incomplete headers arrived.
    headers_since: Mutex<Option<Instant>>,
    /// Time at which writes to the socket became blocked.
    write_blocked_since: Mutex<Option<Instant>>,
    is_serving: AtomicBool,
    has_invalid_headers: AtomicBool,
    evicted: StopSignal,
}

impl StreamMonitor {
    /// Creates the monitor of a new connection.
    pub(crate) fn new() -> Self {
        Self {
            headers_since: Mutex::default(),
            write_blocked_since: Mutex::default(),
            is_serving: AtomicBool::new(false),
            has_invalid_headers: AtomicBool::new(false),
            evicted: StopSignal::new(),
        }
    }

    /// Returns whether a request is being served.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_serving.load(Ordering::SeqCst)
    }

    /// Evicts the connection in favor of a new one.
    pub(crate) fn evict(&self) {
        self.evicted.raise();
    }

    /// Waits until the connection is evicted.
    pub(crate) async fn evicted(&self) {
        self.evicted.wait().await;
    }

    /// Records that the headers of a request are complete.
    pub(crate) fn start_request(&self) {
        self.is_serving.store(true, Ordering::SeqCst);
        *lock(&self.headers_since) = None;
    }

    /// Records that the response to a request is ready to be written.
    pub(crate) fn finish_request(&self) {
        self.is_serving.store(false, Ordering::SeqCst);
    }

    /// Returns whether `hyper` refused the headers of a request.
    pub(crate) fn has_invalid_headers(&self) -> bool {
        self.has_invalid_headers.load(Ordering::SeqCst)
    }

    /// Waits until headers have been incomplete for at least `timeout`.
    pub(crate) async fn wait_for_slow_headers(&self, timeout: Duration) {
        wait_for_age(&self.headers_since, timeout).await;
    }

    /// Waits until writes to the caller have been blocked for at least `timeout`.
    pub(crate) async fn wait_for_stalled_write(&self, timeout: Duration) {
        wait_for_age(&self.write_blocked_since, timeout).await;
    }

    /// Records whether a write to the socket is pending.
    pub(crate) fn record_write(&self, is_pending: bool) {
        let mut write_blocked_since = lock(&self.write_blocked_since);
        *write_blocked_since = is_pending.then(|| write_blocked_since.unwrap_or_else(Instant::now));
    }

    fn record_read(&self) {
        if !self.is_serving() {
            lock(&self.headers_since).get_or_insert_with(Instant::now);
        }
    }
}

/// Waits until `since` contains an instant that is at least `age` ago.
async fn wait_for_age(since: &Mutex<Option<Instant>>, age: Duration) {
    loop {
        let started = *lock(since);
        match started {
            Some(started) if started.elapsed() >= age => return,
            Some(started) => Timer::at(started + age).await,
            None => Timer::after(age / 2).await,
        };
    }
}

fn lock(since: &Mutex<Option<Instant>>) -> MutexGuard<'_, Option<Instant>> {
    since.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Caller stream that discards the responses of `hyper` to invalid headers. These have no body;
/// the entry sends its own refusal instead.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: CallerSocket,
    monitor: Arc<StreamMonitor>,
}

impl CallerStream {
    /// Wraps a socket.
    pub(crate) fn new(stream: CallerSocket, monitor: Arc<StreamMonitor>) -> Self {
        Self { stream, monitor }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.monitor.record_read();
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if is_hyper_refusal(buffer) {
            self.monitor.has_invalid_headers.store(true, Ordering::SeqCst);
            return Poll::Ready(Ok(buffer.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.monitor.has_invalid_headers() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Returns whether `bytes` are a refusal by `hyper`, which has no body. The entry's own refusals
/// always have one.
fn is_hyper_refusal(bytes: &[u8]) -> bool {
    const EMPTY_BODY: &[u8] = b"content-length: 0\r\n";
    bytes.starts_with(b"HTTP/1.1 4")
        && bytes.windows(EMPTY_BODY.len()).any(|window| window == EMPTY_BODY)
}

//! The socket of a caller, watched for slow and broken headers.

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

/// What is known of the exchange on a caller's connection.
#[derive(Debug)]
pub(crate) struct StreamWatch {
    head_since: Mutex<Option<Instant>>,
    write_since: Mutex<Option<Instant>>,
    is_serving: AtomicBool,
    is_broken: AtomicBool,
    evicted: StopSignal,
}

impl StreamWatch {
    /// Makes the watch of a connection that has just been opened.
    pub(crate) fn new() -> Self {
        Self {
            head_since: Mutex::default(),
            write_since: Mutex::default(),
            is_serving: AtomicBool::new(false),
            is_broken: AtomicBool::new(false),
            evicted: StopSignal::new(),
        }
    }

    /// Returns whether a request is being served.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_serving.load(Ordering::SeqCst)
    }

    /// Tells the connection to make room for another one.
    pub(crate) fn evict(&self) {
        self.evicted.raise();
    }

    /// Waits until the connection has to make room for another one.
    pub(crate) async fn evicted(&self) {
        self.evicted.wait().await;
    }

    /// Notes that the headers of a request are complete.
    pub(crate) fn begin_request(&self) {
        self.is_serving.store(true, Ordering::SeqCst);
        *lock(&self.head_since) = None;
    }

    /// Notes that the answer of a request is made.
    pub(crate) fn end_request(&self) {
        self.is_serving.store(false, Ordering::SeqCst);
    }

    /// Returns whether the library refused the headers of a request.
    pub(crate) fn is_broken(&self) -> bool {
        self.is_broken.load(Ordering::SeqCst)
    }

    /// Waits until headers have been incomplete for at least `timeout`.
    pub(crate) async fn slow_head(&self, timeout: Duration) {
        wait_for_age(&self.head_since, timeout).await;
    }

    /// Waits until the caller has taken nothing of an answer for at least `timeout`.
    pub(crate) async fn stalled_write(&self, timeout: Duration) {
        wait_for_age(&self.write_since, timeout).await;
    }

    /// Notes whether the caller took something of an answer.
    pub(crate) fn note_write(&self, is_pending: bool) {
        let mut write_since = lock(&self.write_since);
        *write_since = is_pending.then(|| write_since.unwrap_or_else(Instant::now));
    }

    fn note_read(&self) {
        if !self.is_serving() {
            lock(&self.head_since).get_or_insert_with(Instant::now);
        }
    }
}

/// Waits until the instant in `since` is there and at least `age` old.
async fn wait_for_age(since: &Mutex<Option<Instant>>, age: Duration) {
    loop {
        let began = *lock(since);
        match began {
            Some(began) if began.elapsed() >= age => return,
            Some(began) => Timer::at(began + age).await,
            None => Timer::after(age / 2).await,
        };
    }
}

fn lock(since: &Mutex<Option<Instant>>) -> MutexGuard<'_, Option<Instant>> {
    since.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The socket of a caller. It holds back the library's own answers to broken headers, which have
/// no body, so that the entry can give its own.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: CallerSocket,
    watch: Arc<StreamWatch>,
}

impl CallerStream {
    /// Wraps a socket.
    pub(crate) fn new(stream: CallerSocket, watch: Arc<StreamWatch>) -> Self {
        Self { stream, watch }
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
            self.watch.note_read();
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
        if is_library_refusal(buffer) {
            self.watch.is_broken.store(true, Ordering::SeqCst);
            return Poll::Ready(Ok(buffer.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.watch.is_broken() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Returns whether these bytes are a refusal without a body. The entry's own all have one.
fn is_library_refusal(bytes: &[u8]) -> bool {
    const EMPTY_BODY: &[u8] = b"content-length: 0\r\n";
    bytes.starts_with(b"HTTP/1.1 4")
        && bytes.windows(EMPTY_BODY.len()).any(|window| window == EMPTY_BODY)
}

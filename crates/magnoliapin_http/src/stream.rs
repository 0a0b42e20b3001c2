//! Streams that record the progress of a connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

use crate::ConnectionMonitor;
use crate::LimitReason;

/// A TCP socket that records blocked writes. It is below TLS and its buffers.
#[derive(Clone, Debug)]
pub struct MonitoredSocket {
    stream: TcpStream,
    monitor: Arc<ConnectionMonitor>,
}

impl MonitoredSocket {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, monitor: Arc<ConnectionMonitor>) -> Self {
        Self { stream, monitor }
    }
}

impl AsyncRead for MonitoredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for MonitoredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.monitor.record_write(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// A stream under `hyper` that records what is received, and ends when a limit has ended the
/// connection.
#[derive(Debug)]
pub struct MonitoredStream<S> {
    stream: S,
    monitor: Arc<ConnectionMonitor>,
    /// Whether the server writes its own refusals of invalid heads.
    replaces_refusals: bool,
}

impl<S> MonitoredStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S, monitor: Arc<ConnectionMonitor>) -> Self {
        Self { stream, monitor, replaces_refusals: false }
    }

    /// Discards the responses of `hyper` to invalid heads, for a server that writes its own. Every
    /// other response of such a server has a body.
    #[must_use]
    pub fn with_own_refusals(mut self) -> Self {
        self.replaces_refusals = true;
        self
    }

    /// Returns whether a refusal of the head is still to be written.
    fn keeps_open(&self) -> bool {
        let reason = self.monitor.end_reason();
        self.monitor.has_invalid_head()
            || matches!(reason, Some(LimitReason::LargeHead | LimitReason::SlowHead))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.monitor.end_reason().is_some() {
            return Poll::Ready(Ok(0));
        }
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = result {
            if bytes > 0 {
                self.monitor.record_read(bytes);
                if self.monitor.end_reason().is_some() {
                    return Poll::Ready(Ok(0));
                }
            }
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replaces_refusals && is_hyper_refusal(buffer) {
            self.monitor.record_invalid_head();
            return Poll::Ready(Ok(buffer.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.keeps_open() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Returns whether `bytes` are a refusal by `hyper`, which has no body.
fn is_hyper_refusal(bytes: &[u8]) -> bool {
    const EMPTY_BODY: &[u8] = b"content-length: 0\r\n";
    bytes.starts_with(b"HTTP/1.1 4")
        && bytes.windows(EMPTY_BODY.len()).any(|window| window == EMPTY_BODY)
}

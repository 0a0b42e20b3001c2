//! Caller socket, with or without TLS.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use futures_rustls::server::TlsStream;
use futures_rustls::TlsAcceptor;
use magnoliapin_http::ConnectionMonitor;
use magnoliapin_http::MonitoredSocket;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

/// Caller socket, with or without TLS. Clones share the connection.
#[derive(Clone, Debug)]
pub(crate) enum CallerSocket {
    /// Plain text.
    Plain(MonitoredSocket),
    /// A TLS session.
    Secure(Arc<Mutex<TlsStream<MonitoredSocket>>>),
}

impl CallerSocket {
    /// Creates a plain-text socket.
    pub(crate) fn plain(stream: TcpStream, monitor: Arc<ConnectionMonitor>) -> Self {
        Self::Plain(MonitoredSocket::new(stream, monitor))
    }

    /// Performs the TLS handshake on a socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails.
    pub(crate) async fn secure(
        stream: TcpStream,
        monitor: Arc<ConnectionMonitor>,
        acceptor: TlsAcceptor,
    ) -> io::Result<Self> {
        let session = acceptor.accept(MonitoredSocket::new(stream, monitor)).await?;
        Ok(Self::Secure(Arc::new(Mutex::new(session))))
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_read(context, buffer),
            Self::Secure(session) => Pin::new(&mut *lock(session)).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_write(context, buffer),
            Self::Secure(session) => Pin::new(&mut *lock(session)).poll_write(context, buffer),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_flush(context),
            Self::Secure(session) => Pin::new(&mut *lock(session)).poll_flush(context),
        }
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_close(context),
            Self::Secure(session) => Pin::new(&mut *lock(session)).poll_close(context),
        }
    }
}

fn lock(session: &Mutex<TlsStream<MonitoredSocket>>) -> MutexGuard<'_, TlsStream<MonitoredSocket>> {
    session.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The socket of a caller, with or without TLS.

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
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

use crate::caller::stream::StreamWatch;

/// The socket of a caller, with or without TLS. Clones share the connection.
#[derive(Clone, Debug)]
pub(crate) enum CallerSocket {
    /// Plain text.
    Plain(WatchedSocket),
    /// A TLS session.
    Secure(Arc<Mutex<TlsStream<WatchedSocket>>>),
}

impl CallerSocket {
    /// Makes a socket of plain text.
    pub(crate) fn plain(stream: TcpStream, watch: Arc<StreamWatch>) -> Self {
        Self::Plain(WatchedSocket { stream, watch })
    }

    /// Makes a TLS session on a socket.
    ///
    /// # Errors
    ///
    /// Returns why the handshake failed.
    pub(crate) async fn secure(
        stream: TcpStream,
        watch: Arc<StreamWatch>,
        acceptor: TlsAcceptor,
    ) -> io::Result<Self> {
        let session = acceptor.accept(WatchedSocket { stream, watch }).await?;
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

fn lock(session: &Mutex<TlsStream<WatchedSocket>>) -> MutexGuard<'_, TlsStream<WatchedSocket>> {
    session.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A TCP socket whose stalled writes are noted, below TLS and its buffers.
#[derive(Clone, Debug)]
pub(crate) struct WatchedSocket {
    stream: TcpStream,
    watch: Arc<StreamWatch>,
}

impl AsyncRead for WatchedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.watch.note_write(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

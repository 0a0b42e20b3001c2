//! The open connections of one server.

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

use indexmap::IndexMap;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;
use smol::Task;

/// Most silenced connections that are kept open; the oldest is closed first.
const MAX_SILENCED: usize = 256;

/// Knows every open connection and can silence or drop them.
pub(crate) struct ConnectionBoard {
    limit: usize,
    is_open: AtomicBool,
    connections: Mutex<ConnectionMap>,
}

#[derive(Default)]
struct ConnectionMap {
    last_number: u64,
    open: IndexMap<u64, OpenConnection>,
}

struct OpenConnection {
    silence: SilenceFlag,
    task: Task<()>,
}

/// Tells a connection to make no further progress.
pub(crate) type SilenceFlag = Arc<AtomicBool>;

/// A stream that never becomes ready again once it is silenced.
pub(crate) struct SilentStream {
    stream: TcpStream,
    silence: SilenceFlag,
}

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionBoard {
    /// Makes a board for at most `limit` connections that are not silenced.
    pub(crate) fn new(limit: usize) -> Self {
        let connections = Mutex::new(ConnectionMap::default());
        Self { limit, is_open: AtomicBool::new(true), connections }
    }

    /// Allows or refuses new connections.
    pub(crate) fn set_open(&self, is_open: bool) {
        self.is_open.store(is_open, Ordering::SeqCst);
    }

    /// Adds a connection that `serve` makes, unless no more are allowed.
    pub(crate) fn add(&self, serve: impl FnOnce(u64, SilenceFlag) -> Task<()>) {
        let mut connections = lock(&self.connections);
        let speaking = connections.open.values().filter(|connection| !connection.is_silent());
        if speaking.count() >= self.limit || !self.is_open.load(Ordering::SeqCst) {
            return;
        }
        connections.last_number += 1;
        let number = connections.last_number;
        let silence = SilenceFlag::default();
        let task = serve(number, Arc::clone(&silence));
        connections.open.insert(number, OpenConnection { silence, task });
    }

    /// Forgets a connection that has ended.
    pub(crate) fn remove(&self, number: u64) {
        if let Some(connection) = lock(&self.connections).open.shift_remove(&number) {
            connection.task.detach();
        }
    }

    /// Silences every open connection but one.
    pub(crate) fn silence_all_but(&self, spared: Option<u64>) {
        let mut connections = lock(&self.connections);
        for (number, connection) in &connections.open {
            if Some(*number) != spared {
                connection.silence.store(true, Ordering::SeqCst);
            }
        }
        connections.drop_excess_silent();
    }

    /// Drops every connection.
    pub(crate) async fn drop_all(&self) {
        for task in self.take_all() {
            task.cancel().await;
        }
    }

    /// Takes the tasks of every connection.
    pub(crate) fn take_all(&self) -> Vec<Task<()>> {
        let open = std::mem::take(&mut lock(&self.connections).open);
        open.into_values().map(|connection| connection.task).collect()
    }

    /// Returns how many connections are open and not silenced.
    pub(crate) fn speaking(&self) -> usize {
        let connections = lock(&self.connections);
        connections.open.values().filter(|connection| !connection.is_silent()).count()
    }
}

impl ConnectionMap {
    fn drop_excess_silent(&mut self) {
        let silent = self.open.values().filter(|connection| connection.is_silent()).count();
        let mut excess = silent.saturating_sub(MAX_SILENCED);
        self.open.retain(|_, connection| {
            let is_dropped = excess > 0 && connection.is_silent();
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }
}

impl OpenConnection {
    fn is_silent(&self) -> bool {
        self.silence.load(Ordering::SeqCst)
    }
}

impl SilentStream {
    /// Wraps a stream.
    pub(crate) fn new(stream: TcpStream, silence: SilenceFlag) -> Self {
        Self { stream, silence }
    }

    fn stream(&mut self) -> Option<Pin<&mut TcpStream>> {
        let is_silent = self.silence.load(Ordering::SeqCst);
        (!is_silent).then(|| Pin::new(&mut self.stream))
    }
}

impl AsyncRead for SilentStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().map_or(Poll::Pending, |stream| stream.poll_read(context, buffer))
    }
}

impl AsyncWrite for SilentStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().map_or(Poll::Pending, |stream| stream.poll_write(context, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().map_or(Poll::Pending, |stream| stream.poll_flush(context))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().map_or(Poll::Pending, |stream| stream.poll_close(context))
    }
}

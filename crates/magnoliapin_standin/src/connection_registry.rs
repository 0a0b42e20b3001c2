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

/// Maximum number of stalled connections kept open; the oldest is closed first.
const MAX_STALLED: usize = 256;

/// Tracks the open connections of a server and can stall or cancel them.
pub(crate) struct ConnectionRegistry {
    limit: usize,
    is_accepting: AtomicBool,
    connections: Mutex<ConnectionMap>,
}

#[derive(Default)]
struct ConnectionMap {
    last_id: u64,
    open: IndexMap<u64, OpenConnection>,
}

struct OpenConnection {
    flag: StallFlag,
    task: Task<()>,
}

/// Stops all further progress of a connection when set.
pub(crate) type StallFlag = Arc<AtomicBool>;

/// A stream that stays pending for good once its flag is set.
pub(crate) struct StallableStream {
    stream: TcpStream,
    flag: StallFlag,
}

/// Locks a mutex, ignoring poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionRegistry {
    /// Creates a registry for at most `limit` connections; stalled ones do not count.
    pub(crate) fn new(limit: usize) -> Self {
        let connections = Mutex::new(ConnectionMap::default());
        Self { limit, is_accepting: AtomicBool::new(true), connections }
    }

    /// Sets whether new connections are accepted.
    pub(crate) fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.store(is_accepting, Ordering::SeqCst);
    }

    /// Registers the connection task that `serve` spawns.
    ///
    /// Drops `serve`, and with it the connection, if the registry is full or not accepting.
    pub(crate) fn add(&self, serve: impl FnOnce(u64, StallFlag) -> Task<()>) {
        let mut connections = lock(&self.connections);
        let active = connections.open.values().filter(|connection| !connection.is_stalled());
        if active.count() >= self.limit || !self.is_accepting.load(Ordering::SeqCst) {
            return;
        }
        connections.last_id += 1;
        let id = connections.last_id;
        let flag = StallFlag::default();
        let task = serve(id, Arc::clone(&flag));
        connections.open.insert(id, OpenConnection { flag, task });
    }

    /// Removes a finished connection.
    ///
    /// Detaches its task, because the task itself makes this call.
    pub(crate) fn remove(&self, id: u64) {
        if let Some(connection) = lock(&self.connections).open.shift_remove(&id) {
            connection.task.detach();
        }
    }

    /// Stalls every open connection except one.
    pub(crate) fn stall_all_except(&self, except: Option<u64>) {
        let mut connections = lock(&self.connections);
        for (id, connection) in &connections.open {
            if Some(*id) != except {
                connection.flag.store(true, Ordering::SeqCst);
            }
        }
        connections.drop_excess_stalled();
    }

    /// Cancels every connection.
    pub(crate) async fn cancel_all(&self) {
        for task in self.take_all() {
            task.cancel().await;
        }
    }

    /// Removes every connection and returns their tasks.
    pub(crate) fn take_all(&self) -> Vec<Task<()>> {
        let open = std::mem::take(&mut lock(&self.connections).open);
        open.into_values().map(|connection| connection.task).collect()
    }

    /// Returns the number of open connections that are not stalled.
    pub(crate) fn active_count(&self) -> usize {
        let connections = lock(&self.connections);
        connections.open.values().filter(|connection| !connection.is_stalled()).count()
    }
}

impl ConnectionMap {
    fn drop_excess_stalled(&mut self) {
        let stalled = self.open.values().filter(|connection| connection.is_stalled()).count();
        let mut excess = stalled.saturating_sub(MAX_STALLED);
        self.open.retain(|_, connection| {
            let is_dropped = excess > 0 && connection.is_stalled();
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }
}

impl OpenConnection {
    fn is_stalled(&self) -> bool {
        self.flag.load(Ordering::SeqCst)
    }
}

impl StallableStream {
    /// Wraps a stream.
    pub(crate) fn new(stream: TcpStream, flag: StallFlag) -> Self {
        Self { stream, flag }
    }

    fn stream(&mut self) -> Option<Pin<&mut TcpStream>> {
        let is_stalled = self.flag.load(Ordering::SeqCst);
        (!is_stalled).then(|| Pin::new(&mut self.stream))
    }
}

impl AsyncRead for StallableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().map_or(Poll::Pending, |stream| stream.poll_read(context, buffer))
    }
}

impl AsyncWrite for StallableStream {
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

//! Serves the requests of other nodes.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::future;
use indexmap::IndexMap;
use magnoliapin_http::BytePriority;
use magnoliapin_http::ClientLimits;
use magnoliapin_http::ClientRegistry;
use magnoliapin_http::ConnectionSlot;
use magnoliapin_http::MonitoredSocket;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::PeerId;
use magnoliapin_site::NodeSettings;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::Async;
use smol::LocalExecutor;
use smol::Timer;

use crate::frame;
use crate::frame::FrameGate;

#[cfg(test)]
#[path = "peer_server_tests.rs"]
mod tests;

/// Delay after an accept error, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of replies queued on a connection; further replies are dropped.
const MAX_QUEUED_REPLIES: usize = 4_096;

/// Number of queued events above which no more frames are read, so that they wait in the buffers of
/// their senders.
const MAX_QUEUED_EVENTS: usize = 4_096;
/// Largest number of connections of other nodes; several times the nodes of the largest sites.
const MAX_CONNECTIONS: usize = 512;
/// Share of the descriptors for connections of other nodes.
const DESCRIPTOR_SHARE: usize = 16;
/// Share of the memory for the frames of other nodes.
const FRAME_SHARE: usize = 16;
/// Time limit for a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a node that waits for memory for a frame tries again.
const ADMIT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Receives the requests of other nodes and sends the replies.
#[derive(Debug)]
pub(crate) struct PeerServer {
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<NodeEvent>,
    /// Open connections; those that have sent a valid frame are evicted only if they are
    /// unused.
    pub(crate) registry: Arc<ClientRegistry>,
    last_peer: Cell<u64>,
    pending: RefCell<IndexMap<PeerId, ReplyRoute>>,
}

/// The connection and the number of a request, to which its reply is sent.
#[derive(Debug)]
struct ReplyRoute {
    frames: Sender<Vec<u8>>,
    /// Number of the request on its connection.
    number: u64,
}

impl PeerServer {
    /// Creates a server without connections.
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, events: Sender<NodeEvent>) -> Self {
        let registry = Arc::new(ClientRegistry::new(ClientLimits::default()));
        Self { executor, events, registry, last_peer: Cell::new(0), pending: RefCell::default() }
    }

    /// Sets the limits of a machine.
    #[must_use]
    pub(crate) fn with_machine(mut self, settings: &NodeSettings) -> Self {
        let memory_bytes = settings.memory_mb as usize * 1024 * 1024;
        let connections = settings.max_descriptors as usize / DESCRIPTOR_SHARE;
        let limits = ClientLimits {
            connections: connections.clamp(1, MAX_CONNECTIONS),
            all_body_bytes: (memory_bytes / FRAME_SHARE) as u64,
            body_timeout: FRAME_TIMEOUT,
            ..ClientLimits::default()
        };
        self.registry = Arc::new(ClientRegistry::new(limits));
        self
    }

    /// Sends a reply to the node that waits for it.
    pub(crate) fn send_reply(&self, peer: PeerId, reply: PeerReply) {
        if let Some(route) = self.pending.borrow_mut().swap_remove(&peer) {
            // Dropped if the connection is closed or its queue is full; the requester then uses the
            // store.
            if route.frames.len() < MAX_QUEUED_REPLIES {
                let _ = route.frames.try_send(frame::encode(&(route.number, reply)));
            }
        }
    }

    /// Accepts connections for as long as the process runs.
    pub(crate) async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let stream = TcpStream::from(stream);
                    // Without a slot, all connections belong to nodes.
                    if let Some(slot) = self.registry.register(stream.clone()) {
                        let server = Rc::clone(&self);
                        self.executor.spawn(server.serve(stream, slot)).detach();
                    }
                    self.registry.settle().await;
                }
                Err(error) => {
                    log::warn!("event=accept_failed error={:?}", error.to_string());
                    self.registry.evict_slowest();
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, slot: ConnectionSlot) {
        // Without `TCP_NODELAY`, small replies wait for the acknowledgement of the other node.
        let _ = stream.set_nodelay(true);
        let stream = MonitoredSocket::new(stream, Arc::clone(slot.monitor()));
        // A bounded channel would allocate its whole queue for each connection.
        let (sender, receiver) = async_channel::unbounded::<Vec<u8>>();
        let mut writer = stream.clone();
        let write = self.executor.spawn(async move {
            while let Ok(frame) = receiver.recv().await {
                if writer.write_all(&frame).await.is_err() {
                    return;
                }
            }
        });
        let mut reader = stream;
        let mut buffer = Vec::new();
        let gate = PeerGate(&slot);
        while let Ok((number, request)) =
            frame::read_gated::<(u64, PeerRequest)>(&mut reader, &mut buffer, &gate).await
        {
            slot.release();
            slot.monitor().finish_request();
            slot.monitor().trust();
            let peer = PeerId(self.last_peer.get() + 1);
            self.last_peer.set(peer.0);
            let route = ReplyRoute { frames: sender.clone(), number };
            self.pending.borrow_mut().insert(peer, route);
            // Fails only after the node has stopped.
            let _ = self.events.try_send(NodeEvent::PeerRequest(peer, request));
            while self.events.len() > MAX_QUEUED_EVENTS {
                future::yield_now().await;
            }
        }
        write.cancel().await;
    }
}

/// Counts the bytes of frames before they are read.
struct PeerGate<'a>(&'a ConnectionSlot);

impl FrameGate for PeerGate<'_> {
    fn start(&self) {
        self.0.monitor().start_body();
    }

    fn record(&self, bytes: usize) {
        self.0.monitor().record_read(bytes);
    }

    async fn admit(&self, bytes: usize) -> io::Result<()> {
        loop {
            let is_trusted = self.0.monitor().is_trusted();
            let priority = if is_trusted { BytePriority::Reserved } else { BytePriority::Shared };
            if self.0.reserve(bytes as u64, priority) {
                return Ok(());
            }
            // Only a node waits for memory; its calls would fail if its connection were closed.
            if !is_trusted || self.0.monitor().end_reason().is_some() {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            Timer::after(ADMIT_RETRY_DELAY).await;
        }
    }
}

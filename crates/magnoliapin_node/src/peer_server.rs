//! Serves the requests of other nodes.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use indexmap::IndexMap;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::PeerId;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use smol::io::AsyncWriteExt;
use smol::Async;
use smol::LocalExecutor;
use smol::Timer;

use crate::frame;

#[cfg(test)]
#[path = "peer_server_tests.rs"]
mod tests;

/// Delay after an accept error, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of replies queued on a connection; further replies are dropped.
const MAX_QUEUED_REPLIES: usize = 4_096;

/// Receives the requests of other nodes and sends the replies.
#[derive(Debug)]
pub(crate) struct PeerServer {
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<NodeEvent>,
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
        Self { executor, events, last_peer: Cell::new(0), pending: RefCell::default() }
    }

    /// Sends a reply to the node that waits for it.
    pub(crate) fn send_reply(&self, peer: PeerId, reply: PeerReply) {
        if let Some(route) = self.pending.borrow_mut().swap_remove(&peer) {
            // Dropped if the connection is closed or its queue is full; the requester then uses the
            // store.
            let _ = route.frames.try_send(frame::encode(&(route.number, reply)));
        }
    }

    /// Accepts connections for as long as the process runs.
    pub(crate) async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = Rc::clone(&self);
                    self.executor.spawn(server.serve(stream)).detach();
                }
                Err(error) => {
                    log::warn!("event=accept_failed error={:?}", error.to_string());
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        // Without `TCP_NODELAY`, small replies wait for the acknowledgement of the other node.
        let _ = stream.get_ref().set_nodelay(true);
        let stream = smol::net::TcpStream::from(stream);
        let (sender, receiver) = async_channel::bounded::<Vec<u8>>(MAX_QUEUED_REPLIES);
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
        while let Ok((number, request)) =
            frame::read::<(u64, PeerRequest)>(&mut reader, &mut buffer).await
        {
            let peer = PeerId(self.last_peer.get() + 1);
            self.last_peer.set(peer.0);
            let route = ReplyRoute { frames: sender.clone(), number };
            self.pending.borrow_mut().insert(peer, route);
            // Fails only after the node has stopped.
            let _ = self.events.try_send(NodeEvent::PeerRequest(peer, request));
        }
        write.cancel().await;
    }
}

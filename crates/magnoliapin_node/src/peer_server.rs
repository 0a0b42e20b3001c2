//! Takes the requests of other nodes.

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

/// Pause after an error of the listening socket, such as too few file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Answers that may wait for a node that does not read them; then its connection is closed.
const MOST_WAITING: usize = 4_096;

/// Takes the requests of other nodes.
#[derive(Debug)]
pub(crate) struct PeerServer {
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<NodeEvent>,
    last_peer: Cell<u64>,
    waiting: RefCell<IndexMap<PeerId, AnswerRoute>>,
}

/// Where the answer to a request goes.
#[derive(Debug)]
struct AnswerRoute {
    frames: Sender<Vec<u8>>,
    /// Number of the request on its connection.
    number: u64,
}

impl PeerServer {
    /// Makes a server without connections.
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, events: Sender<NodeEvent>) -> Self {
        Self { executor, events, last_peer: Cell::new(0), waiting: RefCell::default() }
    }

    /// Hands an answer to the node that waits for it.
    pub(crate) fn answer(&self, peer: PeerId, reply: PeerReply) {
        if let Some(route) = self.waiting.borrow_mut().swap_remove(&peer) {
            // A node that has gone, or reads nothing, asks the store.
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
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        // Without it small answers would wait for the other side's acknowledgement.
        let _ = stream.get_ref().set_nodelay(true);
        let stream = smol::net::TcpStream::from(stream);
        let (sender, receiver) = async_channel::bounded::<Vec<u8>>(MOST_WAITING);
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
            let route = AnswerRoute { frames: sender.clone(), number };
            self.waiting.borrow_mut().insert(peer, route);
            // Nobody is left to be told once the node has stopped.
            let _ = self.events.try_send(NodeEvent::PeerRequest(peer, request));
        }
        write.cancel().await;
    }
}

//! Sends requests to other nodes.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::LocalExecutor;
use smol::Task;

use crate::call_deadlines::CallDeadlines;
use crate::frame;

/// Maximum number of requests queued on a connection; a further request fails and drops the
/// connection.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Sends requests to other nodes, over one connection to each.
#[derive(Clone, Debug)]
pub(crate) struct PeerClient {
    executor: Rc<LocalExecutor<'static>>,
    deadlines: CallDeadlines,
    connections: Rc<RefCell<IndexMap<SocketAddr, Rc<PeerConnection>>>>,
}

/// A connection to another node.
#[derive(Debug)]
struct PeerConnection {
    sender: Sender<Vec<u8>>,
    last_number: Cell<u64>,
    /// Requests that wait for a reply, by number.
    pending: Rc<RefCell<IndexMap<u64, Sender<PeerReply>>>>,
    is_closed: Rc<Cell<bool>>,
    _tasks: (Task<()>, Task<()>),
}

impl PeerClient {
    /// Creates a client without connections.
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, deadlines: CallDeadlines) -> Self {
        Self { executor, deadlines, connections: Rc::default() }
    }

    /// Makes a call that fails at `deadline`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        deadline: Moment,
    ) -> PeerReply {
        let deadline = self.deadlines.add(deadline);
        let exchange = async {
            let Ok(connection) = self.connect(address).await else {
                return PeerReply::Failed(CallFailure::NotDone);
            };
            let reply = connection.send_request(&request).await;
            if reply.is_none() {
                self.remove_connection(address, &connection);
            }
            reply.unwrap_or(PeerReply::Failed(CallFailure::Unknown))
        };
        let expired = async {
            deadline.await;
            // The connection may be unresponsive, so the next call opens a new one.
            self.connections.borrow_mut().swap_remove(&address);
            PeerReply::Failed(CallFailure::Unknown)
        };
        exchange.or(expired).await
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Rc<PeerConnection>> {
        let existing = self.connections.borrow().get(&address).cloned();
        if let Some(connection) = existing.filter(|existing| !existing.is_closed.get()) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let connection = Rc::new(PeerConnection::new(&stream, &self.executor));
        self.connections.borrow_mut().insert(address, Rc::clone(&connection));
        Ok(connection)
    }

    fn remove_connection(&self, address: SocketAddr, connection: &Rc<PeerConnection>) {
        let mut connections = self.connections.borrow_mut();
        if connections.get(&address).is_some_and(|existing| Rc::ptr_eq(existing, connection)) {
            connections.swap_remove(&address);
        }
    }
}

impl PeerConnection {
    fn new(stream: &TcpStream, executor: &Rc<LocalExecutor<'static>>) -> Self {
        let (sender, receiver) = async_channel::bounded::<Vec<u8>>(MAX_QUEUED_REQUESTS);
        let pending: Rc<RefCell<IndexMap<u64, Sender<PeerReply>>>> = Rc::default();
        let mut writer = stream.clone();
        let write = executor.spawn(async move {
            while let Ok(frame) = receiver.recv().await {
                if writer.write_all(&frame).await.is_err() {
                    return;
                }
            }
        });
        let mut reader = stream.clone();
        let reader_pending = Rc::clone(&pending);
        let is_closed: Rc<Cell<bool>> = Rc::default();
        let closed = Rc::clone(&is_closed);
        let read = executor.spawn(async move {
            let mut buffer = Vec::new();
            while let Ok((number, reply)) =
                frame::read::<(u64, PeerReply)>(&mut reader, &mut buffer).await
            {
                if let Some(sender) = reader_pending.borrow_mut().swap_remove(&number) {
                    let _ = sender.try_send(reply);
                }
            }
            closed.set(true);
            // Drops the senders, so that the pending requests fail.
            reader_pending.borrow_mut().clear();
        });
        Self { sender, last_number: Cell::new(0), pending, is_closed, _tasks: (write, read) }
    }

    /// Sends a request and waits for its reply; `None` if the connection is closed or its queue is
    /// full.
    async fn send_request(&self, request: &PeerRequest) -> Option<PeerReply> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (sender, receiver) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(number, sender);
        self.sender.try_send(frame::encode(&(number, request))).ok()?;
        receiver.recv().await.ok()
    }
}

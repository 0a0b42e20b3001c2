//! HTTP server for clients and for the readiness check of the platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use indexmap::IndexMap;
use magnoliapin_http::linger;
use magnoliapin_http::read_body;
use magnoliapin_http::BodyError;
use magnoliapin_http::ByteCharge;
use magnoliapin_http::ClientLimits;
use magnoliapin_http::ClientRegistry;
use magnoliapin_http::ConnectionSlot;
use magnoliapin_http::LimitReason;
use magnoliapin_http::MonitoredSocket;
use magnoliapin_http::MonitoredStream;
use magnoliapin_scheduler::ClientId;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_site::ClientReply;
use magnoliapin_site::HttpRequest;
use magnoliapin_site::HttpResponse;
use magnoliapin_site::NodeSettings;
use magnoliapin_site::RequestLimits;
use magnoliapin_site::SiteProtocol;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::Async;
use smol::LocalExecutor;
use smol::Timer;
use smol_hyper::rt::FuturesIo;

/// Delay after an accept error, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;
/// Range of the limit on the size of heads; outside it, no client would be served, or few heads
/// would take all the memory.
const HEADER_BYTES: (usize, usize) = (1024, 1024 * 1024);
/// Shortest time limit for a head; a head of several packets needs about as long.
const MIN_HEADER_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest number of connections to the readiness address; the platform needs one.
const READINESS_CONNECTIONS: usize = 32;
/// Maximum total size of bodies on the readiness address, in bytes; a check has none.
const READINESS_BODY_BYTES: u64 = 64 * 1024;
/// Time limit for a body; much longer than the usual deadline of a client.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time in seconds after which a client that was refused for lack of memory may try again. The
/// delays from 1 second on are given in turn, so that a crowd does not return at once.
const MAX_RETRY_AFTER_SECONDS: u32 = 3;

/// State shared by all connections.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) protocol: Rc<dyn SiteProtocol>,
    pub(crate) events: Sender<NodeEvent>,
    /// Whether the readiness check succeeds.
    pub(crate) is_ready: Cell<bool>,
    /// Whether connections close after their next response.
    pub(crate) is_closing: Cell<bool>,
    /// Number of requests that are being served.
    pub(crate) active_requests: Cell<usize>,
    /// Open connections of clients.
    pub(crate) clients: Arc<ClientRegistry>,
    /// Open connections to the readiness address, which do not count towards those of clients.
    pub(crate) readiness: Arc<ClientRegistry>,
    memory_bytes: usize,
    max_descriptors: usize,
    request_limits: Cell<RequestLimits>,
    /// Requests that wait for a reply.
    pending: RefCell<IndexMap<ClientId, PendingReply>>,
    last_client: Cell<u64>,
    /// Number of delays that were given to refused clients.
    given_delays: Cell<u32>,
}

/// A request that waits for a reply.
#[derive(Debug)]
struct PendingReply {
    sender: Sender<ClientReply>,
    /// The request counts until its reply, also if its client disconnects.
    _charge: ByteCharge,
}

impl ServerState {
    /// Creates the state of a server without connections.
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        protocol: Rc<dyn SiteProtocol>,
        events: Sender<NodeEvent>,
        settings: &NodeSettings,
    ) -> Self {
        let memory_bytes = settings.memory_mb as usize * 1024 * 1024;
        let max_descriptors = settings.max_descriptors as usize;
        let request_limits = RequestLimits::default();
        let limits = client_limits(&request_limits).with_machine(memory_bytes, max_descriptors);
        Self {
            clients: Arc::new(ClientRegistry::new(limits)),
            readiness: Arc::new(ClientRegistry::new(readiness_limits(limits))),
            memory_bytes,
            max_descriptors,
            request_limits: Cell::new(request_limits),
            executor,
            protocol,
            events,
            is_ready: Cell::new(false),
            is_closing: Cell::new(false),
            active_requests: Cell::new(0),
            pending: RefCell::default(),
            last_client: Cell::new(0),
            given_delays: Cell::new(0),
        }
    }

    /// Returns the delay in seconds after which a refused client may return.
    fn next_retry_after(&self) -> u32 {
        let given = self.given_delays.get().wrapping_add(1);
        self.given_delays.set(given);
        1 + given % MAX_RETRY_AFTER_SECONDS
    }

    /// Applies the limits of a configuration, also to bodies that are being received.
    pub(crate) fn set_request_limits(&self, request_limits: RequestLimits) {
        if self.request_limits.replace(request_limits) != request_limits {
            let limits = client_limits(&request_limits)
                .with_machine(self.memory_bytes, self.max_descriptors);
            self.clients.set_limits(limits);
            self.readiness.set_limits(readiness_limits(limits));
        }
    }

    /// Passes a reply to the request that waits for it.
    pub(crate) fn send_reply(&self, client: ClientId, reply: ClientReply) {
        if let Some(pending) = self.pending.borrow_mut().swap_remove(&client) {
            // Fails only if the request was dropped because the client disconnected.
            let _ = pending.sender.try_send(reply);
        }
    }

    /// Accepts connections for as long as the process runs.
    pub(crate) async fn accept(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        registry: Arc<ClientRegistry>,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let mut stream = TcpStream::from(stream);
                    if let Some(slot) = registry.register(stream.clone()) {
                        let state = Rc::clone(&self);
                        self.executor.spawn(state.serve(stream, slot)).detach();
                    } else {
                        // All connections have a request in progress.
                        let refusal =
                            raw_refusal(LimitReason::ConnectionRefused, self.next_retry_after());
                        let _ = future::poll_once(stream.write_all(refusal.as_bytes())).await;
                    }
                    registry.settle().await;
                }
                Err(error) => {
                    log::warn!("event=accept_failed error={:?}", error.to_string());
                    registry.evict_slowest();
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, slot: ConnectionSlot) {
        // Without `TCP_NODELAY`, small responses wait for the acknowledgement of the client.
        let _ = stream.set_nodelay(true);
        let limits = slot.registry().limits();
        let monitor = Arc::clone(slot.monitor());
        let mut socket = MonitoredSocket::new(stream.clone(), Arc::clone(&monitor));
        let io = MonitoredStream::new(socket.clone(), Arc::clone(&monitor));
        let client = ClientConnection { slot: &slot, has_refused_body: Cell::new(false) };
        let (state, client_ref) = (&self, &client);
        let service = service_fn(|request| async move {
            Ok::<_, Infallible>(state.respond(request, client_ref).await)
        });
        // An error concerns only this client's connection, which is closed then.
        let result = http1::Builder::new()
            .max_headers(MAX_HEADERS)
            .max_header_size(limits.header_bytes)
            .max_buf_size(limits.read_buffer_bytes())
            .serve_connection(FuturesIo::new(io), service)
            .await;
        if let Err(error) = &result {
            slot.record_error(error);
        }
        let reason = monitor.end_reason();
        if let Some(reason) = slot.head_refusal() {
            // Does not wait: a refusal is smaller than the socket's buffer.
            let refusal = raw_refusal(reason, self.next_retry_after());
            let _ = future::poll_once(socket.write_all(refusal.as_bytes())).await;
        }
        let is_refused = result.is_err() || reason.is_some() || client.has_refused_body.get();
        if is_refused && !reason.is_some_and(LimitReason::is_eviction) {
            linger(socket, stream, &monitor).await;
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection<'_>,
    ) -> Response<Full<Bytes>> {
        let monitor = client.slot.monitor();
        monitor.start_request();
        let _active = ActiveRequest::new(&self.active_requests);
        let site_response = self.handle_request(request, client).await;
        let mut response = Response::builder().status(site_response.status);
        for (name, value) in site_response.headers {
            response = response.header(name, value);
        }
        // A connection keeps the limit on heads under which it was opened.
        let header_bytes = client_limits(&self.request_limits.get()).header_bytes;
        let has_old_limit = monitor.header_bytes() != header_bytes;
        if self.is_closing.get() || has_old_limit {
            response = response.header(header::CONNECTION, "close");
        }
        monitor.finish_request();
        response.body(Full::from(site_response.body)).unwrap_or_default()
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection<'_>,
    ) -> HttpResponse {
        let (head, body) = request.into_parts();
        let body = match read_body(body, client.slot).await {
            Ok(body) => body,
            Err(error) => {
                client.has_refused_body.set(true);
                return body_refusal(error, self.next_retry_after());
            }
        };
        let headers: Vec<(String, String)> = head
            .headers
            .iter()
            .filter_map(|(name, value)| {
                Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
            })
            .collect();
        let request = HttpRequest {
            method: head.method.as_str(),
            path: head.uri.path(),
            headers: &headers,
            body: body.bytes(),
        };
        if self.protocol.is_readiness_check(&request) {
            let status = if self.is_ready.get() { 200 } else { 503 };
            return HttpResponse { status, ..HttpResponse::default() };
        }
        match self.protocol.decode_request(&request) {
            Ok(request) => {
                let charge = body.into_charge();
                let client = ClientId(self.last_client.get() + 1);
                self.last_client.set(client.0);
                let (sender, receiver) = async_channel::bounded(1);
                let pending = PendingReply { sender, _charge: charge };
                self.pending.borrow_mut().insert(client, pending);
                let event = NodeEvent::Client(client, Box::new(request));
                let _ = self.events.try_send(event);
                let reply = receiver.recv().await.unwrap_or(ClientReply::OutcomeUnknown);
                self.protocol.encode_reply(&reply)
            }
            Err(response) => response,
        }
    }
}

/// A connection of a client.
struct ClientConnection<'a> {
    slot: &'a ConnectionSlot,
    /// Whether a body was refused, so that the client may still be sending it.
    has_refused_body: Cell<bool>,
}

/// Counts a request as active until it is dropped, also if its client disconnects.
struct ActiveRequest<'a>(&'a Cell<usize>);

impl<'a> ActiveRequest<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the limits of clients' connections under a configuration.
fn client_limits(limits: &RequestLimits) -> ClientLimits {
    ClientLimits {
        header_bytes: limits.header_bytes.clamp(HEADER_BYTES.0, HEADER_BYTES.1),
        header_count: MAX_HEADERS,
        header_timeout: limits.header_timeout.max(MIN_HEADER_TIMEOUT),
        body_bytes: limits.body_bytes as u64,
        body_timeout: BODY_TIMEOUT,
        idle_timeout: limits.idle_timeout,
        ..ClientLimits::default()
    }
}

/// Returns the limits of the readiness address, which takes a small part of the memory.
fn readiness_limits(limits: ClientLimits) -> ClientLimits {
    let connections = limits.connections.min(READINESS_CONNECTIONS);
    ClientLimits { connections, all_body_bytes: READINESS_BODY_BYTES, ..limits }
}

/// Returns the response to a request whose body was not read. The request has not run.
fn body_refusal(error: BodyError, retry_after: u32) -> HttpResponse {
    let status = match error {
        BodyError::Limited(reason) => reason.status().0,
        BodyError::Malformed => 400,
    };
    let mut headers = vec![("connection", "close".to_owned())];
    if status == 503 {
        headers.push(("retry-after", retry_after.to_string()));
    }
    HttpResponse { status, headers, ..HttpResponse::default() }
}

/// Returns the response to a head or a connection that is refused.
fn raw_refusal(reason: LimitReason, retry_after: u32) -> String {
    let (status, phrase) = reason.status();
    let retry =
        if status == 503 { format!("retry-after: {retry_after}\r\n") } else { String::new() };
    format!("HTTP/1.1 {status} {phrase}\r\ncontent-length: 0\r\n{retry}connection: close\r\n\r\n")
}

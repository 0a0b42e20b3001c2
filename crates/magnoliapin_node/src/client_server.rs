//! HTTP server for clients and for the readiness check of the platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use indexmap::IndexMap;
use magnoliapin_scheduler::ClientId;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_site::ClientReply;
use magnoliapin_site::HttpRequest;
use magnoliapin_site::HttpResponse;
use magnoliapin_site::SiteProtocol;
use smol::Async;
use smol::LocalExecutor;
use smol::Timer;
use smol_hyper::rt::FuturesIo;

/// Delay after an accept error, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of a request body, in bytes. The limits in the configuration of the site are not
/// enforced here.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

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
    /// Requests that wait for a reply.
    pending: RefCell<IndexMap<ClientId, Sender<ClientReply>>>,
    last_client: Cell<u64>,
}

impl ServerState {
    /// Creates the state of a server without connections.
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        protocol: Rc<dyn SiteProtocol>,
        events: Sender<NodeEvent>,
    ) -> Self {
        Self {
            executor,
            protocol,
            events,
            is_ready: Cell::new(false),
            is_closing: Cell::new(false),
            active_requests: Cell::new(0),
            pending: RefCell::default(),
            last_client: Cell::new(0),
        }
    }

    /// Passes a reply to the request that waits for it.
    pub(crate) fn send_reply(&self, client: ClientId, reply: ClientReply) {
        if let Some(sender) = self.pending.borrow_mut().swap_remove(&client) {
            // Fails only if the request was dropped because the client disconnected.
            let _ = sender.try_send(reply);
        }
    }

    /// Accepts connections for as long as the process runs.
    pub(crate) async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let state = Rc::clone(&self);
                    self.executor.spawn(state.serve(stream)).detach();
                }
                Err(error) => {
                    log::warn!("event=accept_failed error={:?}", error.to_string());
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        // Without `TCP_NODELAY`, small responses wait for the acknowledgement of the client.
        let _ = stream.get_ref().set_nodelay(true);
        let state = Rc::clone(&self);
        let service = service_fn(move |request| {
            let state = Rc::clone(&state);
            async move { Ok::<_, Infallible>(state.respond(request).await) }
        });
        // An error concerns only this client's connection, which is closed then.
        let _ = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
    }

    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.active_requests.set(self.active_requests.get() + 1);
        let site_response = self.handle_request(request).await;
        self.active_requests.set(self.active_requests.get() - 1);
        let mut response = Response::builder().status(site_response.status);
        for (name, value) in site_response.headers {
            response = response.header(name, value);
        }
        if self.is_closing.get() {
            response = response.header(header::CONNECTION, "close");
        }
        response.body(Full::from(site_response.body)).unwrap_or_default()
    }

    async fn handle_request(&self, request: Request<Incoming>) -> HttpResponse {
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return HttpResponse { status: 413, ..HttpResponse::default() };
        };
        let body = body.to_bytes();
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
            body: &body,
        };
        if self.protocol.is_readiness_check(&request) {
            let status = if self.is_ready.get() { 200 } else { 503 };
            return HttpResponse { status, ..HttpResponse::default() };
        }
        match self.protocol.decode_request(&request) {
            Ok(request) => {
                let client = ClientId(self.last_client.get() + 1);
                self.last_client.set(client.0);
                let (sender, receiver) = async_channel::bounded(1);
                self.pending.borrow_mut().insert(client, sender);
                let event = NodeEvent::Client(client, Box::new(request));
                let _ = self.events.try_send(event);
                let reply = receiver.recv().await.unwrap_or(ClientReply::OutcomeUnknown);
                self.protocol.encode_reply(&reply)
            }
            Err(response) => response,
        }
    }
}

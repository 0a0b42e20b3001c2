//! Serves clients, and the platform's question whether the node is ready.

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
use magnoliapin_site::ClientAnswer;
use magnoliapin_site::HttpAnswer;
use magnoliapin_site::HttpRequest;
use magnoliapin_site::SiteProtocol;
use smol::Async;
use smol::LocalExecutor;
use smol::Timer;
use smol_hyper::rt::FuturesIo;

/// Pause after an error of a listening socket, such as too few file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest body, in bytes; the configuration of a site sets a lower bound.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// What all connections share.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) protocol: Rc<dyn SiteProtocol>,
    pub(crate) events: Sender<NodeEvent>,
    /// Whether new connections are welcome.
    pub(crate) is_ready: Cell<bool>,
    /// Whether connections close after their next answer.
    pub(crate) is_closing: Cell<bool>,
    /// Requests that are being served.
    pub(crate) serving: Cell<usize>,
    waiting: RefCell<IndexMap<ClientId, Sender<ClientAnswer>>>,
    last_client: Cell<u64>,
}

impl ServerState {
    /// Makes the state of a server without connections.
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
            serving: Cell::new(0),
            waiting: RefCell::default(),
            last_client: Cell::new(0),
        }
    }

    /// Hands an answer to the client that waits for it.
    pub(crate) fn answer(&self, client: ClientId, answer: ClientAnswer) {
        if let Some(sender) = self.waiting.borrow_mut().swap_remove(&client) {
            // A client that has gone needs no answer.
            let _ = sender.try_send(answer);
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
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        // Without it small answers would wait for the client's acknowledgement.
        let _ = stream.get_ref().set_nodelay(true);
        let state = Rc::clone(&self);
        let service = service_fn(move |request| {
            let state = Rc::clone(&state);
            async move { Ok::<_, Infallible>(state.respond(request).await) }
        });
        // An error here is the client's, which has gone.
        let _ = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
    }

    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.serving.set(self.serving.get() + 1);
        let answer = self.answer_request(request).await;
        self.serving.set(self.serving.get() - 1);
        let mut response = Response::builder().status(answer.status);
        for (name, value) in answer.headers {
            response = response.header(name, value);
        }
        if self.is_closing.get() {
            response = response.header(header::CONNECTION, "close");
        }
        response.body(Full::from(answer.body)).unwrap_or_default()
    }

    async fn answer_request(&self, request: Request<Incoming>) -> HttpAnswer {
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, BODY_BYTES).collect().await else {
            return HttpAnswer { status: 413, ..HttpAnswer::default() };
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
        if self.protocol.is_ready_check(&request) {
            let status = if self.is_ready.get() { 200 } else { 503 };
            return HttpAnswer { status, ..HttpAnswer::default() };
        }
        match self.protocol.read_request(&request) {
            Ok(request) => {
                let client = ClientId(self.last_client.get() + 1);
                self.last_client.set(client.0);
                let (sender, receiver) = async_channel::bounded(1);
                self.waiting.borrow_mut().insert(client, sender);
                let event = NodeEvent::Client(client, Box::new(request));
                let _ = self.events.try_send(event);
                let answer = receiver.recv().await.unwrap_or(ClientAnswer::OutcomeUnknown);
                self.protocol.write_answer(&answer)
            }
            Err(answer) => answer,
        }
    }
}

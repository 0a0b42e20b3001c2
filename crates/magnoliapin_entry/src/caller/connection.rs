//! Serves one connection of a caller.

use std::convert::Infallible;
use std::net::TcpStream as StdStream;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::future;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use magnoliapin_fleet::OperatorAnswer;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::KeyHash;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::ConfigChange;
use magnoliapin_wire::RefusalView;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::Async;
use smol::Timer;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::caller::body::HeldBody;
use crate::caller::fault::RequestFault;
use crate::caller::headers::CallerHeaders;
use crate::caller::response::body_response;
use crate::caller::response::json_response;
use crate::caller::response::raw_refusal;
use crate::caller::response::CallerReply;
use crate::caller::route::CallerRoute;
use crate::caller::socket::CallerSocket;
use crate::caller::stream::CallerStream;
use crate::caller::stream::StreamWatch;
use crate::caller::CallerShared;

/// Time in which a caller may still send what it had begun, so that it can read its answer.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes that are read and thrown away in that time.
const LINGER_BYTES: usize = 16 * 1024 * 1024;
/// Buffer of one connection, in bytes, unless the headers may be longer.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Time to write the refusal of broken or slow headers.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    shared: Arc<CallerShared>,
    stream: TcpStream,
    watch: Arc<StreamWatch>,
}

/// How the exchange on a connection ended.
enum ConnectionEnd {
    Closed,
    Broken,
    SlowHead,
    Stalled,
}

impl CallerConnection {
    /// Wraps a socket.
    pub(crate) fn new(shared: Arc<CallerShared>, stream: Async<StdStream>) -> Self {
        Self { shared, stream: TcpStream::from(stream), watch: Arc::new(StreamWatch::new()) }
    }

    /// Returns what is known of the exchange.
    pub(crate) fn watch(&self) -> &Arc<StreamWatch> {
        &self.watch
    }

    /// Serves requests until the connection ends.
    pub(crate) async fn run(self) {
        // Without it small answers would wait for the caller's acknowledgement.
        let _ = self.stream.set_nodelay(true);
        let Some(socket) = self.open().await else {
            return;
        };
        let refusal = match self.serve(&socket).await {
            ConnectionEnd::Closed => None,
            ConnectionEnd::Stalled => return,
            ConnectionEnd::Broken => Some(RequestFault::new(
                ErrorKind::BadRequest,
                "the headers are broken, too many or too long",
            )),
            ConnectionEnd::SlowHead => {
                Some(RequestFault::new(ErrorKind::SlowSender, "the headers took too long"))
            }
        };
        if let Some(refusal) = refusal {
            self.shared.metrics.count_answer(Some(refusal.kind), Duration::ZERO);
            self.write_refusal(&socket, refusal).await;
        }
        self.linger(&socket).await;
    }

    /// Tells the caller that too many connections are open.
    pub(crate) async fn refuse(self) {
        if self.shared.certificates.is_some() {
            // The answer would cost a handshake; nothing was asked yet.
            return;
        }
        let message = "too many connections are open";
        let bytes = raw_refusal(RequestFault::new(ErrorKind::Overloaded, message));
        // What the socket's buffer does not take at once is not worth waiting for.
        let _ = future::poll_once(self.stream.clone().write_all(&bytes)).await;
    }

    /// Makes the TLS session, if there is to be one, within the time for headers. Neither a
    /// planned stop nor a newer connection waits for it: nothing was asked yet.
    async fn open(&self) -> Option<CallerSocket> {
        let watch = Arc::clone(&self.watch);
        let Some(certificates) = &self.shared.certificates else {
            return Some(CallerSocket::plain(self.stream.clone(), watch));
        };
        let acceptor = certificates.acceptor();
        let handshake =
            async { CallerSocket::secure(self.stream.clone(), watch, acceptor).await.ok() };
        let timeout = async {
            Timer::after(self.shared.limits.header_timeout).await;
            None
        };
        let stopping = async {
            self.shared.draining.wait().or(self.watch.evicted()).await;
            None
        };
        let socket = handshake.or(timeout).or(stopping).await;
        if socket.is_none() {
            self.shared.metrics.count_failed_handshake();
        }
        socket
    }

    async fn serve(&self, socket: &CallerSocket) -> ConnectionEnd {
        let limits = &self.shared.limits;
        let stream = CallerStream::new(socket.clone(), Arc::clone(&self.watch));
        let service = service_fn(|request| self.respond(request));
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_headers(limits.header_count)
            .max_header_size(limits.header_bytes)
            .max_buf_size(READ_BUFFER_BYTES.max(limits.header_bytes))
            .serve_connection(FuturesIo::new(stream), service);
        let mut connection = pin!(connection);
        let stopping = async {
            self.shared.draining.wait().or(self.watch.evicted()).await;
            None
        };
        let serving = async {
            // Errors other than broken headers have nobody left to be told.
            let _ = connection.as_mut().await;
            Some(ConnectionEnd::Closed)
        };
        let stall = async { Some(self.stall().await) };
        let end = match serving.or(stall).or(stopping).await {
            Some(end) => end,
            None => {
                // A request that has begun to arrive is still answered.
                connection.as_mut().graceful_shutdown();
                let serving = async {
                    let _ = connection.await;
                    ConnectionEnd::Closed
                };
                serving.or(self.stall()).await
            }
        };
        if self.watch.is_broken() {
            return ConnectionEnd::Broken;
        }
        end
    }

    /// Waits until the caller makes no progress.
    async fn stall(&self) -> ConnectionEnd {
        let limits = &self.shared.limits;
        let slow_head = async {
            self.watch.slow_head(limits.header_timeout).await;
            ConnectionEnd::SlowHead
        };
        let stalled = async {
            self.watch.stalled_write(limits.write_timeout).await;
            ConnectionEnd::Stalled
        };
        slow_head.or(stalled).await
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let started = Instant::now();
        self.watch.begin_request();
        let reply = self.answer(request).await.unwrap_or_else(CallerReply::from);
        let mut response = reply.response;
        if self.shared.desk.state().is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        self.shared.metrics.count_answer(reply.kind, started.elapsed());
        self.watch.end_request();
        Ok(response)
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<CallerReply, RequestFault> {
        let (head, body) = request.into_parts();
        let route = CallerRoute::find(&head.method, head.uri.path())?;
        let state = self.shared.desk.state();
        let response = match route {
            CallerRoute::Health => text_response("ok\n"),
            CallerRoute::Ready if state.is_ready() => text_response("ready\n"),
            CallerRoute::Ready => {
                let message = "the entry takes no new work";
                return Err(RequestFault::new(ErrorKind::NotReady, message));
            }
            CallerRoute::Metrics => metrics_response(self.shared.metrics.text()),
            CallerRoute::Timeline => json_response(StatusCode::OK, &state.timeline().view()),
            CallerRoute::Ask(body) => {
                let headers = CallerHeaders::read(&head.headers)?;
                return Ok(self.ask(headers.key, body).await);
            }
            CallerRoute::Operate(request) => {
                let headers = CallerHeaders::read(&head.headers)?;
                return Ok(self.operate(headers.key, request).await);
            }
            CallerRoute::Run(_)
            | CallerRoute::Submit(_)
            | CallerRoute::Apply
            | CallerRoute::Fleet => {
                // The headers are checked before a body is read for nothing.
                let headers = CallerHeaders::read(&head.headers)?;
                return self.ask_with_body(headers, route, body).await;
            }
        };
        Ok(CallerReply::ok(response))
    }

    async fn ask_with_body(
        &self,
        headers: CallerHeaders,
        route: CallerRoute,
        body: Incoming,
    ) -> Result<CallerReply, RequestFault> {
        let mut held = HeldBody::read(body, &self.shared.bodies, &self.shared.limits).await?;
        let payload = held.take_bytes();
        let body = match route {
            CallerRoute::Run(queue) => {
                CallerBody::Run { queue, payload, timeout_ms: headers.timeout_ms }
            }
            CallerRoute::Submit(queue) => {
                let idempotency_key = headers.idempotency_key;
                CallerBody::Submit { queue, payload, idempotency_key }
            }
            CallerRoute::Fleet => {
                let request = read_operator(&payload)?;
                return Ok(self.operate(headers.key, request).await);
            }
            _ => CallerBody::ApplyConfig(read_change(&payload)?),
        };
        let reply = self.ask(headers.key, body).await;
        drop(held);
        Ok(reply)
    }

    async fn operate(&self, key: Option<KeyHash>, request: OperatorRequest) -> CallerReply {
        match self.shared.desk.operate(key, request).await {
            Ok(OperatorAnswer::Refused(refusal)) => {
                let view = RefusalView::new(refusal.kind(), refusal.to_string());
                CallerReply::from(CallerAnswer::Refused(view))
            }
            Ok(answer) => CallerReply::ok(json_response(StatusCode::OK, &answer)),
            Err(refusal) => CallerReply::from(CallerAnswer::Refused(*refusal)),
        }
    }

    async fn ask(&self, key: Option<KeyHash>, body: CallerBody) -> CallerReply {
        let answer = self.shared.desk.ask(CallerRequest { key, body }).await;
        CallerReply::from(answer)
    }

    async fn write_refusal(&self, socket: &CallerSocket, refusal: RequestFault) {
        let mut stream = socket.clone();
        let bytes = raw_refusal(refusal);
        let write = async {
            // A caller that is gone needs no answer.
            let _ = stream.write_all(&bytes).await;
            let _ = stream.flush().await;
        };
        let timeout = async {
            Timer::after(REFUSAL_TIME).await;
        };
        write.or(timeout).await;
    }

    /// Closes the connection so that the caller can still read its answer: bytes that are left
    /// unread would make the operating system reset the connection.
    async fn linger(&self, socket: &CallerSocket) {
        let mut socket = socket.clone();
        let mut stream = self.stream.clone();
        let discard = async {
            if socket.close().await.is_err() {
                return;
            }
            let mut buffer = vec![0; 16 * 1024];
            let mut discarded = 0;
            while discarded < LINGER_BYTES {
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(bytes) => discarded += bytes,
                }
            }
        };
        let timeout = async {
            Timer::after(LINGER_TIME).await;
        };
        discard.or(timeout).await;
    }
}

fn text_response(text: &'static str) -> Response<Full<Bytes>> {
    body_response(StatusCode::OK, "text/plain; charset=utf-8", text.as_bytes().to_vec())
}

fn metrics_response(text: String) -> Response<Full<Bytes>> {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    body_response(StatusCode::OK, content_type, text.into_bytes())
}

fn read_operator(payload: &[u8]) -> Result<OperatorRequest, RequestFault> {
    serde_json::from_slice(payload).map_err(|error| {
        let message = format!("the body is no request to the fleet: {error}");
        RequestFault::new(ErrorKind::BadRequest, message)
    })
}

fn read_change(payload: &[u8]) -> Result<ConfigChange, RequestFault> {
    serde_json::from_slice(payload).map_err(|error| {
        let message = format!("the body is no change of the configuration: {error}");
        RequestFault::new(ErrorKind::BadRequest, message)
    })
}

//! Serves one caller connection.

use std::convert::Infallible;
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
use magnoliapin_http::linger;
use magnoliapin_http::read_body;
use magnoliapin_http::BodyError;
use magnoliapin_http::ConnectionMonitor;
use magnoliapin_http::ConnectionSlot;
use magnoliapin_http::LimitReason;
use magnoliapin_http::MonitoredStream;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::KeyHash;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::ConfigChange;
use magnoliapin_wire::RefusalView;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::Timer;
use smol_hyper::rt::FuturesIo;

use crate::caller::headers::CallerHeaders;
use crate::caller::request_error::RequestError;
use crate::caller::response::body_response;
use crate::caller::response::json_response;
use crate::caller::response::raw_refusal;
use crate::caller::response::CallerReply;
use crate::caller::route::CallerRoute;
use crate::caller::socket::CallerSocket;
use crate::caller::CallerShared;
use crate::EntryLimits;

/// Time limit for writing the refusal of invalid or slow headers.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// One caller connection.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    shared: Arc<CallerShared>,
    stream: TcpStream,
    slot: ConnectionSlot,
}

/// Why serving a connection ended.
enum ConnectionEnd {
    Closed,
    InvalidHeaders,
    SlowHeaders,
    Evicted,
}

impl CallerConnection {
    /// Creates the connection for an accepted socket.
    pub(crate) fn new(shared: Arc<CallerShared>, stream: TcpStream, slot: ConnectionSlot) -> Self {
        Self { shared, stream, slot }
    }

    fn monitor(&self) -> &Arc<ConnectionMonitor> {
        self.slot.monitor()
    }

    /// Serves requests until the connection ends.
    pub(crate) async fn run(self) {
        // Nagle's algorithm would delay small responses until the caller's acknowledgement.
        let _ = self.stream.set_nodelay(true);
        let Some(socket) = self.open_socket().await else {
            return;
        };
        let refusal = match self.serve(&socket).await {
            ConnectionEnd::Closed => None,
            ConnectionEnd::Evicted => return,
            ConnectionEnd::InvalidHeaders => Some(RequestError::new(
                ErrorKind::BadRequest,
                "the headers are malformed, too many or too large",
            )),
            ConnectionEnd::SlowHeaders => Some(RequestError::new(
                ErrorKind::SlowSender,
                "the headers were not received in time",
            )),
        };
        if let Some(refusal) = refusal {
            self.shared.metrics.count_answer(Some(refusal.kind), Duration::ZERO);
            self.write_refusal(&socket, refusal).await;
        }
        linger(socket, self.stream.clone(), self.monitor()).await;
    }

    /// Performs the TLS handshake, if TLS is configured, within the timeout for headers. A planned
    /// stop or an eviction aborts the handshake, since no request has been received yet.
    async fn open_socket(&self) -> Option<CallerSocket> {
        let monitor = Arc::clone(self.monitor());
        let Some(certificates) = &self.shared.certificates else {
            return Some(CallerSocket::plain(self.stream.clone(), monitor));
        };
        let acceptor = certificates.acceptor();
        let handshake =
            async { CallerSocket::secure(self.stream.clone(), monitor, acceptor).await.ok() };
        let timeout = async {
            Timer::after(self.shared.limits.header_timeout).await;
            None
        };
        let stopping = async {
            self.shared.draining.wait().await;
            None
        };
        let socket = handshake.or(timeout).or(stopping).await;
        if socket.is_none() {
            self.shared.metrics.count_failed_handshake();
        }
        socket
    }

    async fn serve(&self, socket: &CallerSocket) -> ConnectionEnd {
        let limits = self.shared.connections.limits();
        let stream = MonitoredStream::new(socket.clone(), Arc::clone(self.monitor()));
        let service = service_fn(|request| self.respond(request));
        let connection = http1::Builder::new()
            .max_headers(limits.header_count)
            .max_header_size(limits.header_bytes)
            .max_buf_size(limits.read_buffer_bytes())
            .serve_connection(FuturesIo::new(stream.with_own_refusals()), service);
        let mut connection = pin!(connection);
        let stopping = async {
            self.shared.draining.wait().await;
            false
        };
        let serving = async {
            // After an error other than invalid headers, the caller cannot receive a response.
            if let Err(error) = connection.as_mut().await {
                self.slot.record_error(&error);
            }
            true
        };
        if !serving.or(stopping).await {
            // A request that has started to arrive is still answered.
            connection.as_mut().graceful_shutdown();
            if let Err(error) = connection.await {
                self.slot.record_error(&error);
            }
        }
        if self.monitor().has_invalid_head() {
            return ConnectionEnd::InvalidHeaders;
        }
        match self.slot.head_refusal() {
            Some(LimitReason::SlowHead) => ConnectionEnd::SlowHeaders,
            Some(_) => ConnectionEnd::InvalidHeaders,
            None if self.monitor().end_reason().is_some_and(LimitReason::is_eviction) => {
                ConnectionEnd::Evicted
            }
            None => ConnectionEnd::Closed,
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let started = Instant::now();
        self.monitor().start_request();
        let reply = self.answer(request).await.unwrap_or_else(CallerReply::from);
        let mut response = reply.response;
        if self.shared.driver.state().is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        self.shared.metrics.count_answer(reply.kind, started.elapsed());
        self.monitor().finish_request();
        Ok(response)
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<CallerReply, RequestError> {
        let (head, body) = request.into_parts();
        let route = CallerRoute::find(&head.method, head.uri.path())?;
        let state = self.shared.driver.state();
        let response = match route {
            CallerRoute::Health => text_response("ok\n"),
            CallerRoute::Ready if state.is_ready() => text_response("ready\n"),
            CallerRoute::Ready => {
                let message = "the entry is not accepting new work";
                return Err(RequestError::new(ErrorKind::NotReady, message));
            }
            CallerRoute::Metrics => metrics_response(self.shared.metrics.text()),
            CallerRoute::Timeline => json_response(StatusCode::OK, &state.timeline().view()),
            CallerRoute::Request(body) => {
                let headers = CallerHeaders::read(&head.headers)?;
                return Ok(self.forward(headers.key, body).await);
            }
            CallerRoute::Operator(request) => {
                let headers = CallerHeaders::read(&head.headers)?;
                return Ok(self.forward_operator_request(headers.key, request).await);
            }
            CallerRoute::Run(_)
            | CallerRoute::Submit(_)
            | CallerRoute::ApplyConfig
            | CallerRoute::Fleet => {
                // Invalid headers are refused before the body is read.
                let headers = CallerHeaders::read(&head.headers)?;
                return self.forward_with_body(headers, route, body).await;
            }
        };
        Ok(CallerReply::ok(response))
    }

    async fn forward_with_body(
        &self,
        headers: CallerHeaders,
        route: CallerRoute,
        body: Incoming,
    ) -> Result<CallerReply, RequestError> {
        let limits = &self.shared.limits;
        let mut buffered =
            read_body(body, &self.slot).await.map_err(|error| body_error(error, limits))?;
        let payload = buffered.take_bytes();
        let body = match route {
            CallerRoute::Run(queue) => {
                CallerBody::Run { queue, payload, timeout_ms: headers.timeout_ms }
            }
            CallerRoute::Submit(queue) => {
                let idempotency_key = headers.idempotency_key;
                CallerBody::Submit { queue, payload, idempotency_key }
            }
            CallerRoute::Fleet => {
                let request = read_operator_request(&payload)?;
                return Ok(self.forward_operator_request(headers.key, request).await);
            }
            _ => CallerBody::ApplyConfig(read_config_change(&payload)?),
        };
        let reply = self.forward(headers.key, body).await;
        drop(buffered);
        Ok(reply)
    }

    async fn forward_operator_request(
        &self,
        key: Option<KeyHash>,
        request: OperatorRequest,
    ) -> CallerReply {
        match self.shared.driver.request_operation(key, request).await {
            Ok(OperatorAnswer::Refused(refusal)) => {
                let view = RefusalView::new(refusal.kind(), refusal.to_string());
                CallerReply::from(CallerAnswer::Refused(view))
            }
            Ok(answer) => CallerReply::ok(json_response(StatusCode::OK, &answer)),
            Err(refusal) => CallerReply::from(CallerAnswer::Refused(*refusal)),
        }
    }

    async fn forward(&self, key: Option<KeyHash>, body: CallerBody) -> CallerReply {
        let answer = self.shared.driver.request(CallerRequest { key, body }).await;
        CallerReply::from(answer)
    }

    async fn write_refusal(&self, socket: &CallerSocket, refusal: RequestError) {
        let mut stream = socket.clone();
        let bytes = raw_refusal(refusal);
        let write = async {
            // Fails if the caller has disconnected.
            let _ = stream.write_all(&bytes).await;
            let _ = stream.flush().await;
        };
        let timeout = async {
            Timer::after(REFUSAL_WRITE_TIMEOUT).await;
        };
        write.or(timeout).await;
    }
}

/// Refuses a connection because too many are open.
pub(crate) async fn refuse_connection(shared: Arc<CallerShared>, mut stream: TcpStream) {
    if shared.certificates.is_some() {
        // A response would cost a handshake, and no request has been received yet.
        return;
    }
    let message = "too many connections are open";
    let bytes = raw_refusal(RequestError::new(ErrorKind::Overloaded, message));
    // Does not wait: bytes that do not fit into the socket's buffer are dropped.
    let _ = future::poll_once(stream.write_all(&bytes)).await;
}

fn body_error(error: BodyError, limits: &EntryLimits) -> RequestError {
    match error {
        BodyError::Malformed => {
            RequestError::new(ErrorKind::BadRequest, "the body is malformed or truncated")
        }
        BodyError::Limited(LimitReason::LargeBody) => {
            let message = format!("the body exceeds the limit of {} bytes", limits.body_bytes);
            RequestError::new(ErrorKind::BodyTooLarge, message)
        }
        BodyError::Limited(LimitReason::SlowBody) => {
            let message = format!("the body was not received within {:?}", limits.body_timeout);
            RequestError::new(ErrorKind::SlowSender, message)
        }
        BodyError::Limited(_) => {
            let message = "the request bodies in memory exceed the entry's limit";
            RequestError::new(ErrorKind::Overloaded, message)
        }
    }
}

fn text_response(text: &'static str) -> Response<Full<Bytes>> {
    body_response(StatusCode::OK, "text/plain; charset=utf-8", text.as_bytes().to_vec())
}

fn metrics_response(text: String) -> Response<Full<Bytes>> {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    body_response(StatusCode::OK, content_type, text.into_bytes())
}

fn read_operator_request(payload: &[u8]) -> Result<OperatorRequest, RequestError> {
    serde_json::from_slice(payload).map_err(|error| {
        let message = format!("the body is not a valid fleet request: {error}");
        RequestError::new(ErrorKind::BadRequest, message)
    })
}

fn read_config_change(payload: &[u8]) -> Result<ConfigChange, RequestError> {
    serde_json::from_slice(payload).map_err(|error| {
        let message = format!("the body is not a valid configuration change: {error}");
        RequestError::new(ErrorKind::BadRequest, message)
    })
}

//! A minimal HTTP/1.1 server with a connection limit.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::future;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::Task;
use smol::Timer;
use smol_hyper::rt::FuturesIo;

use crate::connection_registry::lock;
use crate::connection_registry::ConnectionRegistry;
use crate::connection_registry::StallFlag;
use crate::connection_registry::StallableStream;
use crate::http_response::HttpOutcome;
use crate::http_response::HttpRequest;
use crate::http_response::HttpResponse;
use crate::StandinError;

/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles requests.
pub(crate) trait HttpService: Send + Sync + 'static {
    /// Handles one request.
    fn handle(self: Arc<Self>, request: HttpRequest) -> future::Boxed<HttpOutcome>;
}

/// Listens on one address and serves every connection.
pub(crate) struct HttpServer {
    address: SocketAddr,
    registry: Arc<ConnectionRegistry>,
    accept_task: Mutex<Option<Task<()>>>,
    shutdown_sender: Sender<()>,
}

/// Makes hyper close a connection without sending a response.
#[derive(Debug)]
struct ClosedWithoutResponse;

impl std::fmt::Display for ClosedWithoutResponse {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("closed without a response")
    }
}

impl std::error::Error for ClosedWithoutResponse {}

impl HttpServer {
    /// Starts listening and serving on the smol executor.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`] if the address cannot be listened on.
    pub(crate) async fn start(
        listen: SocketAddr,
        registry: Arc<ConnectionRegistry>,
        service: Arc<dyn HttpService>,
    ) -> Result<Self, Report<StandinError>> {
        let listener = TcpListener::bind(listen)
            .await
            .change_context(StandinError::Listen)
            .attach_with(|| listen.to_string())?;
        let address = listener.local_addr().change_context(StandinError::Listen)?;
        let (shutdown_sender, shutdown) = async_channel::bounded(1);
        let accept_task = smol::spawn(accept(listener, Arc::clone(&registry), service, shutdown));
        Ok(Self { address, registry, accept_task: Mutex::new(Some(accept_task)), shutdown_sender })
    }

    /// Returns the local address of the listener.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and aborts every connection.
    pub(crate) async fn kill(&self) {
        self.close_listener().await;
        self.registry.cancel_all().await;
    }

    /// Closes the listener, waits up to `limit` for requests in progress and closes connections.
    pub(crate) async fn stop(&self, limit: Duration) {
        self.close_listener().await;
        self.shutdown_sender.close();
        let deadline = std::time::Instant::now() + limit;
        while self.registry.active_count() > 0 && std::time::Instant::now() < deadline {
            Timer::after(Duration::from_millis(5)).await;
        }
        self.registry.cancel_all().await;
    }

    async fn close_listener(&self) {
        self.registry.set_accepting(false);
        let accept_task = lock(&self.accept_task).take();
        if let Some(accept_task) = accept_task {
            accept_task.cancel().await;
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.registry.set_accepting(false);
        drop(self.registry.take_all());
    }
}

async fn accept(
    listener: TcpListener,
    registry: Arc<ConnectionRegistry>,
    service: Arc<dyn HttpService>,
    shutdown: Receiver<()>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Nagle's algorithm would delay small responses until earlier data is acknowledged.
        let _ = stream.set_nodelay(true);
        let (task_registry, service, shutdown) =
            (Arc::clone(&registry), Arc::clone(&service), shutdown.clone());
        registry.add(move |id, flag| {
            smol::spawn(async move {
                serve(stream, id, flag, service, shutdown).await;
                task_registry.remove(id);
            })
        });
    }
}

async fn serve(
    stream: TcpStream,
    id: u64,
    flag: StallFlag,
    service: Arc<dyn HttpService>,
    shutdown: Receiver<()>,
) {
    let stream = FuturesIo::new(StallableStream::new(stream, flag));
    let service = service_fn(move |request| handle_request(Arc::clone(&service), id, request));
    let mut connection = pin!(http1::Builder::new().serve_connection(stream, service));
    let completed = async {
        let _ = connection.as_mut().await;
        true
    };
    let interrupted = async {
        let _ = shutdown.recv().await;
        false
    };
    if future::or(completed, interrupted).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn handle_request(
    service: Arc<dyn HttpService>,
    connection_id: u64,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ClosedWithoutResponse> {
    let (parts, body) = request.into_parts();
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return Ok(into_hyper(response)),
    };
    let path = parts.uri.path().to_owned();
    let request = HttpRequest { connection_id, method: parts.method, path, body };
    match service.handle(request).await {
        HttpOutcome::Respond(response) => Ok(into_hyper(response)),
        HttpOutcome::Close => Err(ClosedWithoutResponse),
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, HttpResponse> {
    let read = async {
        let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
        collected.map(http_body_util::Collected::to_bytes).map_err(|error| {
            let status = if error.is::<http_body_util::LengthLimitError>() {
                StatusCode::PAYLOAD_TOO_LARGE
            } else {
                StatusCode::BAD_REQUEST
            };
            HttpResponse::error(status, &error.to_string())
        })
    };
    let timed_out = async {
        Timer::after(BODY_TIMEOUT).await;
        Err(HttpResponse::error(StatusCode::REQUEST_TIMEOUT, "timed out reading the request body"))
    };
    future::or(read, timed_out).await
}

fn into_hyper(answer: HttpResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

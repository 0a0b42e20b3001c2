//! A small HTTP/1.1 server with a limit on connections.

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

use crate::connection_board::lock;
use crate::connection_board::ConnectionBoard;
use crate::connection_board::SilenceFlag;
use crate::connection_board::SilentStream;
use crate::http_answer::HttpAnswer;
use crate::http_answer::HttpOutcome;
use crate::http_answer::HttpRequest;
use crate::StandinError;

/// Longest request body, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

const BODY_TIMEOUT: Duration = Duration::from_secs(30);
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Answers requests.
pub(crate) trait HttpService: Send + Sync + 'static {
    /// Answers one request.
    fn answer(self: Arc<Self>, request: HttpRequest) -> future::Boxed<HttpOutcome>;
}

/// Listens on one address and serves every connection.
pub(crate) struct HttpServer {
    address: SocketAddr,
    board: Arc<ConnectionBoard>,
    accepting: Mutex<Option<Task<()>>>,
    stop: Sender<()>,
}

/// Why a connection is closed without an answer.
#[derive(Debug)]
struct ClosedUnanswered;

impl std::fmt::Display for ClosedUnanswered {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("closed without an answer")
    }
}

impl std::error::Error for ClosedUnanswered {}

impl HttpServer {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`] if the address cannot be listened on.
    pub(crate) async fn start(
        listen: SocketAddr,
        board: Arc<ConnectionBoard>,
        service: Arc<dyn HttpService>,
    ) -> Result<Self, Report<StandinError>> {
        let listener = TcpListener::bind(listen)
            .await
            .change_context(StandinError::Listen)
            .attach_with(|| listen.to_string())?;
        let address = listener.local_addr().change_context(StandinError::Listen)?;
        let (stop, stopped) = async_channel::bounded(1);
        let accepting = smol::spawn(accept(listener, Arc::clone(&board), service, stopped));
        Ok(Self { address, board, accepting: Mutex::new(Some(accepting)), stop })
    }

    /// Returns the address that it listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and drops every connection.
    pub(crate) async fn kill(&self) {
        self.close_listener().await;
        self.board.drop_all().await;
    }

    /// Closes the listener, lets requests in progress finish and closes the connections.
    pub(crate) async fn stop(&self, limit: Duration) {
        self.close_listener().await;
        self.stop.close();
        let deadline = std::time::Instant::now() + limit;
        while self.board.speaking() > 0 && std::time::Instant::now() < deadline {
            Timer::after(Duration::from_millis(5)).await;
        }
        self.board.drop_all().await;
    }

    async fn close_listener(&self) {
        self.board.set_open(false);
        let accepting = lock(&self.accepting).take();
        if let Some(accepting) = accepting {
            accepting.cancel().await;
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.board.set_open(false);
        drop(self.board.take_all());
    }
}

async fn accept(
    listener: TcpListener,
    board: Arc<ConnectionBoard>,
    service: Arc<dyn HttpService>,
    stopped: Receiver<()>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY).await;
            continue;
        };
        // Without it, small answers wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let (owner, service, stopped) = (Arc::clone(&board), Arc::clone(&service), stopped.clone());
        board.add(move |number, silence| {
            smol::spawn(async move {
                serve(stream, number, silence, service, stopped).await;
                owner.remove(number);
            })
        });
    }
}

async fn serve(
    stream: TcpStream,
    number: u64,
    silence: SilenceFlag,
    service: Arc<dyn HttpService>,
    stopped: Receiver<()>,
) {
    let stream = FuturesIo::new(SilentStream::new(stream, silence));
    let service = service_fn(move |request| respond(Arc::clone(&service), number, request));
    let mut connection = pin!(http1::Builder::new().serve_connection(stream, service));
    let has_ended = async {
        let _ = connection.as_mut().await;
        true
    };
    let is_stopped = async {
        let _ = stopped.recv().await;
        false
    };
    if future::or(has_ended, is_stopped).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn respond(
    service: Arc<dyn HttpService>,
    connection: u64,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ClosedUnanswered> {
    let (parts, body) = request.into_parts();
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(answer) => return Ok(response(answer)),
    };
    let path = parts.uri.path().to_owned();
    let request = HttpRequest { connection, method: parts.method, path, body };
    match service.answer(request).await {
        HttpOutcome::Answer(answer) => Ok(response(answer)),
        HttpOutcome::Close => Err(ClosedUnanswered),
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, HttpAnswer> {
    let whole = async {
        let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
        collected.map(http_body_util::Collected::to_bytes).map_err(|error| {
            let status = if error.is::<http_body_util::LengthLimitError>() {
                StatusCode::PAYLOAD_TOO_LARGE
            } else {
                StatusCode::BAD_REQUEST
            };
            HttpAnswer::error(status, &error.to_string())
        })
    };
    let late = async {
        Timer::after(BODY_TIMEOUT).await;
        Err(HttpAnswer::error(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time"))
    };
    future::or(whole, late).await
}

fn response(answer: HttpAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

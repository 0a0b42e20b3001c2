//! A minimal HTTP/1.1 client for the registration of targets and for tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::future;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper::Method;
use hyper::Request;
use serde::Serialize;
use smol::net::TcpStream;
use smol::Task;
use smol::Timer;
use smol_hyper::rt::FuturesIo;

use crate::HttpResponse;
use crate::StandinError;

/// Default timeout of a call.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one request at a time and reuses its connection.
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    connection: Option<ClientConnection>,
}

struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
}

impl HttpClient {
    /// Creates a client that connects on its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, timeout: DEFAULT_TIMEOUT, connection: None }
    }

    /// Sets the timeout of a call, including the time to connect.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a request without a body.
    ///
    /// # Errors
    ///
    /// Returns a [`StandinError`] if there is no response in time.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
    ) -> Result<HttpResponse, Report<StandinError>> {
        self.send(method, path, Bytes::new()).await
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns a [`StandinError`] if there is no response in time.
    pub async fn call_with<T: Serialize>(
        &mut self,
        method: Method,
        path: &str,
        value: &T,
    ) -> Result<HttpResponse, Report<StandinError>> {
        let body = serde_json::to_vec(value).change_context(StandinError::Codec)?;
        self.send(method, path, body.into()).await
    }

    /// Sends a request with a binary body.
    ///
    /// # Errors
    ///
    /// Returns a [`StandinError`] if there is no response in time, and drops the connection.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<HttpResponse, Report<StandinError>> {
        let connection = self.connection.take();
        let timeout = self.timeout;
        let timed_out = async {
            Timer::after(timeout).await;
            Err(Report::new(StandinError::Timeout))
        };
        let exchange = exchange(self.address, connection, method, path, body);
        let (connection, response) = future::or(exchange, timed_out).await?;
        self.connection = Some(connection);
        Ok(response)
    }
}

async fn exchange(
    address: SocketAddr,
    connection: Option<ClientConnection>,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(ClientConnection, HttpResponse), Report<StandinError>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(body))
        .change_context(StandinError::Codec)?;
    let reusable = connection.filter(|connection| !connection.sender.is_closed());
    let mut connection = match reusable {
        Some(connection) => connection,
        None => connect(address).await?,
    };
    connection.sender.ready().await.change_context(StandinError::Connect)?;
    let response =
        connection.sender.send_request(request).await.change_context(StandinError::NoResponse)?;
    let status = response.status();
    let body = response.into_body().collect().await.change_context(StandinError::NoResponse)?;
    Ok((connection, HttpResponse { status, body: body.to_bytes() }))
}

async fn connect(address: SocketAddr) -> Result<ClientConnection, Report<StandinError>> {
    let stream = TcpStream::connect(address)
        .await
        .change_context(StandinError::Connect)
        .attach_with(|| address.to_string())?;
    stream.set_nodelay(true).change_context(StandinError::Connect)?;
    let (sender, driver) =
        http1::handshake(FuturesIo::new(stream)).await.change_context(StandinError::Connect)?;
    let driver = smol::spawn(async {
        let _ = driver.await;
    });
    Ok(ClientConnection { sender, _driver: driver })
}

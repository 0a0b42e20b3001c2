//! HTTP client of entries.

mod trust;

pub(crate) use trust::EntryTrust;

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use error_stack::Report;
use futures_lite::future;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;
use smol::Timer;
use smol_hyper::rt::FuturesIo;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Timeout of the TCP connection and of the TLS handshake, each.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to an entry, with or without TLS.
type EntryStream = Pin<Box<dyn ByteStream>>;

/// Byte stream to an entry, either TCP or TLS.
trait ByteStream: AsyncRead + AsyncWrite + Send {}

impl<T: AsyncRead + AsyncWrite + Send> ByteStream for T {}

/// One HTTP request to an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryCall {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers in addition to the authorization with the key.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Bytes,
    /// Timeout of the whole exchange once the connection is open.
    pub(crate) timeout: Duration,
}

impl EntryCall {
    /// Creates a call without a body and with a timeout of 15 s.
    pub(crate) fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(15),
        }
    }

    /// Sets the body.
    #[must_use]
    pub(crate) fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    #[must_use]
    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the timeout of the exchange.
    #[must_use]
    pub(crate) fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// Response of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryReply {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Complete body.
    pub(crate) body: Bytes,
}

/// Client that sends each call to the first reachable entry of a list, with the key of a team.
pub(crate) struct EntryClient {
    entries: Vec<SocketAddr>,
    key: Option<String>,
    trust: Option<EntryTrust>,
}

impl EntryClient {
    /// Creates a client of the entries, which are tried in order.
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries, key: None, trust: None }
    }

    /// Sets the key that authorizes each call.
    #[must_use]
    pub(crate) fn with_key(mut self, key: Option<String>) -> Self {
        self.key = key;
        self
    }

    /// Sets the trusted certificates; without them, calls are sent in plain text.
    #[must_use]
    pub(crate) fn with_trust(mut self, trust: Option<EntryTrust>) -> Self {
        self.trust = trust;
        self
    }

    /// Returns a client of another entry with the same key and trusted certificates.
    pub(crate) fn for_entry(&self, entry: SocketAddr) -> Self {
        Self { entries: vec![entry], key: self.key.clone(), trust: self.trust.clone() }
    }

    /// Calls the first entry that accepts a connection. The request is sent at most once.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unreachable`] or [`CallError::TlsFailed`] if no entry accepts a
    /// connection, and otherwise the error of the exchange.
    pub(crate) async fn call(&self, call: &EntryCall) -> Result<EntryReply, Report<CallError>> {
        let mut failure = Report::new(CallError::Unreachable);
        for entry in &self.entries {
            match self.open_stream(*entry).await {
                Ok(stream) => return self.call_with_timeout(*entry, stream, call).await,
                // A failed TLS handshake is reported in preference to an unreachable entry.
                Err(_) if *failure.current_context() == CallError::TlsFailed => {}
                Err(error) => failure = error.attach(entry.to_string()),
            }
        }
        Err(failure)
    }

    /// Connects to an entry, over TLS if trusted certificates are set.
    async fn open_stream(&self, entry: SocketAddr) -> Result<EntryStream, Report<CallError>> {
        let unreached = |error| Report::new(error).change_context(CallError::Unreachable);
        let stream = within(CONNECT_TIMEOUT, connect(entry)).await.map_err(unreached)?;
        let Some(trust) = &self.trust else {
            return Ok(Box::pin(stream));
        };
        let session = within(CONNECT_TIMEOUT, trust.handshake(entry, stream)).await;
        let insecure = |error| Report::new(error).change_context(CallError::TlsFailed);
        Ok(Box::pin(session.map_err(insecure)?))
    }

    async fn call_with_timeout(
        &self,
        entry: SocketAddr,
        stream: EntryStream,
        call: &EntryCall,
    ) -> Result<EntryReply, Report<CallError>> {
        let deadline = async {
            Timer::after(call.timeout).await;
            Err(Report::new(CallError::TimedOut).attach(entry.to_string()))
        };
        self.round_trip(entry, stream, call).or(deadline).await
    }

    async fn round_trip(
        &self,
        entry: SocketAddr,
        stream: EntryStream,
        call: &EntryCall,
    ) -> Result<EntryReply, Report<CallError>> {
        let request = self.build_request(entry, call)?;
        let broken = |error| Report::new(error).change_context(CallError::ConnectionFailed);
        let (mut sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(broken)?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(broken)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| {
                Report::new(CallError::ConnectionFailed).attach(error.to_string())
            })?;
            Ok(EntryReply { status, body: body.to_bytes() })
        };
        // Stays pending after the connection ends: its channel then closes, which makes the
        // exchange return the error.
        let driver = async {
            let _ = connection.await;
            future::pending().await
        };
        exchange.or(driver).await
    }

    fn build_request(
        &self,
        entry: SocketAddr,
        call: &EntryCall,
    ) -> Result<Request<Full<Bytes>>, Report<CallError>> {
        let mut builder = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(header::HOST, entry.to_string());
        if let Some(key) = &self.key {
            builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in &call.headers {
            builder = builder.header(*name, value);
        }
        // The cause is omitted because it may contain the key.
        builder.body(Full::new(call.body.clone())).map_err(|_| Report::new(CallError::Malformed))
    }
}

async fn within<T>(
    timeout: Duration,
    attempt: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let deadline = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    attempt.or(deadline).await
}

async fn connect(entry: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(entry).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reason why a call returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No entry accepted a connection; the call was not sent.
    Unreachable,
    /// An entry accepted a connection, but the TLS handshake failed; the call was not sent.
    TlsFailed,
    /// The key or a header is not valid in HTTP; the call was not sent.
    Malformed,
    /// The connection failed, possibly after the call had been sent.
    ConnectionFailed,
    /// The response did not arrive before the timeout.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "no entry can be reached",
            Self::TlsFailed => {
                "no TLS session with the entry: it shows no trusted certificate or speaks no TLS"
            }
            Self::Malformed => "the key or a header contains characters that HTTP does not allow",
            Self::ConnectionFailed => "the connection broke after the call had been sent",
            Self::TimedOut => "the answer did not come in time",
        })
    }
}

impl std::error::Error for CallError {}

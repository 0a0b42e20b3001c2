//! Calls an entry over HTTP.

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

/// Longest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to an entry, with or without TLS.
type EntryStream = Pin<Box<dyn EntrySocket>>;

/// What a connection to an entry can do.
trait EntrySocket: AsyncRead + AsyncWrite + Send {}

impl<T: AsyncRead + AsyncWrite + Send> EntrySocket for T {}

/// One call of an entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryCall {
    /// Method.
    pub(crate) method: Method,
    /// Path with its query.
    pub(crate) path: String,
    /// Headers besides the key.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Bytes,
    /// Longest wait for the whole answer.
    pub(crate) timeout: Duration,
}

impl EntryCall {
    /// Makes a call without a body.
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

    /// Sets the longest wait for the whole answer.
    #[must_use]
    pub(crate) fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// What an entry answered.
#[derive(Clone, Debug)]
pub(crate) struct EntryReply {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Whole body.
    pub(crate) body: Bytes,
}

/// Calls one of several entries with the key of a team.
pub(crate) struct EntryClient {
    entries: Vec<SocketAddr>,
    key: Option<String>,
    trust: Option<EntryTrust>,
}

impl EntryClient {
    /// Makes a client of the entries, which are tried in order.
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries, key: None, trust: None }
    }

    /// Sets the key that goes with each call.
    #[must_use]
    pub(crate) fn with_key(mut self, key: Option<String>) -> Self {
        self.key = key;
        self
    }

    /// Sets the certificate to trust; without one calls go in plain text.
    #[must_use]
    pub(crate) fn with_trust(mut self, trust: Option<EntryTrust>) -> Self {
        self.trust = trust;
        self
    }

    /// Makes a client of another entry with the same key and trust.
    pub(crate) fn at(&self, entry: SocketAddr) -> Self {
        Self { entries: vec![entry], key: self.key.clone(), trust: self.trust.clone() }
    }

    /// Calls the first entry that takes a connection. Nothing is sent twice.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotReached`] or [`CallError::NotSecure`] if no entry takes a
    /// connection, else what went wrong after the call had been sent.
    pub(crate) async fn call(&self, call: &EntryCall) -> Result<EntryReply, Report<CallError>> {
        let mut failure = Report::new(CallError::NotReached);
        for entry in &self.entries {
            match self.open(*entry).await {
                Ok(stream) => return self.exchange(*entry, stream, call).await,
                // An entry that cannot be trusted says more than one that is gone.
                Err(_) if *failure.current_context() == CallError::NotSecure => {}
                Err(error) => failure = error.attach(entry.to_string()),
            }
        }
        Err(failure)
    }

    /// Connects to an entry, over TLS if there is a certificate to trust.
    async fn open(&self, entry: SocketAddr) -> Result<EntryStream, Report<CallError>> {
        let unreached = |error| Report::new(error).change_context(CallError::NotReached);
        let stream = within(CONNECT_TIMEOUT, connect(entry)).await.map_err(unreached)?;
        let Some(trust) = &self.trust else {
            return Ok(Box::pin(stream));
        };
        let session = within(CONNECT_TIMEOUT, trust.open(entry, stream)).await;
        let insecure = |error| Report::new(error).change_context(CallError::NotSecure);
        Ok(Box::pin(session.map_err(insecure)?))
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        stream: EntryStream,
        call: &EntryCall,
    ) -> Result<EntryReply, Report<CallError>> {
        let deadline = async {
            Timer::after(call.timeout).await;
            Err(Report::new(CallError::TimedOut).attach(entry.to_string()))
        };
        self.converse(entry, stream, call).or(deadline).await
    }

    async fn converse(
        &self,
        entry: SocketAddr,
        stream: EntryStream,
        call: &EntryCall,
    ) -> Result<EntryReply, Report<CallError>> {
        let request = self.request(entry, call)?;
        let broken = |error| Report::new(error).change_context(CallError::Broken);
        let (mut sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(broken)?;
        let exchange = async {
            let answer = sender.send_request(request).await.map_err(broken)?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body =
                body.map_err(|error| Report::new(CallError::Broken).attach(error.to_string()))?;
            Ok(EntryReply { status, body: body.to_bytes() })
        };
        // The exchange ends by itself once the connection has: its channel closes.
        let driver = async {
            let _ = connection.await;
            future::pending().await
        };
        exchange.or(driver).await
    }

    fn request(
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
        // The cause is left out: it may hold the key.
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

/// Why a call of an entry has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No entry took a connection; nothing was sent.
    NotReached,
    /// An entry took a connection, but no TLS session could be made; nothing was sent.
    NotSecure,
    /// The key or a header cannot be sent over HTTP; nothing was sent.
    Malformed,
    /// The connection broke after the call had been sent.
    Broken,
    /// The answer did not come in time.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotReached => "no entry can be reached",
            Self::NotSecure => {
                "no TLS session with the entry: it shows no trusted certificate or speaks no TLS"
            }
            Self::Malformed => "the key or a header holds characters that HTTP does not allow",
            Self::Broken => "the connection broke after the call had been sent",
            Self::TimedOut => "the answer did not come in time",
        })
    }
}

impl std::error::Error for CallError {}

//! One HTTP/1.1 connection that calls are made on.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper::Request;
use magnoliapin_site::CallFailure;
use magnoliapin_site::HttpAnswer;
use magnoliapin_site::HttpCall;
use rustix::net::sockopt;
use smol::net::TcpStream;
use smol::LocalExecutor;
use smol::Task;
use smol_hyper::rt::FuturesIo;

/// Longest answer, in bytes: the store sends at most one mebibyte of rows, encoded as text.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// An open connection with the task that drives it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket; nothing has been sent then.
    pub(crate) async fn open(
        address: SocketAddr,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        // Closing resets the connection, so that a call which was given up is not delivered later
        // by a path that heals.
        sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
        let (sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = executor.spawn(async move {
            // The exchange in progress reports the same error.
            let _ = connection.await;
        });
        Ok(Self { sender, _driver: driver })
    }

    /// Returns whether the connection can take another call.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have been carried out. The connection must be dropped then.
    pub(crate) async fn exchange(
        &mut self,
        address: SocketAddr,
        call: HttpCall,
    ) -> Result<HttpAnswer, CallFailure> {
        if self.sender.ready().await.is_err() {
            return Err(CallFailure::NotDone);
        }
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(header::HOST, address.to_string());
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::from(call.body)).map_err(|_| CallFailure::NotDone)?;
        let response = self.sender.send_request(request).await.map_err(|_| CallFailure::Unknown)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
        let body = body.map_err(|_| CallFailure::Unknown)?.to_bytes();
        Ok(HttpAnswer { status, headers: Vec::new(), body: body.into() })
    }
}

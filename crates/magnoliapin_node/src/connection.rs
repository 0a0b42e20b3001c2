//! An outgoing HTTP/1.1 connection.

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
use magnoliapin_site::HttpCall;
use magnoliapin_site::HttpResponse;
use rustix::net::sockopt;
use smol::net::TcpStream;
use smol::LocalExecutor;
use smol::Task;
use smol_hyper::rt::FuturesIo;

/// Maximum size of a response body, in bytes; the store sends at most one mebibyte of rows, which
/// is larger when encoded as text.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// An open connection with the task that drives it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or of the HTTP handshake; no request has been sent then.
    pub(crate) async fn open(
        address: SocketAddr,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        // With zero linger, closing resets the connection, so that an abandoned call is not
        // delivered after a network partition heals.
        sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
        let (sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
        let driver = executor.spawn(async move {
            // The call in progress returns the same error.
            let _ = connection.await;
        });
        Ok(Self { sender, _driver: driver })
    }

    /// Returns whether the connection is still open for another call.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Makes a call and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the call may have been carried out. The connection must
    /// be dropped then.
    pub(crate) async fn exchange(
        &mut self,
        address: SocketAddr,
        call: HttpCall,
    ) -> Result<HttpResponse, CallFailure> {
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
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_| CallFailure::Unknown)?.to_bytes();
        Ok(HttpResponse { status, headers: Vec::new(), body: body.into() })
    }
}

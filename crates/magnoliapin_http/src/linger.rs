//! The end of a connection, and the kernel's buffers.

use std::net::TcpListener;
use std::time::Duration;

use futures_lite::FutureExt;
use rustix::net::sockopt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWrite;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::Timer;

use crate::ConnectionMonitor;

/// Longest time for which unread bytes are discarded before the socket is dropped.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes discarded before the socket is dropped.
const MAX_LINGER_BYTES: usize = 16 * 1024 * 1024;

/// Closes the sending side of `socket`, then discards what the client still sends. Unread bytes
/// would make the operating system reset the connection, and the client could not read its
/// response.
pub async fn linger(
    mut socket: impl AsyncWrite + Unpin,
    mut stream: TcpStream,
    monitor: &ConnectionMonitor,
) {
    monitor.start_closing();
    let discard = async {
        if socket.close().await.is_err() {
            return;
        }
        let mut buffer = vec![0; 4 * 1024];
        let mut discarded = 0;
        while discarded < MAX_LINGER_BYTES {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(bytes) => discarded += bytes,
            }
        }
    };
    let timeout = async {
        Timer::after(LINGER_TIMEOUT).await;
    };
    discard.or(timeout).await;
}

/// Limits the kernel's buffers of the connections that a listener accepts from now on.
pub fn set_socket_buffers(listener: &TcpListener, bytes: usize) {
    let received = sockopt::set_socket_recv_buffer_size(listener, bytes);
    let sent = sockopt::set_socket_send_buffer_size(listener, bytes);
    if let Err(error) = received.and(sent) {
        log::warn!("event=socket_buffers_unchanged error={:?}", error.to_string());
    }
}

//! Datagrams between entries.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use smol::net::UdpSocket;
use smol::Async;

use crate::CallFuture;

/// Sends and receives datagrams, which may be lost, duplicated or reordered.
pub trait PeerTransport: Send + Sync + fmt::Debug {
    /// Returns the address that other entries send to.
    fn local_address(&self) -> SocketAddr;

    /// Sends a datagram.
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        datagram: &'a [u8],
    ) -> CallFuture<'a, io::Result<()>>;

    /// Waits for a datagram; returns its length and the sender's address.
    fn receive<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> CallFuture<'a, io::Result<(usize, SocketAddr)>>;
}

/// Datagrams over UDP.
#[derive(Debug)]
pub struct UdpTransport {
    socket: UdpSocket,
    address: SocketAddr,
}

impl UdpTransport {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the socket cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::from(Async::<std::net::UdpSocket>::bind(address)?);
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }
}

impl PeerTransport for UdpTransport {
    fn local_address(&self) -> SocketAddr {
        self.address
    }

    fn send<'a>(
        &'a self,
        address: SocketAddr,
        datagram: &'a [u8],
    ) -> CallFuture<'a, io::Result<()>> {
        Box::pin(async move { self.socket.send_to(datagram, address).await.map(drop) })
    }

    fn receive<'a>(
        &'a self,
        buffer: &'a mut [u8],
    ) -> CallFuture<'a, io::Result<(usize, SocketAddr)>> {
        Box::pin(self.socket.recv_from(buffer))
    }
}

//! The UDP socket for messages between routers. Datagrams may get lost on any network: failures are logged only.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// A longer datagram is truncated.
pub(super) const MAX_DATAGRAM_BYTES: usize = 2048;

/// The socket for messages between routers.
pub(super) struct PeerSocket(Rc<UdpSocket>);

/// A datagram, and the address that it came from.
pub(super) struct Datagram {
    pub(super) from: SocketAddr,
    pub(super) bytes: Vec<u8>,
}

impl PeerSocket {
    pub(super) fn new(socket: Rc<UdpSocket>) -> PeerSocket {
        PeerSocket(socket)
    }

    /// The next datagram, read into `buffer` and copied from there; None where there is none, or none can be read.
    pub(super) fn receive(&self, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) -> Option<Datagram> {
        let (count, from) = self.0.recv_from(buffer).ok()?;
        Some(Datagram { from, bytes: buffer[..count].to_vec() })
    }

    /// Sends a datagram once.
    pub(super) fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.0.send_to(bytes, to) {
            tracing::debug!(%to, %error, "datagram not sent");
        }
    }
}

/// Binds the socket at `address`.
pub(super) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

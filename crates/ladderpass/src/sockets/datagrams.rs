//! The UDP socket for messages between routers. Datagrams may get lost on any network, so a failure to send is only
//! logged.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// The maximum number of bytes that are received of a datagram. The rest of a longer datagram is lost.
pub(super) const MAX_DATAGRAM_BYTES: usize = 2048;

/// The UDP socket for messages between routers.
pub(super) struct PeerSocket(Rc<UdpSocket>);

/// A received datagram, and the address of its sender.
pub(super) struct Datagram {
    pub(super) from: SocketAddr,
    pub(super) bytes: Vec<u8>,
}

impl PeerSocket {
    pub(super) fn new(socket: Rc<UdpSocket>) -> PeerSocket {
        PeerSocket(socket)
    }

    /// Returns the next datagram that was received, or `None` if no datagram is waiting or the call failed. `buffer` is
    /// overwritten.
    pub(super) fn receive(&self, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) -> Option<Datagram> {
        let (count, from) = self.0.recv_from(buffer).ok()?;
        Some(Datagram { from, bytes: buffer[..count].to_vec() })
    }

    /// Sends a datagram, and does not retry if the call fails.
    pub(super) fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.0.send_to(bytes, to) {
            tracing::debug!(%to, %error, "datagram not sent");
        }
    }
}

/// Opens a non-blocking UDP socket that is bound to `address`.
pub(super) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

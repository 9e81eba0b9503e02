//! Finds free loopback addresses for routers to listen on.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports from which [`free_loopback_address`] chooses. They are below the range of ephemeral ports, so that the kernel does not
/// assign a chosen port to another socket before the router has started.
const PORTS: Range<u32> = 15_000..32_000;
const MAX_PORT_TRIES: usize = 64;

/// Returns a loopback address whose port is free for TCP and for UDP. The address depends on the id of this process, so that
/// concurrent processes of the testbed choose different addresses.
///
/// # Errors
/// If none of `MAX_PORT_TRIES` candidates is free.
pub fn free_loopback_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let pid = std::process::id();
    let mut last_error = None;
    for _ in 0..MAX_PORT_TRIES {
        let index = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + pid.wrapping_mul(509).wrapping_add(index) % (PORTS.end - PORTS.start);
        let address = format!("127.{}.{}.{}:{port}", 1 + pid / 250 % 250, pid % 250, 1 + index % 250);
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        match check_free(address) {
            Ok(()) => return Ok(address),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| io::Error::other("no port is free")))
}

/// Checks that an address is free for TCP and for UDP. The TCP socket is bound, but does not listen: a child process that
/// another thread starts inherits the socket until its exec, and an inherited listener would accept connections that no
/// process serves.
fn check_free(address: SocketAddr) -> io::Result<()> {
    let stream = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Like the router's listener, this socket has SO_REUSEADDR set. Bound sockets with that option do not block each other
    // while none of them listens.
    stream.set_reuse_address(true)?;
    stream.bind(&address.into())?;
    UdpSocket::bind(address).map(drop)
}

//! Free loopback addresses for routers to listen on.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU32, Ordering};

/// Below the range of ephemeral ports, so that the system gives none away between its choice and a router's start.
const PORTS: Range<u32> = 15_000..32_000;
const MAX_PORT_TRIES: usize = 64;

/// A loopback address whose port is free for TCP and for UDP. It depends on this process's id, so that other processes of
/// the testbed choose others.
///
/// # Errors
/// If none of several candidates is free.
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

/// Checks that an address is free for TCP and for UDP. It is bound and never listened on: a child process that another
/// thread starts inherits the socket until its exec, and a listener would accept connections that nobody serves.
fn check_free(address: SocketAddr) -> io::Result<()> {
    let stream = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // The router sets it too: then bound sockets don't block each other while none listens.
    stream.set_reuse_address(true)?;
    stream.bind(&address.into())?;
    UdpSocket::bind(address).map(drop)
}

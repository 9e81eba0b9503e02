//! System calls that fail for a moment: which errors pass, and what is done once more when they have.
//!
//! It owns that distinction, and what waits for another try. It must never make a call itself, nor decide what becomes
//! of an RPC.

use crate::reducer::ConnectionId;
use nix::errno::Errno;
use std::io;
use std::net::TcpStream;

/// What a call that failed for a moment left undone.
#[derive(Debug, Default)]
pub struct Postponed {
    /// Connections that have something to be read, or written.
    pub reads: Vec<ConnectionId>,
    pub writes: Vec<ConnectionId>,
    /// Clients' connections that could not be watched yet.
    pub accepted: Vec<(ConnectionId, TcpStream)>,
}

impl Postponed {
    pub fn is_empty(&self) -> bool {
        self.reads.is_empty() && self.writes.is_empty() && self.accepted.is_empty()
    }
}

/// Does an error on an open connection say that the kernel had no memory for the call? The connection itself is sound.
pub fn is_passing(fault: &io::Error) -> bool {
    matches!(errno(fault), Some(Errno::ENOMEM | Errno::ENOBUFS | Errno::EINTR))
}

/// Is it for want of descriptors, ports or memory? Anything else is that one connection's fault, which ended while it
/// waited, or the other side's.
pub fn is_short(fault: &io::Error) -> bool {
    use Errno::{EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC};
    matches!(errno(fault), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC | EADDRNOTAVAIL))
}

/// May an error of the start pass? Of descriptors and memory others may give some back, and an address that is in use may
/// be that of a process that is about to end.
pub fn passes_at_start(fault: &io::Error) -> bool {
    let address = matches!(errno(fault), Some(Errno::EADDRNOTAVAIL));
    !address && (is_short(fault) || is_passing(fault) || matches!(errno(fault), Some(Errno::EADDRINUSE)))
}

fn errno(fault: &io::Error) -> Option<Errno> {
    fault.raw_os_error().map(Errno::from_raw)
}

//! Errors of system calls: which ones are transient, so that the call is worth making again.

use nix::errno::Errno;
use std::io;

/// Whether an error on an open connection says only that the kernel had no memory for the call, or that a signal came:
/// the connection itself is sound.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(errno(error), Some(Errno::ENOMEM | Errno::ENOBUFS | Errno::EINTR))
}

/// Whether descriptors, ports or memory are used up. Any other error of an accept or a connect is that one
/// connection's, which ended while it waited, or the other side's.
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    use Errno::{EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC};
    matches!(errno(error), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC | EADDRNOTAVAIL))
}

/// Whether a start that failed may succeed later: other processes may release descriptors and memory, and an address
/// that is in use may belong to a process that is about to end.
pub fn is_transient_at_start(error: &io::Error) -> bool {
    let address = matches!(errno(error), Some(Errno::EADDRNOTAVAIL));
    !address
        && (is_resource_exhausted(error)
            || is_transient(error)
            || matches!(errno(error), Some(Errno::EADDRINUSE)))
}

fn errno(error: &io::Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw)
}

//! Classifies errors of system calls: which ones are transient, so that the call may succeed when it is made again.

use nix::errno::Errno;
use std::io;

/// Returns whether an error of a call on an open connection only means that the kernel had no memory for the call, or
/// that a signal interrupted the call. The connection itself still works then.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(errno(error), Some(Errno::ENOMEM | Errno::ENOBUFS | Errno::EINTR))
}

/// Returns whether the error of an accept or a connect means that descriptors, ports or memory are exhausted. Any other
/// error concerns one connection only: the connection to accept ended while it waited, or the other side of the connect
/// failed or rejected it.
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    use Errno::{EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC};
    matches!(errno(error), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC | EADDRNOTAVAIL))
}

/// Returns whether a start of the router that failed with this error may succeed later. Other processes may release
/// descriptors and memory, and an address that is in use may belong to a process that is about to end. An address that
/// this machine does not have (`EADDRNOTAVAIL`) is a lasting error here.
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

//! Errors of system calls, with the step of a run in which the call failed.

use std::io;
use std::net::SocketAddr;

/// The step of a run that connects to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The query that shows that the router serves.
    FirstAnswer,
    /// The start of the prober.
    Prober,
    Load,
}

/// An error of a system call in a step of a run.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at router {router}: {source}")]
struct StepError {
    step: Step,
    router: SocketAddr,
    source: io::Error,
}

/// Returns a function that adds the step and the router's address to an error. The kind of the error stays the same.
pub(crate) fn in_step(step: Step, router: SocketAddr) -> impl FnOnce(io::Error) -> io::Error {
    move |source| io::Error::new(source.kind(), StepError { step, router, source })
}

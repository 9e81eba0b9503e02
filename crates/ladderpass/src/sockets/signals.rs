//! The signals of the process: SIGTERM and SIGINT begin the shutdown, SIGHUP reloads the configuration.

use super::server::Server;
use super::start::system_error;
use crate::reducer::Event;
use calloop::LoopHandle;
use calloop::signals::{Signal, Signals};
use nix::sys::signal::SigSet;
use std::io;

/// Keeps SIGHUP pending in this thread, and in threads that it starts from now on, until the event loop takes the
/// signal. By default SIGHUP ends a process, also one whose start is still being retried. Call this before any other
/// thread is started.
///
/// SIGTERM and SIGINT still end a process that has not started to listen, because such a process serves no client.
///
/// # Errors
///
/// Returns the system's error if the thread's signal mask can't be changed.
pub fn block_reload_signal() -> io::Result<()> {
    let mut signals = SigSet::empty();
    signals.add(nix::sys::signal::SIGHUP);
    Ok(signals.thread_block()?)
}

/// Blocks SIGTERM, SIGINT and SIGHUP, and opens the source from which the event loop takes them.
pub(super) fn open() -> io::Result<Signals> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(system_error)
}

/// Registers the handlers of the signals with the event loop. If the registration fails, `signals` stays as it is:
/// without the source the signals would no longer be blocked, and a pending one would end the process.
pub(super) fn register(
    handle: &LoopHandle<'static, Server>,
    signals: &mut Option<Signals>,
) -> io::Result<()> {
    let Some(source) = signals.take() else { return Ok(()) };
    let inserted = handle.insert_source(source, |event, (), server: &mut Server| match event.signal() {
        Signal::SIGHUP => server.reload_configuration(),
        _ => server.apply(Event::Terminate),
    });
    inserted.map(|_| ()).map_err(|failure| {
        *signals = Some(failure.inserted);
        system_error(failure.error)
    })
}

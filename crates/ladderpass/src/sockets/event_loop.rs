//! The event loop of the router, which waits for events, handles them in batches, and ticks the reducer after each
//! batch.

use super::clock::span;
use super::connection_io::ReadMode;
use super::server::Server;
use super::start::{StartError, StartedSockets, open_with_retries};
use crate::launch::Launch;
use crate::reducer::Event;
use calloop::EventLoop;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The reason why the router could not start or continue.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The router could not start, for example because a socket could not be opened.
    #[error(transparent)]
    Start(#[from] StartError),
    /// For longer than `Limits::event_loop_failure_timeout`, every attempt to wait for the event loop's sources failed.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
}

/// Runs the router until its shutdown, which SIGTERM or SIGINT starts, is complete.
///
/// # Errors
///
/// Fails if the sockets can't be opened, or if the event loop fails for longer than
/// `Limits::event_loop_failure_timeout`.
pub fn run(launch: Launch, operator_file: Option<PathBuf>) -> Result<(), RunError> {
    let StartedSockets { mut event_loop, sockets } = open_with_retries(&launch)?;
    let router = launch.fixed.name.clone();
    let address = launch.fixed.listen;
    let (allowed, configured) = (launch.resource_limits.descriptors, launch.configured_sockets);
    let mut server = Server::start(launch, operator_file, event_loop.handle(), sockets);
    if allowed < configured {
        tracing::warn!(configured, allowed, "limits.sockets is more than the process may open");
    }
    tracing::info!(%router, %address, "listening");
    serve(&mut event_loop, &mut server)?;
    tracing::info!(%router, "stopped");
    Ok(())
}

fn serve(event_loop: &mut EventLoop<'static, Server>, server: &mut Server) -> Result<(), RunError> {
    let mut failing_since = None;
    while !server.is_exiting {
        server.finish_batch();
        if server.is_exiting {
            break;
        }
        let wait = server.next_wait();
        server.sample_usage();
        server.wake_by = Some(Instant::now() + wait);
        let partly_read = std::mem::take(&mut server.partly_read);
        let began = Instant::now();
        server.polled = false;
        match event_loop.dispatch(wait, server) {
            Ok(()) => {
                failing_since = None;
                if !server.polled {
                    server.connections.record_no_events(began);
                }
            }
            Err(error) => {
                let since = *failing_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= server.limits.failure_timeout {
                    return Err(RunError::EventLoop(error));
                }
                server.serve_without_event_loop(&error);
            }
        }
        server.usage.mark_awake();
        server.handle_ready_connections();
        partly_read.into_iter().for_each(|id| server.read(id, ReadMode::UntilBlocked));
        server.retry_deferred_calls();
    }
    Ok(())
}

impl Server {
    /// Finishes a batch of events: ends an expired suspension of the listener, retries a failed reload, carries out the
    /// effects of the batch and catches up after a stall. Then ticks the reducer and carries out the resulting effects.
    fn finish_batch(&mut self) {
        self.listener.end_expired_suspension();
        self.retry_reload();
        self.listener.update();
        self.carry_out_effects();
        self.catch_up();
        self.apply(Event::Tick);
        self.carry_out_effects();
    }

    /// Handles everything that has arrived if the last poll of the connections is too old, as after a stall of the
    /// process. This happens before any deadline is checked; otherwise the stall would count against members and
    /// clients.
    fn catch_up(&mut self) {
        if self.connections.polled_at().elapsed() < self.limits.max_poll_age {
            return;
        }
        self.on_connections_ready();
        for _ in 0..=self.ready.len() / self.limits.sockets_per_iteration {
            self.handle_ready_connections();
        }
        self.carry_out_effects();
    }

    /// Returns how long the event loop may wait for events, which is zero while work is pending.
    fn next_wait(&self) -> Duration {
        let wait = match self.reducer.wake_at() {
            _ if self.has_pending_events || !self.partly_read.is_empty() || !self.ready.is_empty() => {
                Some(Duration::ZERO)
            }
            wake_at => wake_at.map(|at| Duration::from_nanos((at - self.clock.now()).nanos().max(0) as u64)),
        };
        let max_wait = self.limits.max_wait;
        let wait = wait.map_or(max_wait, |wait| wait.min(max_wait));
        if self.deferred.is_empty() { wait } else { wait.min(self.limits.failed_call_backoff) }
    }

    /// Reports to the reducer how long this iteration was busy and, at intervals, the resource usage of the process.
    /// Then carries out the effects that the reducer returns.
    fn sample_usage(&mut self) {
        let Some(due) = self.reducer.next_sample_at() else { return };
        let busy = self.usage.mark_waiting();
        let has_pending_events = self.has_pending_events;
        self.apply(Event::IterationEnded(span(busy), self.ready.len()));
        if self.clock.now() >= due {
            let sample = self.usage.sample(self.connections.len());
            self.apply(Event::ResourcesSampled(sample));
        }
        self.has_pending_events = has_pending_events;
        self.carry_out_effects();
    }

    /// Handles connections while the event loop can't wait for its sources, for example because the kernel has no
    /// memory to register them. The sources report their pending events once the loop can wait again.
    fn serve_without_event_loop(&mut self, error: &calloop::Error) {
        tracing::warn!(%error, "event loop can't wait, connections are polled");
        std::thread::sleep(self.limits.failed_call_backoff);
        self.on_connections_ready();
        if self.listener.is_enabled() {
            self.accept_clients();
        }
    }

    /// Makes the system calls again that failed temporarily.
    fn retry_deferred_calls(&mut self) {
        for client in std::mem::take(&mut self.deferred.registrations) {
            self.admit_client(client);
        }
        for id in std::mem::take(&mut self.deferred.reads) {
            self.read(id, ReadMode::UntilBlocked);
        }
        for id in std::mem::take(&mut self.deferred.writes) {
            self.write(id);
        }
    }
}

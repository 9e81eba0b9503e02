//! Accepts clients from the listener while the reducer has capacity for them.

use super::connection_io::ReadMode;
use super::deferred::AcceptedClient;
use super::server::Server;
use crate::io_errors::is_resource_exhausted;
use crate::reducer::Event;
use std::io::ErrorKind;
use std::time::Instant;

/// The reason why no more clients were accepted from the listener in one batch.
enum AcceptOutcome {
    /// No client is waiting at the listener.
    AllAccepted,
    /// As many clients were accepted as one event allows, and more clients may be waiting.
    MoreWaiting,
    /// No further client can be accepted for now, because the reducer has no capacity or the system lacks descriptors
    /// or memory.
    Blocked,
}

impl Server {
    /// Accepts a limited number of clients, and then polls the connections for events, because clients that had waited
    /// for long may have left.
    pub(super) fn accept_clients(&mut self) {
        self.accept_batch();
    }

    /// Accepts all clients that wait at the listener, so that each of their statements gets an answer, and closes the
    /// listener. If there is no capacity for all of these clients yet, the listener stays open, and the reducer
    /// requests the effect `StopListening` again.
    pub(super) fn stop_listening(&mut self) {
        loop {
            match self.accept_batch() {
                AcceptOutcome::MoreWaiting => {}
                AcceptOutcome::Blocked => return,
                AcceptOutcome::AllAccepted => break,
            }
        }
        self.listener.close();
        self.apply(Event::ListenerClosed);
    }

    /// Starts to serve an accepted client. If the client's socket can't be registered with epoll now, the registration
    /// is retried, because the client's requests must not be lost.
    pub(super) fn admit_client(&mut self, client: AcceptedClient) {
        let AcceptedClient { id, stream } = client;
        if let Err(error) = self.register(id, stream, false) {
            tracing::warn!(error = %error.source, "accepted client can't be registered yet");
            self.deferred.registrations.push(AcceptedClient { id, stream: error.stream });
            return;
        }
        self.apply(Event::Accepted(id));
        self.read(id, ReadMode::UntilBlocked);
        // If the client has already left, its descriptor is released here, before the next client is accepted.
        self.close_if_requested(id);
    }

    fn accept_batch(&mut self) -> AcceptOutcome {
        let outcome = self.accept_while_possible();
        self.on_connections_ready();
        outcome
    }

    fn accept_while_possible(&mut self) -> AcceptOutcome {
        self.check_stall();
        let Some(listener) = self.listener.socket() else { return AcceptOutcome::AllAccepted };
        if !self.deferred.registrations.is_empty() {
            return AcceptOutcome::Blocked;
        }
        for _ in 0..self.reducer.accept_budget() {
            if !self.reducer.accepts_clients() {
                return AcceptOutcome::Blocked;
            }
            let accept_began_at = Instant::now();
            match listener.accept() {
                Ok((stream, _)) => {
                    let id = self.reducer.next_id();
                    self.admit_client(AcceptedClient { id, stream });
                    if !self.deferred.registrations.is_empty() {
                        return AcceptOutcome::Blocked;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.listener.record_empty(accept_began_at);
                    return AcceptOutcome::AllAccepted;
                }
                Err(error) if !is_resource_exhausted(&error) => tracing::debug!(%error, "accept failed"),
                Err(error) => {
                    // The listener's suspension ends when a connection closes, and also after
                    // `Limits::denied_connect_backoff`.
                    tracing::warn!(%error, "accept failed, listener suspended until a connection closes");
                    self.listener.suspend();
                    return AcceptOutcome::Blocked;
                }
            }
        }
        AcceptOutcome::MoreWaiting
    }
}

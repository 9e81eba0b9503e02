//! Connections that a router closed while RPCs were unanswered. They stay open on the client's side for a while: if the
//! kernel of the router resets such a connection, the last bytes of the client arrived after the router's close.

use super::generator::{InFlightRpc, LoadGenerator, QueuedRpc};
use super::outcome::ConnectionEnd;
use ladderpass_routing::{Span, Time};
use mio::net::TcpStream;

/// How long a reset is awaited after the end of a connection. Between client and router there may be a fault tool whose
/// thread is delayed.
const RESET_WAIT: Span = Span::from_millis(1000);

/// A connection whose end the client has read, and whose RPCs are unanswered.
pub(super) struct ClosedConnection {
    pub stream: TcpStream,
    /// The RPCs that were in flight. Background RPCs are left out.
    pub unanswered: Vec<InFlightRpc>,
    pub closed_at: Time,
}

impl LoadGenerator<'_> {
    /// Looks for resets of closed connections. An RPC that was alone on its connection and arrived after the close is
    /// sent once more, as the protocol demands of clients.
    pub(super) fn check_closed_connections(&mut self, now: Time) {
        for connection in std::mem::take(&mut self.closed_connections) {
            let is_reset = connection.stream.take_error().is_ok_and(|error| error.is_some());
            if is_reset {
                self.on_reset_after_close(connection.unanswered);
            } else if now - connection.closed_at < RESET_WAIT {
                self.closed_connections.push(connection);
            }
        }
    }

    fn on_reset_after_close(&mut self, unanswered: Vec<InFlightRpc>) {
        for (position, rpc) in unanswered.iter().enumerate() {
            let is_last = position + 1 == unanswered.len();
            if let Some(entry) = self.journal_entry(rpc.number) {
                entry.connection_end = Some(match is_last {
                    true => ConnectionEnd::ClosedBeforeArrival,
                    false => ConnectionEnd::ClosedBeforeLaterArrival,
                });
            }
        }
        if let [InFlightRpc { due, method, deadline, retries, abandoned: false, .. }] = unanswered[..] {
            self.count(due, method, |counts| counts.unanswered -= 1);
            self.queue.push_front(QueuedRpc { due, method, deadline, retries });
        }
    }
}

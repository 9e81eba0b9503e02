//! Carries out the effects that the reducer has returned.

use super::connection_io::ReadMode;
use super::server::Server;
use crate::reducer::Effect;

impl Server {
    /// Carries out all effects that the reducer has returned, including further effects that the reducer returns while
    /// these are carried out.
    pub(super) fn carry_out_effects(&mut self) {
        while !self.effects.is_empty() {
            // A client may have left while the batch of events was handled. Connections are polled once more right
            // before new attempts are written, so that members don't work for clients that have left.
            if self.writes_to_member() {
                self.poll_connections();
            }
            for effect in std::mem::take(&mut self.effects) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Connect(id, address) => self.connect(id, address),
            Effect::Write(id) => self.write(id),
            Effect::Read(id) => self.read(id, ReadMode::UntilBlocked),
            Effect::Close(id) => self.close(id),
            Effect::CloseIfQuiet(id) => self.close_if_quiet(id),
            Effect::Accept(wanted) => self.listener.set_wanted(wanted),
            Effect::SendDatagrams => self.send_datagrams(),
            Effect::StopListening => self.stop_listening(),
            Effect::Exit => self.is_exiting = true,
        }
    }

    fn send_datagrams(&mut self) {
        let Some(socket) = &self.peer_socket else { return };
        for (to, bytes) in self.reducer.take_datagrams() {
            socket.send(to, &bytes);
        }
    }

    /// Returns whether an effect writes to a connection that this router opened.
    fn writes_to_member(&self) -> bool {
        let is_outbound = |id| self.connections.get(id).is_some_and(|connection| connection.is_outbound);
        self.effects.iter().any(|effect| matches!(*effect, Effect::Write(id) if is_outbound(id)))
    }
}

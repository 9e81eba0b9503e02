//! Commands to a running tool, from its own process and from clients of the control socket.

use super::control_socket::{ControlSocket, Wait};
use super::event_loop::EventLoop;
use crate::control::{self, CommandResult, Reply};
use mio::Interest;
use mio::Token;
use std::io;

impl EventLoop {
    pub(super) fn run_local_commands(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            let now = self.now();
            let CommandResult { reply, operations } =
                control::execute_line(&mut self.engine, now, &command.line);
            self.schedule(operations);
            let text = match reply {
                Reply::Immediate(text) => text,
                Reply::Deferred { .. } => "error wait is available on the control socket only".into(),
            };
            // A failure to pass on the answer is ignored, since the caller may have stopped waiting for the answer.
            let _ = command.answer.send(text);
        }
    }

    pub(super) fn accept_control_clients(&mut self) -> io::Result<()> {
        while let Some(mut stream) = self.control.as_ref().and_then(ControlSocket::accept) {
            let index = self.next_token();
            self.poll.registry().register(&mut stream, Token(index), Interest::READABLE)?;
            self.control_clients.add(index, stream);
        }
        Ok(())
    }

    pub(super) fn serve_control_client(&mut self, index: usize) {
        if !self.control_clients.read(index) {
            return;
        }
        while let Some(line) = self.control_clients.next_line(index) {
            let now = self.now();
            let CommandResult { reply, operations } = control::execute_line(&mut self.engine, now, &line);
            self.schedule(operations);
            match reply {
                Reply::Immediate(text) => self.control_clients.reply(index, &text),
                Reply::Deferred { until, rule, hits } => {
                    self.control_clients.set_wait(index, Wait { until, rule, hits });
                }
            }
        }
    }
}

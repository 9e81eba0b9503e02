//! The control socket: its listener, the lines that clients send, and clients that wait for a rule.

use crate::control;
use crate::engine::Engine;
use ladderpass_routing::{Span, Time};
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// The poll token of the control socket's listener.
pub const CONTROL: Token = Token(1);
/// The interval of the checks whether rules have acted, while a client waits for a rule to act.
const WAIT_POLL_INTERVAL: Span = Span::from_millis(2);
const MAX_LINE_BYTES: usize = 64 << 10;
const READ_BUFFER_BYTES: usize = 4096;

/// The listener of the control socket. Dropping the listener removes the socket file.
pub struct ControlSocket {
    listener: UnixListener,
    path: PathBuf,
}

struct ControlClient {
    stream: UnixStream,
    input: Vec<u8>,
    wait: Option<Wait>,
}

/// A client's wait, started by the command `wait`, until a rule has acted a number of times.
pub struct Wait {
    /// The time at which the wait ends with an error, if the rule has not acted often enough before.
    pub until: Time,
    pub rule: String,
    /// The number of times that the rule must have acted for the wait to end with `ok`.
    pub hits: u64,
}

/// A client's wait that has ended, with the answer to the client.
pub struct EndedWait {
    /// Poll token of the client that has waited.
    pub client: usize,
    pub answer: &'static str,
}

/// The clients of the control socket, by poll token.
#[derive(Default)]
pub struct ControlClients {
    clients: HashMap<usize, ControlClient>,
}

impl ControlSocket {
    /// Binds the control socket. A socket file that an earlier run left behind and that no process serves is replaced.
    pub fn bind(path: &Path, registry: &Registry) -> io::Result<ControlSocket> {
        if path.exists() && std::os::unix::net::UnixStream::connect(path).is_err() {
            std::fs::remove_file(path)?;
        }
        let named = |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
        let mut listener = UnixListener::bind(path).map_err(named)?;
        registry.register(&mut listener, CONTROL, Interest::READABLE)?;
        Ok(ControlSocket { listener, path: path.to_owned() })
    }

    /// Accepts the next client, if one has connected.
    pub fn accept(&self) -> Option<UnixStream> {
        self.listener.accept().ok().map(|(stream, _)| stream)
    }
}

impl Drop for ControlSocket {
    fn drop(&mut self) {
        // A failure to remove the socket file is ignored, since the file may have been removed already.
        let _ = std::fs::remove_file(&self.path);
    }
}

impl ControlClients {
    pub fn add(&mut self, index: usize, stream: UnixStream) {
        self.clients.insert(index, ControlClient { stream, input: Vec::new(), wait: None });
    }

    pub fn contains(&self, index: usize) -> bool {
        self.clients.contains_key(&index)
    }

    /// Returns the time at which rules must be checked next, or None if no client waits for a rule.
    pub fn next_check(&self, now: Time) -> Option<Time> {
        self.clients.values().any(|client| client.wait.is_some()).then(|| now + WAIT_POLL_INTERVAL)
    }

    /// Reads all bytes that a client has sent. Returns false if the client has closed its connection or is removed
    /// because of an error, and true otherwise.
    pub fn read(&mut self, index: usize) -> bool {
        let mut chunk = [0; READ_BUFFER_BYTES];
        loop {
            let Some(client) = self.clients.get_mut(&index) else { return false };
            match client.stream.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => {
                    client.input.extend_from_slice(&chunk[..count]);
                    if client.input.len() > MAX_LINE_BYTES {
                        self.reply(index, "error the line is too long");
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.clients.remove(&index);
        false
    }

    /// Removes and returns the next complete line that a client has sent. Returns None if there is no complete line, or
    /// while the client waits for a rule to act.
    pub fn next_line(&mut self, index: usize) -> Option<String> {
        let client = self.clients.get_mut(&index).filter(|client| client.wait.is_none())?;
        let end = client.input.iter().position(|&byte| byte == b'\n')?;
        let line: Vec<u8> = client.input.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line).into_owned())
    }

    pub fn reply(&mut self, index: usize, text: &str) {
        if let Some(client) = self.clients.get_mut(&index) {
            // A failure to write is ignored, since the client may have closed its connection.
            let _ = client.stream.write_all(format!("{text}\n").as_bytes());
        }
    }

    pub fn set_wait(&mut self, index: usize, wait: Wait) {
        if let Some(client) = self.clients.get_mut(&index) {
            client.wait = Some(wait);
        }
    }

    /// Returns the waits that have ended because their rule has acted often enough or their time is over.
    pub fn ended_waits(&self, now: Time, engine: &Engine) -> Vec<EndedWait> {
        let mut ended = Vec::new();
        for (&index, client) in &self.clients {
            let Some(wait) = &client.wait else { continue };
            if control::has_acted(engine, &wait.rule, wait.hits) {
                ended.push(EndedWait { client: index, answer: "ok" });
            } else if now >= wait.until {
                ended.push(EndedWait { client: index, answer: "error wait: the time is over" });
            }
        }
        ended
    }

    /// Sends the answer to a client whose wait has ended.
    pub fn end_wait(&mut self, ended: &EndedWait) {
        self.reply(ended.client, ended.answer);
        if let Some(client) = self.clients.get_mut(&ended.client) {
            client.wait = None;
        }
    }
}

//! The event loop of a running tool. It serves the listeners, the sockets of all connections and the control socket,
//! and executes delayed operations when they are due.

use super::control_socket::{CONTROL, ControlClients, ControlSocket};
use super::endpoint::{CloseMode, Endpoint, EndpointPair};
use super::run_summary::RunSummary;
use crate::engine::{ConnectionId, Engine, Operation, ScheduledOperation};
use crate::plan::{Plan, Side};
use ladderpass_routing::Time;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

/// The poll token of the waker, with which other threads interrupt the poll.
pub const WAKE: Token = Token(0);
/// The poll token of the first link's listener. The listeners of the other links have the tokens that follow.
const FIRST_LINK: usize = 2;
const READ_BUFFER_BYTES: usize = 16 << 10;
const EVENTS_PER_POLL: usize = 1024;

/// A command line that the tool's own process passes to the event loop, without the control socket.
pub struct LocalCommand {
    pub line: String,
    pub answer: Sender<String>,
}

pub struct EventLoop {
    pub(super) poll: Poll,
    pub(super) engine: Engine,
    /// Address that each link forwards to.
    targets: Vec<SocketAddr>,
    listeners: Vec<TcpListener>,
    pub(super) control: Option<ControlSocket>,
    started: Instant,
    last_token: usize,
    endpoints: HashMap<usize, Endpoint>,
    pairs: HashMap<ConnectionId, EndpointPair>,
    /// Operations that are not due yet, by due time and a sequence number, which keeps the engine's order.
    delayed: BTreeMap<(Time, u64), ScheduledOperation>,
    /// Sequence number of the operation that was delayed last.
    last_sequence: u64,
    pub(super) control_clients: ControlClients,
    pub(super) commands: Receiver<LocalCommand>,
}

/// Binds the listeners of a plan's links.
pub fn listen(plan: &Plan, registry: &Registry) -> io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::new();
    for (index, link) in plan.links.iter().enumerate() {
        let named = |error: io::Error| io::Error::new(error.kind(), format!("link {}: {error}", link.name));
        let mut listener = TcpListener::bind(link.listen).map_err(named)?;
        registry.register(&mut listener, Token(FIRST_LINK + index), Interest::READABLE)?;
        listeners.push(listener);
    }
    Ok(listeners)
}

impl EventLoop {
    /// Creates the event loop of a tool that started at `started`, from which its times are counted.
    pub fn new(
        started: Instant,
        plan: Plan,
        poll: Poll,
        listeners: Vec<TcpListener>,
        control: Option<ControlSocket>,
        commands: Receiver<LocalCommand>,
    ) -> EventLoop {
        EventLoop {
            started,
            last_token: FIRST_LINK + plan.links.len(),
            targets: plan.links.iter().map(|link| link.to).collect(),
            engine: Engine::new(Time::from_nanos(0), plan),
            poll,
            listeners,
            control,
            endpoints: HashMap::new(),
            pairs: HashMap::new(),
            delayed: BTreeMap::new(),
            last_sequence: 0,
            control_clients: ControlClients::default(),
            commands,
        }
    }

    /// Closes the control socket, and returns the summary of the run.
    pub fn finish(&mut self) -> RunSummary {
        self.control = None;
        RunSummary {
            record: self.engine.record().to_vec(),
            attempts: self.engine.take_attempts(),
            started_at: self.started,
            never_fired: self.engine.never_fired().into_iter().map(str::to_owned).collect(),
        }
    }

    /// Returns the time since the tool was started.
    pub(super) fn now(&self) -> Time {
        Time::from_nanos(self.started.elapsed().as_nanos() as i64)
    }

    pub fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while !stop.load(Ordering::Relaxed) {
            let now = self.now();
            let due = self.delayed.first_key_value().map(|(&(at, _), _)| at);
            let wake = due.into_iter().chain(self.control_clients.next_check(now)).min();
            let wait = wake.map(|at| Duration::from_nanos((at - now).nanos().max(0) as u64));
            match self.poll.poll(&mut events, wait) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            self.handle_events(&events)?;
            let now = self.now();
            self.execute_due(now);
            for ended in self.control_clients.ended_waits(now, &self.engine) {
                self.control_clients.end_wait(&ended);
                self.serve_control_client(ended.client);
            }
        }
        Ok(())
    }

    fn handle_events(&mut self, events: &Events) -> io::Result<()> {
        for event in events {
            match event.token() {
                WAKE => self.run_local_commands(),
                CONTROL => self.accept_control_clients()?,
                Token(index) if index < FIRST_LINK + self.listeners.len() => {
                    self.accept(index - FIRST_LINK)?;
                }
                Token(index) if self.control_clients.contains(index) => self.serve_control_client(index),
                Token(index) => {
                    if event.is_writable() {
                        self.write(index);
                    }
                    if event.is_readable() || event.is_read_closed() {
                        self.read(index);
                    }
                }
            }
        }
        Ok(())
    }

    pub(super) fn next_token(&mut self) -> usize {
        self.last_token += 1;
        self.last_token
    }

    fn accept(&mut self, link: usize) -> io::Result<()> {
        loop {
            let stream = match self.listeners[link].accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                // The accept failed, for example without a free descriptor or because the client has closed the
                // connection already. The failure is ignored, and the connection is not served now.
                Err(_) => return Ok(()),
            };
            let opened = self.engine.on_accepted(self.now(), link);
            let connection = opened.connection;
            self.pairs.insert(connection, EndpointPair::default());
            self.add_endpoint(connection, Side::Client, stream)?;
            if opened.forwarded {
                match TcpStream::connect(self.targets[link]) {
                    Ok(stream) => self.add_endpoint(connection, Side::Server, stream)?,
                    Err(_) => self.close(connection, CloseMode::Normal),
                }
            }
            self.schedule(opened.operations);
        }
    }

    fn add_endpoint(
        &mut self,
        connection: ConnectionId,
        side: Side,
        mut stream: TcpStream,
    ) -> io::Result<()> {
        // A failure to set TCP_NODELAY is ignored: the socket may still be connecting, and bytes are forwarded without this
        // option as well.
        let _ = stream.set_nodelay(true);
        let index = self.next_token();
        self.poll.registry().register(&mut stream, Token(index), Interest::READABLE | Interest::WRITABLE)?;
        self.endpoints.insert(index, Endpoint::new(stream, connection, side));
        if let Some(pair) = self.pairs.get_mut(&connection) {
            pair.endpoints[side as usize] = Some(index);
        }
        Ok(())
    }

    /// Executes the delayed operations that are due, in order.
    fn execute_due(&mut self, now: Time) {
        while let Some(entry) = self.delayed.first_entry()
            && entry.key().0 <= now
        {
            let scheduled = entry.remove();
            if let (Operation::Send(side, bytes), Some(pair)) =
                (&scheduled.operation, self.pairs.get_mut(&scheduled.connection))
            {
                pair.delayed_bytes[*side as usize] -= bytes.len();
            }
            self.execute(scheduled);
        }
    }

    /// Executes the operations that are due, and delays the others.
    pub(super) fn schedule(&mut self, operations: Vec<ScheduledOperation>) {
        let now = self.now();
        // Delayed operations that have become due by now come first, to keep the order of each direction.
        self.execute_due(now);
        for scheduled in operations {
            // An operation is never due earlier than the preceding operation of the same direction. So if the preceding
            // operation is delayed, this operation is delayed as well.
            if scheduled.at <= now {
                self.execute(scheduled);
                continue;
            }
            if let (Operation::Send(side, bytes), Some(pair)) =
                (&scheduled.operation, self.pairs.get_mut(&scheduled.connection))
            {
                pair.delayed_bytes[*side as usize] += bytes.len();
            }
            self.last_sequence += 1;
            self.delayed.insert((scheduled.at, self.last_sequence), scheduled);
        }
    }

    /// Returns the poll token of the socket on one side of a connection.
    fn endpoint(&self, connection: ConnectionId, side: Side) -> Option<usize> {
        self.pairs.get(&connection).and_then(|pair| pair.endpoints[side as usize])
    }

    fn execute(&mut self, scheduled: ScheduledOperation) {
        let connection = scheduled.connection;
        match scheduled.operation {
            Operation::Send(side, bytes) => {
                let Some(index) = self.endpoint(connection, side) else { return };
                if let Some(endpoint) = self.endpoints.get_mut(&index) {
                    endpoint.output.extend(bytes);
                }
                self.write(index);
                // Reading from the sender may have been paused because the bytes that are sent now were not sent yet.
                if let Some(sender) = self.endpoint(connection, side.other())
                    && self.endpoints.get(&sender).is_some_and(|endpoint| endpoint.is_paused)
                {
                    self.read(sender);
                }
            }
            Operation::EndDirection(side) => {
                let Some(index) = self.endpoint(connection, side) else { return };
                if let Some(endpoint) = self.endpoints.get_mut(&index) {
                    endpoint.shutdown_pending = true;
                }
                self.write(index);
            }
            Operation::Close => self.close(connection, CloseMode::Normal),
            Operation::Reset => self.close(connection, CloseMode::Reset),
        }
    }

    fn close(&mut self, connection: ConnectionId, close_mode: CloseMode) {
        let Some(pair) = self.pairs.remove(&connection) else { return };
        for index in pair.endpoints.into_iter().flatten() {
            let Some(mut endpoint) = self.endpoints.remove(&index) else { continue };
            if close_mode == CloseMode::Reset {
                // With a linger time of zero, the kernel resets the connection when the socket is closed.
                let _ = socket2::SockRef::from(&endpoint.stream).set_linger(Some(Duration::ZERO));
            } else {
                let rest: Vec<u8> = endpoint.output.drain(..).collect();
                let _ = endpoint.stream.write(&rest);
            }
        }
        let now = self.now();
        self.engine.on_closed(now, connection);
    }

    fn read(&mut self, index: usize) {
        let mut chunk = [0; READ_BUFFER_BYTES];
        loop {
            let now = self.now();
            let Some(endpoint) = self.endpoints.get(&index) else { return };
            let (connection, side) = (endpoint.connection, endpoint.side);
            if endpoint.read_ended {
                return self.forward_reset(index);
            }
            let may_read = self.engine.may_read(connection, side, self.unsent_bytes(connection, side));
            let Some(endpoint) = self.endpoints.get_mut(&index) else { return };
            endpoint.is_paused = !may_read;
            if !may_read {
                return;
            }
            let operations = match endpoint.stream.read(&mut chunk) {
                Ok(0) => {
                    endpoint.read_ended = true;
                    self.engine.on_end(now, connection, side)
                }
                Ok(count) => self.engine.on_bytes(now, connection, side, &chunk[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    return;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return self.close(connection, CloseMode::Reset),
            };
            self.schedule(operations);
        }
    }

    /// Resets a connection if one side was reset after the end of its stream, as it is when bytes reach a socket that
    /// its process has closed. The other side gets the end of the stream first, and learns from the reset that its last
    /// bytes were not read.
    fn forward_reset(&mut self, index: usize) {
        let Some(endpoint) = self.endpoints.get(&index) else { return };
        let connection = endpoint.connection;
        let receiver = self.endpoint(connection, endpoint.side.other());
        let receiver = receiver.and_then(|receiver| self.endpoints.get(&receiver));
        let is_end_forwarded = receiver.is_some_and(|receiver| receiver.is_shut_down);
        if is_end_forwarded && endpoint.stream.take_error().is_ok_and(|error| error.is_some()) {
            self.close(connection, CloseMode::Reset);
        }
    }

    /// Returns how many bytes that `sender` sent on a connection are delayed, or not written to the other side yet.
    fn unsent_bytes(&self, connection: ConnectionId, sender: Side) -> usize {
        let receiver = sender.other();
        let delayed = self.pairs.get(&connection).map_or(0, |pair| pair.delayed_bytes[receiver as usize]);
        let receiver = self.endpoint(connection, receiver).and_then(|index| self.endpoints.get(&index));
        delayed + receiver.map_or(0, |endpoint| endpoint.output.len())
    }

    fn write(&mut self, index: usize) {
        let Some(endpoint) = self.endpoints.get_mut(&index) else { return };
        let connection = endpoint.connection;
        while !endpoint.output.is_empty() {
            let (front, _) = endpoint.output.as_slices();
            match endpoint.stream.write(front) {
                Ok(count) => {
                    endpoint.output.drain(..count);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    return;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.close(connection, CloseMode::Reset),
            }
        }
        if endpoint.shutdown_pending {
            // A failure to shut down the socket is ignored, since the socket may be closed already.
            let _ = endpoint.stream.shutdown(std::net::Shutdown::Write);
            (endpoint.shutdown_pending, endpoint.is_shut_down) = (false, true);
        }
        let sender = endpoint.side.other();
        if self.is_finished(connection) {
            return self.close(connection, CloseMode::Normal);
        }
        if let Some(sender) = self.endpoint(connection, sender)
            && self.endpoints.get(&sender).is_some_and(|sender| sender.read_ended)
        {
            self.forward_reset(sender);
        }
    }

    /// Returns whether both sides have ended their directions and no byte is left to be sent, now or later.
    fn is_finished(&self, connection: ConnectionId) -> bool {
        let Some(pair) = self.pairs.get(&connection).filter(|pair| pair.delayed_bytes == [0, 0]) else {
            return false;
        };
        let is_drained = |index: Option<usize>| {
            let endpoint = index.and_then(|index| self.endpoints.get(&index));
            endpoint.is_none_or(|endpoint| endpoint.read_ended && endpoint.output.is_empty())
        };
        pair.endpoints.into_iter().all(is_drained)
    }
}

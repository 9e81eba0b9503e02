//! The event loop of one of the emulator's threads. The loop serves the thread's listeners and connections, decodes
//! requests for the model and encodes the model's replies.

use super::shared::{Command, Owner, Shared};
use crate::clock::now;
use crate::model::{ConnectionId, Input, Output, Reply, Request};
use crate::proto;
use ladderpass_routing::{Span, Time};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// The poll token of the waker with which other threads wake this thread.
pub const WAKE_TOKEN: Token = Token(usize::MAX);
/// Maximum number of bytes that a connection buffers in each direction. A connection that would buffer more is closed.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
const READ_BUFFER_BYTES: usize = 16 << 10;
const EVENTS_PER_POLL: usize = 1024;
/// Bytes that end the head of an HTTP request.
const HTTP_HEAD_END: &[u8] = b"\r\n\r\n";

struct Connection {
    stream: TcpStream,
    owner: Owner,
    /// Whether the startup message has arrived on the connection.
    is_open: bool,
    /// Whether the connection is a watch: discovery sends it an endpoint list and then the list's changes.
    is_watch: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Whether the connection is closed once all its buffered output is written.
    closes_after_output: bool,
}

pub struct Driver {
    thread: usize,
    poll: Poll,
    shared: Arc<Shared>,
    listeners: Vec<(Owner, TcpListener)>,
    connections: HashMap<usize, Connection>,
    last_index: usize,
    commands: Receiver<Command>,
    watch_interval: Span,
    /// Indexes of the connections with output to be written.
    to_write: Vec<usize>,
    read_buffer: Vec<u8>,
}

impl Driver {
    /// Creates a driver and registers its listeners. `watch_interval` is the interval between the empty lines that a
    /// watch of an endpoint list receives.
    pub fn new(
        thread: usize,
        poll: Poll,
        shared: Arc<Shared>,
        mut listeners: Vec<(Owner, TcpListener)>,
        commands: Receiver<Command>,
        watch_interval: Span,
    ) -> io::Result<Driver> {
        for (token, (_, listener)) in listeners.iter_mut().enumerate() {
            poll.registry().register(listener, Token(token), Interest::READABLE)?;
        }
        Ok(Driver {
            thread,
            poll,
            shared,
            last_index: listeners.len(),
            listeners,
            connections: HashMap::new(),
            commands,
            watch_interval,
            to_write: Vec::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Runs the event loop until `Command::Stop` arrives.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        let mut next_watch_line = now() + self.watch_interval;
        let mut model_wake: Option<Time> = None;
        loop {
            let until = model_wake.map_or(next_watch_line, |wake| wake.min(next_watch_line));
            let wait = Duration::from_nanos((until - now()).nanos().max(0) as u64);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            self.handle_events(&events)?;
            if self.handle_commands() {
                return Ok(());
            }
            model_wake = self.shared.advance(self.thread);
            self.encode_replies();
            if now() >= next_watch_line {
                next_watch_line = now() + self.watch_interval;
                self.send_to_watches(None, "\n");
            }
            for index in std::mem::take(&mut self.to_write) {
                self.write(index);
            }
        }
    }

    fn handle_events(&mut self, events: &Events) -> io::Result<()> {
        for event in events {
            match event.token() {
                WAKE_TOKEN => {}
                Token(index) if index < self.listeners.len() => self.accept(index)?,
                Token(index) => {
                    if event.is_writable() {
                        self.write(index);
                    }
                    if event.is_readable() || event.is_read_closed() {
                        self.read(index, event.is_read_closed());
                    }
                }
            }
        }
        Ok(())
    }

    /// Executes the pending commands, and returns whether the thread must stop.
    fn handle_commands(&mut self) -> bool {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Stop => return true,
                Command::SendLine(list, line) => self.send_to_watches(Some(list), &line),
                Command::Crash(member) => {
                    self.connections.retain(|_, connection| connection.owner != Owner::Member(member));
                }
            }
        }
        false
    }

    /// Returns the id that the model uses for a connection. The id is unique across all threads.
    fn connection_id(&self, index: usize) -> ConnectionId {
        ConnectionId((index * self.shared.thread_count() + self.thread) as u64)
    }

    fn accept(&mut self, listener: usize) -> io::Result<()> {
        loop {
            let mut stream = match self.listeners[listener].1.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                // An error of another kind, such as too many open files, is not fatal: the peer's attempt to connect
                // fails or waits, as it would with any member.
                Err(_) => return Ok(()),
            };
            stream.set_nodelay(true)?;
            self.last_index += 1;
            let token = Token(self.last_index);
            self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            let owner = self.listeners[listener].0;
            // The listener of a crashed member stays open, and each connection that the listener accepts is closed at
            // once.
            if matches!(owner, Owner::Member(member) if !self.shared.model().is_alive(member)) {
                continue;
            }
            let connection = Connection {
                stream,
                owner,
                is_open: false,
                is_watch: false,
                input: Vec::new(),
                output: Vec::new(),
                closes_after_output: false,
            };
            self.connections.insert(self.last_index, connection);
        }
    }

    /// Reads a connection's input and handles the input. If `read_closed` is set, the peer has ended the stream, so
    /// reading goes on, even after a read that does not fill the buffer, until the end of the stream.
    fn read(&mut self, index: usize, read_closed: bool) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        let is_open = self.read_input(index, read_closed, &mut buffer);
        self.read_buffer = buffer;
        if is_open {
            self.handle_input(index);
        }
    }

    /// Reads all available input of a connection, and returns whether the connection is still open.
    fn read_input(&mut self, index: usize, read_closed: bool, buffer: &mut [u8]) -> bool {
        loop {
            let Some(connection) = self.connections.get_mut(&index) else { return false };
            match connection.stream.read(buffer) {
                Ok(0) => {
                    self.close(index);
                    return false;
                }
                Ok(count) => {
                    connection.input.extend_from_slice(&buffer[..count]);
                    if connection.input.len() > MAX_BUFFERED_BYTES {
                        self.close(index);
                        return false;
                    }
                    if count < buffer.len() && !read_closed {
                        return true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(index);
                    return false;
                }
            }
        }
    }

    fn handle_input(&mut self, index: usize) {
        let Some(connection) = self.connections.get_mut(&index) else { return };
        let input = std::mem::take(&mut connection.input);
        let consumed = match connection.owner {
            Owner::Member(member) => self.handle_requests(index, member, &input),
            Owner::Discovery(list) => self.start_watch(index, list, &input),
        };
        self.encode_replies();
        if let Some(connection) = self.connections.get_mut(&index) {
            connection.input = input;
            connection.input.drain(..consumed);
        }
        self.write(index);
    }

    /// Passes the complete requests of a connection to the model, and returns how many bytes of `input` the requests
    /// took.
    fn handle_requests(&mut self, index: usize, member: u32, input: &[u8]) -> usize {
        let id = self.connection_id(index);
        let Some(connection) = self.connections.get_mut(&index) else { return 0 };
        let mut consumed = 0;
        if !connection.is_open {
            let Some(length) = proto::parse_startup(input) else { return 0 };
            connection.is_open = true;
            consumed = length;
            self.shared.apply(self.thread, member, Input::ConnectionOpened(id));
        }
        while let Some((kind, body, length)) = proto::parse_frame(input.get(consumed..).unwrap_or_default()) {
            consumed += length;
            let Some(request) = self.decode_request(kind, body) else {
                self.close(index);
                return consumed;
            };
            self.shared.apply(self.thread, member, Input::RequestReceived(id, request));
        }
        consumed
    }

    /// Decodes the request in a frame, or returns `None` if the frame holds no known request.
    fn decode_request(&self, kind: u8, body: &[u8]) -> Option<Request> {
        let statement = std::str::from_utf8(body).unwrap_or_default().trim_end_matches('\0');
        match (kind, statement) {
            (b'Q', "") => Some(Request::EmptyQuery),
            (b'Q', "SHOW server_load") => Some(Request::LoadReport),
            (b'Q', statement) => {
                let comment = proto::parse_comment(statement)?;
                let method = self.shared.scenario.method_index(comment.method).unwrap_or(usize::MAX) as u32;
                let id = comment.id.into();
                Some(Request::Statement {
                    id,
                    method,
                    wait: comment.wait,
                    min_position: comment.min_position,
                })
            }
            _ => None,
        }
    }

    /// Answers the HTTP request that begins a watch with the complete endpoint list, and returns how many bytes of
    /// `input` the request took.
    fn start_watch(&mut self, index: usize, list: usize, input: &[u8]) -> usize {
        let Some(end) = input.windows(HTTP_HEAD_END.len()).position(|window| window == HTTP_HEAD_END) else {
            return 0;
        };
        if let Some(connection) = self.connections.get_mut(&index) {
            connection.output.extend_from_slice(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.is_watch = true;
        }
        let line = self.shared.list_line(list, None);
        self.send_chunk(index, &line);
        end + HTTP_HEAD_END.len()
    }

    /// Sends a line to all watches of the endpoint list with index `list`, or of all endpoint lists if `list` is
    /// `None`.
    fn send_to_watches(&mut self, list: Option<usize>, line: &str) {
        let matches_list =
            |connection: &Connection| list.is_none_or(|list| connection.owner == Owner::Discovery(list));
        let watches =
            self.connections.iter().filter(|(_, connection)| connection.is_watch && matches_list(connection));
        for index in watches.map(|(&index, _)| index).collect::<Vec<_>>() {
            self.send_chunk(index, line);
        }
    }

    fn send_chunk(&mut self, index: usize, line: &str) {
        if let Some(connection) = self.connections.get_mut(&index) {
            connection.output.extend_from_slice(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes());
            self.to_write.push(index);
        }
    }

    /// Encodes the model's replies on this thread's connections into the output buffers of the connections.
    fn encode_replies(&mut self) {
        for output in self.shared.take_outbox(self.thread) {
            self.encode_reply(output);
        }
    }

    fn encode_reply(&mut self, output: Output) {
        let index = output.connection.0 as usize / self.shared.thread_count();
        let Some(connection) = self.connections.get_mut(&index) else { return };
        let out = &mut connection.output;
        match output.reply {
            Reply::ConnectionReady => proto::put_startup_response(out),
            Reply::EmptyQueryResponse => {
                proto::put_message(out, b'I', &[]);
                proto::put_ready(out);
            }
            Reply::LoadReport { position, primary, queued } => {
                let position_secs = position.nanos() as f64 / 1e9;
                let text = format!("x0={position_secs:.6},x1={},q={queued}", u8::from(primary));
                proto::put_row(out, text.as_bytes(), false, primary, None);
            }
            Reply::Row { id, method, primary, position } => {
                let method = self.shared.scenario.methods.get(method as usize);
                let (size, writes) = method.map_or((0, false), |method| (method.value_bytes, method.writes));
                // The value begins with the id of the RPC, so that a client can check whether an answer belongs to its
                // RPC.
                let mut value = id.into_string().into_bytes();
                value.resize(size.max(value.len()), b'.');
                proto::put_row(out, &value, writes, primary, Some(position));
            }
            Reply::Error(sqlstate) => proto::put_error(out, "ERROR", sqlstate),
            Reply::FatalError(sqlstate) => {
                proto::put_error(out, "FATAL", sqlstate);
                connection.closes_after_output = true;
            }
        }
        self.to_write.push(index);
    }

    fn write(&mut self, index: usize) {
        let Some(connection) = self.connections.get_mut(&index) else { return };
        while !connection.output.is_empty() {
            match connection.stream.write(&connection.output) {
                Ok(count) => {
                    connection.output.drain(..count);
                }
                Err(error)
                    if error.kind() == ErrorKind::WouldBlock
                        && connection.output.len() <= MAX_BUFFERED_BYTES =>
                {
                    return;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.close(index),
            }
        }
        if connection.closes_after_output {
            self.close(index);
        }
    }

    fn close(&mut self, index: usize) {
        if let Some(Connection { owner: Owner::Member(member), .. }) = self.connections.remove(&index) {
            let id = self.connection_id(index);
            self.shared.apply(self.thread, member, Input::ConnectionClosed(id));
        }
    }
}

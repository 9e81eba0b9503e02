//! The driver of the model for loopback: some threads, each with the sockets of its members; the first has discovery too.
//!
//! It owns the sockets, the clock and the bytes in between. It must never decide what a member does: the model does.

pub use crate::clock::now;
use crate::model::{Ask, Conn, Input, Model, Output, Reply};
use crate::proto;
use crate::scenario::Scenario;
use crate::truth::Truth;
use ladderpass_routing::{Span, Time};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeSet, HashMap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const WAKE: Token = Token(usize::MAX);
/// What a peer can make grow: bytes of one connection, either way.
const MOST: usize = 4 << 20;

/// How many threads drive a fleet, at most one a member: an emulated member must not be what a test waits for.
const THREADS: usize = 3;

enum Order {
    Dies(u32),
    /// A line for the watches of a list.
    Line(usize, String),
    Stop,
}

/// What the threads share: one model, and replies for connections of other threads.
struct Shared {
    model: Mutex<Model>,
    boxes: Vec<Mutex<Vec<Output>>>,
    wakers: Vec<Waker>,
    scenario: Scenario,
    /// By discovery: what its list says.
    lists: Mutex<Vec<List>>,
    /// When the fleet started, and its cold members with it.
    started: Time,
    /// When which list told that a member wants nothing new.
    drained: Mutex<Vec<(Time, usize, u32)>>,
}

/// One list: where it says that members are, which of them want nothing new, and its generation.
#[derive(Clone)]
struct List {
    addresses: Vec<SocketAddr>,
    draining: BTreeSet<u32>,
    generation: u64,
}

/// Who is behind a listener or a connection.
#[derive(Clone, Copy, PartialEq)]
enum Whose {
    Member(u32),
    List(usize),
}

impl Shared {
    /// Something happens to a member; its replies go to the threads that hold the connections.
    fn apply(&self, thread: usize, member: u32, input: Input) {
        let mut model = self.model.lock().expect("no holder panics");
        model.apply(now(), member, input);
        self.deal(thread, &mut model);
    }

    fn advance(&self, thread: usize) -> Option<Time> {
        let mut model = self.model.lock().expect("no holder panics");
        model.advance(now());
        self.deal(thread, &mut model);
        model.wake()
    }

    /// A whole list, or one member of it, as a line.
    fn line(&self, list: usize, only: Option<u32>) -> String {
        let lists = self.lists.lock().expect("no holder panics");
        let Some(list) = lists.get(list) else { return String::new() };
        let mut entries = self.scenario.entries(self.started, &list.addresses);
        for &member in &list.draining {
            if let Some(entry) = entries.get_mut(member as usize) {
                entry["lifecycle"] = "DRAINING".into();
            }
        }
        if let Some(only) = only {
            entries = entries.into_iter().skip(only as usize).take(1).collect();
        }
        let (generation, reset) = (list.generation, only.is_none());
        format!("{}\n", serde_json::json!({"generation": generation, "reset": reset, "instances": entries}))
    }

    fn deal(&self, thread: usize, model: &mut Model) {
        for output in model.outputs() {
            let whose = output.conn.0 as usize % self.boxes.len();
            self.boxes[whose].lock().expect("no holder panics").push(output);
            if whose != thread {
                // A thread that has ended has no connections left.
                let _ = self.wakers[whose].wake();
            }
        }
    }
}

/// A fleet that runs on threads of its own.
pub struct Running {
    pub addresses: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    /// All of them, each with a list of its own; `discovery` is the first.
    pub discoveries: Vec<SocketAddr>,
    orders: Vec<Sender<Order>>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Running {
    /// Members and discovery on this address, at ports of the system's choice.
    pub fn start(scenario: Scenario, seed: u64, address: Ipv4Addr) -> io::Result<Running> {
        Running::start_listed(scenario, seed, address, 1)
    }

    /// With so many lists: routers that reach members at addresses of their own are told those.
    pub fn start_listed(
        scenario: Scenario,
        seed: u64,
        address: Ipv4Addr,
        lists: usize,
    ) -> io::Result<Running> {
        let count = THREADS.min(scenario.members());
        let polls = (0..count).map(|_| Poll::new()).collect::<io::Result<Vec<_>>>()?;
        let wakers =
            polls.iter().map(|poll| Waker::new(poll.registry(), WAKE)).collect::<io::Result<Vec<_>>>()?;
        let bind = || TcpListener::bind(SocketAddr::V4(SocketAddrV4::new(address, 0)));
        let mut listeners =
            (0..scenario.members() + lists.max(1)).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
        let mut addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let discoveries = addresses.split_off(scenario.members());
        let discovery = *discoveries.first().ok_or_else(|| io::Error::other("no listener"))?;
        let list = List { addresses: addresses.clone(), draining: BTreeSet::new(), generation: 1 };
        let every = Span::from_secs_f64(scenario.watch_every_ms.max(10.0) / 1e3);
        let members = scenario.members();
        let shared = Arc::new(Shared {
            model: Mutex::new(Model::new(now(), scenario.clone(), seed)),
            boxes: (0..count).map(|_| Mutex::new(Vec::new())).collect(),
            wakers,
            lists: Mutex::new(vec![list; discoveries.len()]),
            started: now(),
            drained: Mutex::default(),
            scenario,
        });
        let (mut orders, mut threads) = (Vec::new(), Vec::new());
        let mut shares: Vec<Vec<(Whose, TcpListener)>> = (0..count).map(|_| Vec::new()).collect();
        for (index, listener) in listeners.drain(..).enumerate() {
            let (whose, thread) = match index.checked_sub(members) {
                None => (Whose::Member(index as u32), index % count),
                Some(list) => (Whose::List(list), 0),
            };
            shares[thread].push((whose, listener));
        }
        for (thread, (poll, mut listeners)) in polls.into_iter().zip(shares).enumerate() {
            for (token, (_, listener)) in listeners.iter_mut().enumerate() {
                poll.registry().register(listener, Token(token), Interest::READABLE)?;
            }
            let (order, taken) = channel();
            orders.push(order);
            let mut driver = Driver {
                thread,
                poll,
                shared: shared.clone(),
                last: listeners.len(),
                listeners,
                wires: HashMap::new(),
                orders: taken,
                every,
                touched: Vec::new(),
                chunk: vec![0; 16 << 10],
            };
            let named = std::thread::Builder::new().name(format!("fleet-{thread}"));
            threads.push(named.spawn(move || {
                if let Err(fault) = driver.run() {
                    eprintln!("fleet: {fault}");
                }
            })?);
        }
        Ok(Running { addresses, discovery, discoveries, orders, shared, threads })
    }

    /// Watches that begin later are told these addresses, as those of something that stands before the members.
    pub fn present(&self, addresses: &[SocketAddr]) {
        for list in 0..self.discoveries.len() {
            self.present_by(list, addresses);
        }
    }

    /// The same of one list.
    pub fn present_by(&self, list: usize, addresses: &[SocketAddr]) {
        if let Some(list) = self.shared.lists.lock().expect("no holder panics").get_mut(list) {
            list.addresses = addresses.to_vec();
        }
    }

    /// All watches are told that a member wants nothing new.
    pub fn drain(&self, member: u32) {
        for nth in 0..self.discoveries.len() {
            if let Some(list) = self.shared.lists.lock().expect("no holder panics").get_mut(nth) {
                list.draining.insert(member);
                list.generation += 1;
            }
            self.say(nth, &self.shared.line(nth, Some(member)));
            self.shared.drained.lock().expect("no holder panics").push((now(), nth, member));
        }
    }

    pub fn started(&self) -> Time {
        self.shared.started
    }

    /// When which list told which member's drain.
    pub fn drained(&self) -> Vec<(Time, usize, u32)> {
        self.shared.drained.lock().expect("no holder panics").clone()
    }

    /// A line as it is, for the watches of a list.
    pub fn say(&self, list: usize, line: &str) {
        self.order(|| Order::Line(list, line.to_owned()));
    }

    /// Something happens to a member.
    pub fn tell(&self, member: u32, input: Input) {
        if input == Input::Dies {
            self.order(|| Order::Dies(member));
        }
        self.shared.apply(usize::MAX, member, input);
    }

    /// Ends it, and gives what ran where.
    pub fn stop(mut self) -> Truth {
        self.end();
        std::mem::take(&mut self.shared.model.lock().expect("no holder panics").truth)
    }

    fn order(&self, order: impl Fn() -> Order) {
        for (sender, waker) in self.orders.iter().zip(&self.shared.wakers) {
            // A thread that has ended has nothing left to be told.
            let _ = (sender.send(order()), waker.wake());
        }
    }

    fn end(&mut self) {
        self.order(|| Order::Stop);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end();
    }
}

struct Wire {
    stream: TcpStream,
    whose: Whose,
    opened: bool,
    watching: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    closing: bool,
}

struct Driver {
    thread: usize,
    poll: Poll,
    shared: Arc<Shared>,
    listeners: Vec<(Whose, TcpListener)>,
    wires: HashMap<usize, Wire>,
    last: usize,
    orders: Receiver<Order>,
    every: Span,
    /// Connections with something to be written.
    touched: Vec<usize>,
    chunk: Vec<u8>,
}

impl Driver {
    fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        let mut beat = now() + self.every;
        let mut wake: Option<Time> = None;
        loop {
            let until = wake.map_or(beat, |wake| wake.min(beat));
            let wait = Duration::from_nanos((until - now()).nanos().max(0) as u64);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                done => done?,
            }
            for event in &events {
                match event.token() {
                    WAKE => {}
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
            while let Ok(order) = self.orders.try_recv() {
                match order {
                    Order::Stop => return Ok(()),
                    Order::Line(list, line) => self.tell_watches(Some(list), &line),
                    Order::Dies(member) => self.wires.retain(|_, wire| wire.whose != Whose::Member(member)),
                }
            }
            wake = self.shared.advance(self.thread);
            self.put_replies();
            if now() >= beat {
                beat = now() + self.every;
                self.tell_watches(None, "\n");
            }
            for index in std::mem::take(&mut self.touched) {
                self.write(index);
            }
        }
    }

    fn conn(&self, index: usize) -> Conn {
        Conn((index * self.shared.boxes.len() + self.thread) as u64)
    }

    fn accept(&mut self, index: usize) -> io::Result<()> {
        loop {
            let mut stream = match self.listeners[index].1.accept() {
                Ok((stream, _)) => stream,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                // Out of descriptors: the peer's connect fails or waits, as with any member.
                Err(_) => return Ok(()),
            };
            stream.set_nodelay(true)?;
            self.last += 1;
            let token = Token(self.last);
            self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
            let whose = self.listeners[index].0;
            // A dead member's machine refuses: its listener takes and resets.
            let model = || self.shared.model.lock().expect("no holder panics");
            if matches!(whose, Whose::Member(member) if !model().is_alive(member)) {
                continue;
            }
            let wire = Wire {
                stream,
                whose,
                opened: false,
                watching: false,
                input: Vec::new(),
                output: Vec::new(),
                closing: false,
            };
            self.wires.insert(self.last, wire);
        }
    }

    /// A short read has emptied the socket, but for the end behind it, which `ended` tells.
    fn read(&mut self, index: usize, ended: bool) {
        let mut chunk = std::mem::take(&mut self.chunk);
        let going_on = self.read_into(index, ended, &mut chunk);
        self.chunk = chunk;
        if going_on {
            self.take_input(index);
        }
    }

    /// Is the connection still there after it?
    fn read_into(&mut self, index: usize, ended: bool, chunk: &mut [u8]) -> bool {
        loop {
            let Some(wire) = self.wires.get_mut(&index) else { return false };
            match wire.stream.read(chunk) {
                Ok(0) => {
                    self.gone(index);
                    return false;
                }
                Ok(count) => {
                    wire.input.extend_from_slice(&chunk[..count]);
                    if wire.input.len() > MOST {
                        self.gone(index);
                        return false;
                    }
                    if count < chunk.len() && !ended {
                        return true;
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return true,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.gone(index);
                    return false;
                }
            }
        }
    }

    fn take_input(&mut self, index: usize) {
        let Some(wire) = self.wires.get_mut(&index) else { return };
        let input = std::mem::take(&mut wire.input);
        let used = match wire.whose {
            Whose::Member(member) => self.converse(index, member, &input),
            Whose::List(list) => self.discover(index, list, &input),
        };
        self.put_replies();
        if let Some(wire) = self.wires.get_mut(&index) {
            wire.input = input;
            wire.input.drain(..used);
        }
        self.write(index);
    }

    /// Takes what is whole of a router's messages; gives how many bytes that was.
    fn converse(&mut self, index: usize, member: u32, input: &[u8]) -> usize {
        let conn = self.conn(index);
        let Some(wire) = self.wires.get_mut(&index) else { return 0 };
        let mut used = 0;
        if !wire.opened {
            let Some(length) = proto::startup(input) else { return 0 };
            wire.opened = true;
            used = length;
            self.shared.apply(self.thread, member, Input::Opened(conn));
        }
        while let Some((kind, body, length)) = proto::frame(input.get(used..).unwrap_or_default()) {
            used += length;
            let statement = std::str::from_utf8(body).unwrap_or_default().trim_end_matches('\0');
            let ask = match (kind, statement) {
                (b'Q', "") => Ask::Nothing,
                (b'Q', "SHOW server_load") => Ask::Load,
                (b'Q', statement) => {
                    let Some(comment) = proto::comment(statement) else {
                        self.gone(index);
                        return used;
                    };
                    let method = self.shared.scenario.method(comment.method).unwrap_or(usize::MAX) as u32;
                    Ask::Statement { id: comment.id.into(), method, wait: comment.wait, after: comment.after }
                }
                _ => {
                    self.gone(index);
                    return used;
                }
            };
            self.shared.apply(self.thread, member, Input::Asked(conn, ask));
        }
        used
    }

    /// A watch: the whole list, then an empty line now and then.
    fn discover(&mut self, index: usize, list: usize, input: &[u8]) -> usize {
        let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") else { return 0 };
        if let Some(wire) = self.wires.get_mut(&index) {
            wire.output.extend_from_slice(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            wire.watching = true;
        }
        let line = self.shared.line(list, None);
        self.put_line(index, &line);
        end + 4
    }

    fn tell_watches(&mut self, list: Option<usize>, line: &str) {
        let of = |wire: &Wire| list.is_none_or(|list| wire.whose == Whose::List(list));
        let watching = self.wires.iter().filter(|(_, wire)| wire.watching && of(wire));
        for index in watching.map(|(&index, _)| index).collect::<Vec<_>>() {
            self.put_line(index, line);
        }
    }

    fn put_line(&mut self, index: usize, line: &str) {
        if let Some(wire) = self.wires.get_mut(&index) {
            wire.output.extend_from_slice(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes());
            self.touched.push(index);
        }
    }

    /// The model's outputs as bytes on their connections.
    fn put_replies(&mut self) {
        let outputs = std::mem::take(&mut *self.shared.boxes[self.thread].lock().expect("no holder panics"));
        for output in outputs {
            let index = output.conn.0 as usize / self.shared.boxes.len();
            let Some(wire) = self.wires.get_mut(&index) else { continue };
            let out = &mut wire.output;
            match output.reply {
                Reply::Welcome => proto::put_welcome(out),
                Reply::Nothing => {
                    proto::put(out, b'I', &[]);
                    proto::put_ready(out);
                }
                Reply::Report { position, primary, waiting } => {
                    let at = position.nanos() as f64 / 1e9;
                    let text = format!("x0={at:.6},x1={},q={waiting}", u8::from(primary));
                    proto::put_row(out, text.as_bytes(), false, primary, None);
                }
                Reply::Row { id, method, primary, position } => {
                    let shape = self.shared.scenario.methods.get(method as usize);
                    let (size, writes) = shape.map_or((0, false), |shape| (shape.value_bytes, shape.writes));
                    // The value begins with the id, so that a client can tell whose it is.
                    let mut value = id.into_string().into_bytes();
                    value.resize(size.max(value.len()), b'.');
                    proto::put_row(out, &value, writes, primary, Some(position));
                }
                Reply::Refused(code) => proto::put_error(out, "ERROR", code),
                Reply::Fatal(code) => {
                    proto::put_error(out, "FATAL", code);
                    wire.closing = true;
                }
            }
            self.touched.push(index);
        }
    }

    fn write(&mut self, index: usize) {
        let Some(wire) = self.wires.get_mut(&index) else { return };
        while !wire.output.is_empty() {
            match wire.stream.write(&wire.output) {
                Ok(count) => {
                    wire.output.drain(..count);
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock && wire.output.len() <= MOST => return,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.gone(index),
            }
        }
        if wire.closing {
            self.gone(index);
        }
    }

    fn gone(&mut self, index: usize) {
        if let Some(Wire { whose: Whose::Member(member), .. }) = self.wires.remove(&index) {
            let conn = self.conn(index);
            self.shared.apply(self.thread, member, Input::Closed(conn));
        }
    }
}

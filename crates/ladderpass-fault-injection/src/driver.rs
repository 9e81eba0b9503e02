//! The sockets: links, both ends of each connection, the control's unix socket, and the clock.
//!
//! It owns the bytes that wait for their time. It must never decide what happens to them: the engine does.

use crate::control::{self, Reply};
use crate::engine::{Conn, Do, Engine, Passed, What};
use crate::mesh::RunningMesh;
use crate::plan::{Plan, Side};
use crate::record::Decision;
use ladderpass_routing::{Span, Time};
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const WAKE: Token = Token(0);
const CONTROL: Token = Token(1);
const LINKS: usize = 2;

/// What a run leaves behind.
pub struct Left {
    pub record: Vec<Decision>,
    pub never_fired: Vec<String>,
    /// What passed of RPCs, where the control was told to `watch`; times from the tool's start.
    pub passed: Vec<Passed>,
    /// Unix time of its start.
    pub began: Time,
}

/// A tool that runs on a thread of its own.
pub struct Running {
    /// By link, in the order of the plan.
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    waker: Arc<Waker>,
    /// Lines of the control said by the process that has it.
    lines: Sender<(String, Sender<String>)>,
    thread: Option<std::thread::JoinHandle<Left>>,
    /// Datagrams, where the plan has some.
    pub mesh: Option<RunningMesh>,
}

impl Running {
    pub fn start(plan: Plan, control: Option<&Path>) -> io::Result<Running> {
        let mesh = (!plan.ends.is_empty()).then(|| RunningMesh::start(plan.mesh())).transpose()?;
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (lines, said) = channel();
        let mut listeners = Vec::new();
        for (nth, link) in plan.links.iter().enumerate() {
            let named =
                |fault: io::Error| io::Error::new(fault.kind(), format!("link {}: {fault}", link.name));
            let mut listener = TcpListener::bind(link.listen).map_err(named)?;
            poll.registry().register(&mut listener, Token(LINKS + nth), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let mut control = match control {
            Some(path) => Some(bind(path)?),
            None => None,
        };
        if let Some((listener, _)) = &mut control {
            poll.registry().register(listener, CONTROL, Interest::READABLE)?;
        }
        let stop = Arc::new(AtomicBool::new(false));
        let begun = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let began = Time::from_nanos(unix.as_nanos() as i64);
        let mut driver = Driver {
            next: LINKS + plan.links.len(),
            to: plan.links.iter().map(|link| link.to).collect(),
            engine: Engine::new(Time::from_nanos(0), plan),
            poll,
            listeners,
            control,
            begun,
            ends: HashMap::new(),
            pairs: HashMap::new(),
            late: BTreeMap::new(),
            number: 0,
            askers: HashMap::new(),
            said,
        };
        let stopped = stop.clone();
        let thread = std::thread::Builder::new().name("faults".into()).spawn(move || {
            if let Err(fault) = driver.run(&stopped) {
                eprintln!("ladderpass-fault-injection: {fault}");
            }
            if let Some((_, path)) = &driver.control {
                // Its own socket; one that is gone already is no fault.
                let _ = std::fs::remove_file(path);
            }
            Left {
                record: driver.engine.record().to_vec(),
                passed: driver.engine.passed(),
                began,
                never_fired: driver.engine.never_fired().into_iter().map(str::to_owned).collect(),
            }
        })?;
        Ok(Running { addresses, stop, waker, lines, thread: Some(thread), mesh })
    }

    /// A line of the control; what is answered to it at once. `wait` is for those that ask from outside.
    pub fn say(&self, line: &str) -> Result<String, String> {
        let (answer, answered) = channel();
        let gone = || "the tool has ended".to_owned();
        self.lines.send((line.to_owned(), answer)).map_err(|_| gone())?;
        self.waker.wake().map_err(|fault| fault.to_string())?;
        let text = answered.recv_timeout(Duration::from_secs(5)).map_err(|_| gone())?;
        match text.split_once(' ') {
            Some(("error", why)) => Err(why.to_owned()),
            _ => Ok(text),
        }
    }

    pub fn stop(mut self) -> Left {
        let nothing = || Left {
            record: Vec::new(),
            never_fired: Vec::new(),
            passed: Vec::new(),
            began: Time::default(),
        };
        self.end().unwrap_or_else(nothing)
    }

    fn end(&mut self) -> Option<Left> {
        self.stop.store(true, Ordering::Relaxed);
        // A thread that has ended needs no waking.
        let _ = self.waker.wake();
        self.thread.take()?.join().ok()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end();
    }
}

/// A control socket; one that an earlier run left, and that nobody answers on, is taken away.
fn bind(path: &Path) -> io::Result<(UnixListener, PathBuf)> {
    if path.exists() && std::os::unix::net::UnixStream::connect(path).is_err() {
        std::fs::remove_file(path)?;
    }
    let named = |fault: io::Error| io::Error::new(fault.kind(), format!("{}: {fault}", path.display()));
    Ok((UnixListener::bind(path).map_err(named)?, path.to_owned()))
}

/// One end of a connection.
struct End {
    stream: TcpStream,
    conn: Conn,
    side: Side,
    output: VecDeque<u8>,
    /// Nothing more comes to it once its output is written.
    ending: bool,
    ended: bool,
    /// It stopped being read for want of room.
    full: bool,
}

#[derive(Default)]
struct Pair {
    ends: [Option<usize>; 2],
    /// Bytes on their way to each side that wait for their time.
    late: [usize; 2],
}

struct Asker {
    stream: UnixStream,
    input: Vec<u8>,
    /// Until when, for which rule and how many hits it waits.
    waits: Option<(Time, String, u64)>,
}

struct Driver {
    poll: Poll,
    engine: Engine,
    to: Vec<SocketAddr>,
    listeners: Vec<TcpListener>,
    control: Option<(UnixListener, PathBuf)>,
    begun: Instant,
    next: usize,
    ends: HashMap<usize, End>,
    pairs: HashMap<Conn, Pair>,
    late: BTreeMap<(Time, u64), Do>,
    number: u64,
    askers: HashMap<usize, Asker>,
    said: Receiver<(String, Sender<String>)>,
}

impl Driver {
    fn now(&self) -> Time {
        Time::from_nanos(self.begun.elapsed().as_nanos() as i64)
    }

    fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !stop.load(Ordering::Relaxed) {
            let now = self.now();
            let due = self.late.first_key_value().map(|(&(at, _), _)| at);
            let waits =
                self.askers.values().any(|asker| asker.waits.is_some()).then(|| now + Span::from_millis(2));
            let wake = due.into_iter().chain(waits).min();
            let wait = wake.map(|at| Duration::from_nanos((at - now).nanos().max(0) as u64));
            match self.poll.poll(&mut events, wait) {
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                done => done?,
            }
            for event in &events {
                match event.token() {
                    WAKE => self.take_lines(),
                    CONTROL => self.hear()?,
                    Token(index) if index < LINKS + self.listeners.len() => self.accept(index - LINKS)?,
                    Token(index) if self.askers.contains_key(&index) => self.ask(index),
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
            let now = self.now();
            self.act_on_late(now);
            self.answer_those_that_wait(now);
        }
        Ok(())
    }

    fn token(&mut self) -> usize {
        self.next += 1;
        self.next
    }

    fn accept(&mut self, link: usize) -> io::Result<()> {
        loop {
            let stream = match self.listeners[link].accept() {
                Ok((stream, _)) => stream,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return Ok(()),
                // Out of descriptors, or gone already: it is as if it had been refused.
                Err(_) => return Ok(()),
            };
            let (conn, leads, todo) = self.engine.opened(self.now(), link);
            self.pairs.insert(conn, Pair::default());
            self.add(conn, Side::Client, stream)?;
            if leads {
                match TcpStream::connect(self.to[link]) {
                    Ok(stream) => self.add(conn, Side::Server, stream)?,
                    Err(_) => self.close(conn, false),
                }
            }
            self.take(todo);
        }
    }

    fn add(&mut self, conn: Conn, side: Side, mut stream: TcpStream) -> io::Result<()> {
        // One that is coming up still can't be told so; it is told again when it is.
        let _ = stream.set_nodelay(true);
        let index = self.token();
        self.poll.registry().register(&mut stream, Token(index), Interest::READABLE | Interest::WRITABLE)?;
        let end =
            End { stream, conn, side, output: VecDeque::new(), ending: false, ended: false, full: false };
        self.ends.insert(index, end);
        if let Some(pair) = self.pairs.get_mut(&conn) {
            pair.ends[side as usize] = Some(index);
        }
        Ok(())
    }

    /// What waited and whose time has come, in its order.
    fn act_on_late(&mut self, now: Time) {
        while let Some(entry) = self.late.first_entry()
            && entry.key().0 <= now
        {
            let one = entry.remove();
            if let (What::Send(side, bytes), Some(pair)) = (&one.what, self.pairs.get_mut(&one.conn)) {
                pair.late[*side as usize] -= bytes.len();
            }
            self.act(one);
        }
    }

    /// Those whose time has come are done, the others wait.
    fn take(&mut self, todo: Vec<Do>) {
        let now = self.now();
        // Guards the order of a direction: something late that stands before these may have come due meanwhile.
        self.act_on_late(now);
        for one in todo {
            // What stands behind something late waits too, which its time tells already.
            if one.at <= now {
                self.act(one);
                continue;
            }
            if let (What::Send(side, bytes), Some(pair)) = (&one.what, self.pairs.get_mut(&one.conn)) {
                pair.late[*side as usize] += bytes.len();
            }
            self.number += 1;
            self.late.insert((one.at, self.number), one);
        }
    }

    fn act(&mut self, one: Do) {
        let end = |side: Side| self.pairs.get(&one.conn).and_then(|pair| pair.ends[side as usize]);
        match one.what {
            What::Send(side, bytes) => {
                let Some(index) = end(side) else { return };
                if let Some(end) = self.ends.get_mut(&index) {
                    end.output.extend(bytes);
                }
                self.write(index);
                // Its sender may have waited for room.
                if let Some(other) =
                    self.pairs.get(&one.conn).and_then(|pair| pair.ends[side.other() as usize])
                    && self.ends.get(&other).is_some_and(|end| end.full)
                {
                    self.read(other);
                }
            }
            What::End(side) => {
                let Some(index) = end(side) else { return };
                if let Some(end) = self.ends.get_mut(&index) {
                    end.ending = true;
                }
                self.write(index);
            }
            What::Close => self.close(one.conn, false),
            What::Reset => self.close(one.conn, true),
        }
    }

    fn close(&mut self, conn: Conn, reset: bool) {
        let Some(pair) = self.pairs.remove(&conn) else { return };
        for index in pair.ends.into_iter().flatten() {
            let Some(mut end) = self.ends.remove(&index) else { continue };
            if reset {
                // With no time to linger the close is a reset.
                let _ = socket2::SockRef::from(&end.stream).set_linger(Some(Duration::ZERO));
            } else {
                let rest: Vec<u8> = end.output.drain(..).collect();
                let _ = end.stream.write(&rest);
            }
        }
        let now = self.now();
        self.engine.closed(now, conn);
    }

    fn read(&mut self, index: usize) {
        let mut chunk = [0; 16 << 10];
        loop {
            let now = self.now();
            let Some(end) = self.ends.get_mut(&index) else { return };
            let (conn, side) = (end.conn, end.side);
            if end.ended {
                return;
            }
            let other = self.pairs.get(&conn).and_then(|pair| pair.ends[side.other() as usize]);
            let late = self.pairs.get(&conn).map_or(0, |pair| pair.late[side.other() as usize]);
            let unwritten = other.and_then(|other| self.ends.get(&other)).map_or(0, |end| end.output.len());
            let wants = self.engine.wants(conn, side, late + unwritten);
            let Some(end) = self.ends.get_mut(&index) else { return };
            end.full = !wants;
            if !wants {
                return;
            }
            let todo = match end.stream.read(&mut chunk) {
                Ok(0) => {
                    end.ended = true;
                    self.engine.ended(now, conn, side)
                }
                Ok(count) => self.engine.came(now, conn, side, &chunk[..count]),
                Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    return;
                }
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return self.close(conn, true),
            };
            self.take(todo);
        }
    }

    fn write(&mut self, index: usize) {
        let Some(end) = self.ends.get_mut(&index) else { return };
        let conn = end.conn;
        while !end.output.is_empty() {
            let (front, _) = end.output.as_slices();
            match end.stream.write(front) {
                Ok(count) => {
                    end.output.drain(..count);
                }
                Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    return;
                }
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.close(conn, true),
            }
        }
        if end.ending {
            // An end that is gone already can't be ended once more.
            let _ = end.stream.shutdown(std::net::Shutdown::Write);
            end.ending = false;
        }
        // Both directions over: nothing of it is left to pass, now or at its time.
        let ends = self.pairs.get(&conn).filter(|pair| pair.late == [0, 0]).map(|pair| pair.ends);
        let over = |index: Option<usize>| {
            index.and_then(|index| self.ends.get(&index)).is_none_or(|end| end.ended && end.output.is_empty())
        };
        if ends.is_some_and(|ends| ends.into_iter().all(over)) {
            self.close(conn, false);
        }
    }

    fn take_lines(&mut self) {
        while let Ok((line, answer)) = self.said.try_recv() {
            let now = self.now();
            let (reply, todo) = control::carry_out(&mut self.engine, now, &line);
            self.take(todo);
            let text = match reply {
                Reply::Now(text) => text,
                Reply::Later(..) => "error wait is for the control's socket".into(),
            };
            // One that did not wait needs no answer.
            let _ = answer.send(text);
        }
    }

    fn hear(&mut self) -> io::Result<()> {
        loop {
            let Some((listener, _)) = &self.control else { return Ok(()) };
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(_) => return Ok(()),
            };
            let index = self.token();
            self.poll.registry().register(&mut stream, Token(index), Interest::READABLE)?;
            self.askers.insert(index, Asker { stream, input: Vec::new(), waits: None });
        }
    }

    fn ask(&mut self, index: usize) {
        let mut chunk = [0; 4096];
        loop {
            let Some(asker) = self.askers.get_mut(&index) else { return };
            match asker.stream.read(&mut chunk) {
                Ok(0) => {
                    self.askers.remove(&index);
                    return;
                }
                Ok(count) => {
                    asker.input.extend_from_slice(&chunk[..count]);
                    if asker.input.len() > 64 << 10 {
                        self.reply(index, "error the line is too long");
                        self.askers.remove(&index);
                        return;
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => break,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.askers.remove(&index);
                    return;
                }
            }
        }
        while let Some(asker) = self.askers.get_mut(&index)
            && asker.waits.is_none()
            && let Some(end) = asker.input.iter().position(|&byte| byte == b'\n')
        {
            let line: Vec<u8> = asker.input.drain(..=end).collect();
            let now = self.now();
            let (reply, todo) = control::carry_out(&mut self.engine, now, &String::from_utf8_lossy(&line));
            self.take(todo);
            match reply {
                Reply::Now(text) => self.reply(index, &text),
                Reply::Later(until, name, hits) => {
                    if let Some(asker) = self.askers.get_mut(&index) {
                        asker.waits = Some((until, name, hits));
                    }
                }
            }
        }
    }

    fn reply(&mut self, index: usize, text: &str) {
        if let Some(asker) = self.askers.get_mut(&index) {
            // One that asks and has gone needs no answer.
            let _ = asker.stream.write_all(format!("{text}\n").as_bytes());
        }
    }

    fn answer_those_that_wait(&mut self, now: Time) {
        let engine = &self.engine;
        let over = |asker: &Asker| {
            let (until, name, hits) = asker.waits.as_ref()?;
            match control::is_met(engine, name, *hits) {
                true => Some("ok"),
                false => (now >= *until).then_some("error wait: the time is over"),
            }
        };
        let done: Vec<(usize, &str)> =
            self.askers.iter().filter_map(|(&index, asker)| Some((index, over(asker)?))).collect();
        for (index, text) in done {
            self.reply(index, text);
            if let Some(asker) = self.askers.get_mut(&index) {
                asker.waits = None;
            }
            self.ask(index);
        }
    }
}

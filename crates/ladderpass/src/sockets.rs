//! The loop over sockets: turns readiness, timers and signals into events for the reducer, and carries its
//! effects out.
//!
//! It owns the sockets and the clock, and nothing else. It must never decide: which connection, when and what
//! is written stands in the reducer.

use crate::arrival::WallClock;
use crate::connection_table::{Connection, ConnectionTable, EventSource};
use crate::failures::{Postponed, is_passing, is_short};
use crate::launch::Launch;
use crate::limits::Reread;
use crate::reducer::{ConnectionId, Effect, Event, Reducer};
use calloop::{LoopHandle, RegistrationToken};
use ladderpass_routing::{Span, Time};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "sockets/resource_usage.rs"]
mod resource_usage;
#[path = "sockets/start.rs"]
mod start;

use resource_usage::ResourceUsage;
use start::{Sources, open_patiently};

/// One reading of the wall clock, and the monotonic one from there: a time that can't jump.
struct Clock {
    origin: Time,
    since: Instant,
}

impl Clock {
    /// `off`: how far the wall clock of a build for the lab is off.
    fn new(off: Span) -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Time::from_nanos(wall.as_nanos() as i64) + off, since: Instant::now() }
    }

    fn now(&self) -> Time {
        self.origin + Span::from_nanos(self.since.elapsed().as_nanos() as i64)
    }
}

/// When what could not be read was tried last, and until when it is.
struct UnreadLaunch {
    tried_at: Instant,
    until: Instant,
}

/// What became of those that wait at the listener.
enum Accepted {
    All,
    More,
    /// There is no room for the next one.
    Full,
}

struct Front {
    clock: Clock,
    reducer: Reducer,
    handle: LoopHandle<'static, Front>,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// The reducer wants new connections; and the listener is in the loop.
    listening: bool,
    enabled: bool,
    /// Where the operator's file stands, if there is one.
    operator: Option<PathBuf>,
    /// SIGHUP came, and what the router is told could not be read yet.
    unread_launch: Option<UnreadLaunch>,
    reread: Reread,
    usage: ResourceUsage,
    short_rest: Duration,
    /// Reads from one connection in one go; those with more to read have their next go after the others.
    reads: usize,
    unfinished: Vec<ConnectionId>,
    /// What a call that failed for a moment left undone, and how long it rests.
    postponed: Postponed,
    postponed_rest: Duration,
    connections: ConnectionTable,
    wall_clock: WallClock,
    /// When nobody waited at the listener.
    listener_empty_at: Instant,
    /// The sockets were looked at since the loop began to wait.
    harvested: bool,
    /// The socket that other routers send to.
    peers: Option<Rc<UdpSocket>>,
    /// What the sockets told and has not been looked at yet: members' answers stand before clients' statements.
    ready_queue: VecDeque<ConnectionId>,
    /// Clients that have left, as the sockets told just now.
    left: Vec<ConnectionId>,
    /// Events looked at before the reducer has its turn.
    budget: usize,
    effects: Vec<Effect>,
    /// Events came since the last turn.
    has_pending: bool,
    longest_wait: Duration,
    stall: Duration,
    looked_at_within: Duration,
    /// When the loop was to be awake at the latest.
    awake_by: Option<Instant>,
    /// The listener rests until a connection closes, or for a while: there was no descriptor for the next
    /// one.
    short: Option<Instant>,
    over: bool,
}

/// Serves until it is told to stop.
pub fn run(launch: Launch, operator: Option<PathBuf>) -> Result<(), String> {
    let Sources { mut event_loop, connections, listener, token, peers } = open_patiently(&launch)?;
    let handle = event_loop.handle();
    let name = launch.fixed.name.clone();
    let address = launch.fixed.listen;
    let reads = launch.limits.reads_per_event;
    let (longest, stall) = (launch.limits.max_poll_wait, launch.limits.stall_threshold);
    let looked_at_within = launch.limits.max_poll_age;
    let budget = launch.limits.sockets_per_iteration;
    let (allowed, told) = (launch.resource_limits.descriptors, launch.configured_sockets);
    let short_rest = Duration::from_nanos(launch.limits.denied_connect_backoff.nanos().max(0) as u64);
    let (postponed_rest, loop_fails) =
        (launch.limits.failed_call_backoff, launch.limits.event_loop_failure_timeout);
    let reread = launch.limits.reread;
    let clock = Clock::new(launch.clock_offset);
    let reducer = Reducer::start(clock.now(), launch);
    if allowed < told {
        tracing::warn!("limits.sockets says {told}, and the process may open {allowed}: that holds");
    }
    tracing::info!("{name} listens on {address}");
    let mut front = Front {
        clock,
        reducer,
        handle,
        listener: Some((listener, token)),
        listening: true,
        enabled: true,
        operator,
        unread_launch: None,
        reread,
        usage: ResourceUsage::new(),
        short_rest,
        reads,
        unfinished: Vec::new(),
        postponed: Postponed::default(),
        postponed_rest,
        connections,
        wall_clock: WallClock::default(),
        listener_empty_at: Instant::now(),
        harvested: false,
        peers,
        ready_queue: VecDeque::new(),
        left: Vec::new(),
        budget,
        effects: Vec::new(),
        has_pending: false,
        longest_wait: longest,
        stall,
        looked_at_within,
        awake_by: None,
        short: None,
        over: false,
    };
    let mut failing_since = None;
    while !front.over {
        front.turn();
        if front.over {
            break;
        }
        // What the effects brought about has its turn at once.
        let wait = match front.reducer.wake_at() {
            _ if front.has_pending || !front.unfinished.is_empty() || !front.ready_queue.is_empty() => {
                Some(Duration::ZERO)
            }
            wake => wake.map(|at| Duration::from_nanos((at - front.clock.now()).nanos().max(0) as u64)),
        };
        let wait = wait.map_or(longest, |wait| wait.min(longest));
        let wait = if front.postponed.is_empty() { wait } else { wait.min(postponed_rest) };
        front.sample_usage();
        front.awake_by = Some(Instant::now() + wait);
        let unfinished = std::mem::take(&mut front.unfinished);
        let began = Instant::now();
        front.harvested = false;
        match event_loop.dispatch(wait, &mut front) {
            Ok(()) => {
                failing_since = None;
                if !front.harvested {
                    front.connections.was_quiet(began);
                }
            }
            Err(fault) => {
                let since = *failing_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= loop_fails {
                    return Err(format!("event loop: {fault}"));
                }
                front.go_without_the_loop(&fault);
            }
        }
        front.usage.awake = front.usage.awake.or_else(|| Some(Instant::now()));
        front.handle_ready();
        unfinished.into_iter().for_each(|id| front.read(id, true));
        front.resume();
    }
    tracing::info!("{name} has stopped");
    Ok(())
}

impl Front {
    /// The first event of a batch that comes long after the loop was to be awake shows that it stalled.
    fn check_stall(&mut self) {
        self.usage.awake.get_or_insert_with(Instant::now);
        let late = self.awake_by.take().map(|by| Instant::now().saturating_duration_since(by));
        if let Some(late) = late.filter(|&late| late >= self.stall) {
            self.apply(Event::Stalled(Span::from_nanos((late + self.longest_wait).as_nanos() as i64)));
        }
    }

    /// Guards all that is owed against a loop that can't wait for its sources, as where the kernel has no memory to arm
    /// them: connections are looked at all the same. The sources tell what they have once the loop waits again.
    fn go_without_the_loop(&mut self, fault: &calloop::Error) {
        tracing::warn!("event loop: {fault}");
        std::thread::sleep(self.postponed_rest);
        self.harvest();
        if self.enabled {
            self.accept();
        }
    }

    /// Does once more what failed for a moment.
    fn resume(&mut self) {
        for (id, stream) in std::mem::take(&mut self.postponed.accepted) {
            self.let_in(id, stream);
        }
        std::mem::take(&mut self.postponed.reads).into_iter().for_each(|id| self.read(id, true));
        std::mem::take(&mut self.postponed.writes).into_iter().for_each(|id| self.write(id));
    }

    fn harvest(&mut self) {
        self.check_stall();
        self.poll_connections();
    }

    /// Takes what the sockets tell. An answer ends work that is under way, a statement begins some: so answers of
    /// members come first. Guards members against RPCs whose clients have left: their ends stand behind nothing, however
    /// many there are, and whether or not there is room for what they sent before; nothing of that is begun.
    fn poll_connections(&mut self) {
        self.harvested = true;
        let (told, left) = (&mut self.ready_queue, &mut self.left);
        let taken = self.connections.harvest(|id, source| match source {
            EventSource::Member => told.push_front(id),
            EventSource::Client => told.push_back(id),
            EventSource::ClosedClient => left.push(id),
        });
        if let Err(fault) = taken {
            tracing::error!("event loop: {fault}");
        }
        for id in std::mem::take(&mut self.left) {
            self.apply(Event::Closed(id));
        }
    }

    /// Guards timers, deadlines and members' answers against a batch that would hold the loop for long: past the
    /// budget the reducer has its turn, and the rest is looked at after it.
    fn handle_ready(&mut self) {
        for _ in 0..self.budget {
            let Some(id) = self.ready_queue.pop_front() else { return };
            self.ready(id);
        }
    }

    /// What the router is told may have changed. A bad or half-written file changes nothing: the old one stays. It is
    /// read again for a while, as it may be half written now, or the system short of something.
    fn read_again(&mut self) {
        let now = Instant::now();
        self.unread_launch = None;
        match self.read_launch() {
            Ok(launch) => self.apply(Event::ConfigurationReloaded(Box::new(launch))),
            Err(faults) => {
                faults.lines().for_each(|fault| tracing::error!("told anew, kept as it was: {fault}"));
                self.unread_launch = Some(UnreadLaunch { tried_at: now, until: now + self.reread.tries });
            }
        }
    }

    fn read_launch(&self) -> Result<Launch, String> {
        let launch = Launch::read(|key| std::env::var(key).ok(), self.operator.as_deref());
        launch.map_err(|errors| errors.to_string())
    }

    /// Tries once more what could not be read; its faults were told.
    fn read_once_more(&mut self) {
        let now = Instant::now();
        let Some(unread) = &mut self.unread_launch else { return };
        if now >= unread.until {
            self.unread_launch = None;
        } else if now - unread.tried_at >= self.reread.rest {
            unread.tried_at = now;
            if let Ok(launch) = self.read_launch() {
                self.unread_launch = None;
                self.apply(Event::ConfigurationReloaded(Box::new(launch)));
            }
        }
    }

    /// Hands over what this turn of the loop took and, now and then, what the process uses.
    fn sample_usage(&mut self) {
        let Some(due) = self.reducer.next_sample_at() else { return };
        let busy = self.usage.awake.take().map_or(Duration::ZERO, |awake| awake.elapsed());
        self.usage.busy += busy;
        let has_pending = self.has_pending;
        self.apply(Event::IterationWorked(Span::from_nanos(busy.as_nanos() as i64), self.ready_queue.len()));
        if self.clock.now() >= due {
            let sample = self.usage.take(self.connections.len());
            self.apply(Event::ResourcesSampled(sample));
        }
        self.has_pending = has_pending;
        self.carry_out();
    }

    fn apply(&mut self, event: Event) {
        let now = self.clock.now();
        self.has_pending = !matches!(event, Event::Tick);
        let effects = self.reducer.handle(now, event);
        self.effects.extend(effects);
    }

    /// After a batch: the reducer's turn, then what it and the batch asked for.
    fn turn(&mut self) {
        // Guards those at the door where it was not this process that was short, and none of its connections
        // closes.
        if self.short.is_some_and(|since| since.elapsed() >= self.short_rest) {
            self.short = None;
        }
        self.read_once_more();
        // Here too as the call that does it may have failed.
        self.enable_listener(self.listening && self.short.is_none());
        self.carry_out();
        self.catch_up();
        self.apply(Event::Tick);
        self.carry_out();
    }

    /// Guards members, and clients, against a clock that went on while this process stalled: all that came to the
    /// sockets meanwhile is looked at before any deadline is.
    fn catch_up(&mut self) {
        if self.connections.polled_at().elapsed() < self.looked_at_within {
            return;
        }
        self.harvest();
        for _ in 0..=self.ready_queue.len() / self.budget {
            self.handle_ready();
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        while !self.effects.is_empty() {
            // Guards members against RPCs whose clients left while the batch, or the turn, was worked on: the sockets are
            // looked at once more right before attempts begin, all at once. What has not been written is taken back.
            if self.begins() {
                self.poll_connections();
            }
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Connect(id, address) => self.connect(id, address),
                    Effect::Write(id) => self.write(id),
                    Effect::Read(id) => self.read(id, true),
                    Effect::Close(id) => self.close(id),
                    Effect::CloseIfQuiet(id) => self.close_if_quiet(id),
                    Effect::Accept(wanted) => self.listen(wanted),
                    Effect::SendDatagrams => self.send_datagrams(),
                    Effect::StopListening => self.stop_listening(),
                    Effect::Exit => self.over = true,
                }
            }
        }
    }

    /// Is something to be written to a member?
    fn begins(&self) -> bool {
        let to_member = |effect: &Effect| matches!(effect, Effect::Write(id) if self.connections.get(*id).is_some_and(|w| w.ours));
        self.effects.iter().any(to_member)
    }

    /// Guards against a flood: so many datagrams a turn. Whose words count is not this loop's to say.
    fn receive_datagrams(&mut self) {
        let Some(socket) = self.peers.clone() else { return };
        let mut room = [0; 2048];
        for _ in 0..self.budget {
            let Ok((count, from)) = socket.recv_from(&mut room) else { return };
            self.apply(Event::DatagramReceived(from, room[..count].to_vec()));
        }
    }

    /// One that can't be sent is lost, as on any way.
    fn send_datagrams(&mut self) {
        let Some(socket) = &self.peers else { return };
        for (to, bytes) in self.reducer.take_datagrams() {
            if let Err(fault) = socket.send_to(&bytes, to) {
                tracing::debug!("datagram to {to}: {fault}");
            }
        }
    }

    fn listen(&mut self, wanted: bool) {
        self.listening = wanted;
        self.enable_listener(wanted && self.short.is_none());
    }

    fn enable_listener(&mut self, enabled: bool) {
        let Some((_, token)) = &self.listener else { return };
        if enabled == self.enabled {
            return;
        }
        let done = if enabled { self.handle.enable(token) } else { self.handle.disable(token) };
        match done {
            Ok(()) => self.enabled = enabled,
            // The next turn tries again.
            Err(fault) => tracing::error!("listener: {fault}"),
        }
    }

    /// Guards those that wait at the listener, whose RPCs count as taken: it is closed only once all are in. Where
    /// there is no room for them yet, the reducer asks again.
    fn stop_listening(&mut self) {
        loop {
            match self.accept() {
                Accepted::More => {}
                Accepted::Full => return,
                Accepted::All => break,
            }
        }
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
        self.apply(Event::ListenerClosed);
    }

    /// Takes what waits at the listener. Some of it has waited so long that its client has left: the sockets tell.
    fn accept(&mut self) -> Accepted {
        let accepted = self.accept_some();
        self.harvest();
        accepted
    }

    fn accept_some(&mut self) -> Accepted {
        self.check_stall();
        let Some((listener, _)) = self.listener.clone() else { return Accepted::All };
        if !self.postponed.accepted.is_empty() {
            return Accepted::Full;
        }
        for _ in 0..self.reducer.accept_budget() {
            if !self.reducer.accepts_clients() {
                return Accepted::Full;
            }
            let asked_at = Instant::now();
            match listener.accept() {
                Ok((stream, _)) => {
                    let id = self.reducer.next_id();
                    self.let_in(id, stream);
                    if !self.postponed.accepted.is_empty() {
                        return Accepted::Full;
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    self.listener_empty_at = asked_at;
                    return Accepted::All;
                }
                Err(fault) if !is_short(&fault) => tracing::debug!("accept: {fault}"),
                Err(fault) => {
                    // Guards against a spin on a listener that stays ready, as when descriptors are out.
                    tracing::warn!("accept: {fault}");
                    self.short = Some(Instant::now());
                    self.enable_listener(false);
                    return Accepted::Full;
                }
            }
        }
        Accepted::More
    }

    /// Guards the request of a client that the machine has accepted: where it can't be watched for a moment it waits.
    fn let_in(&mut self, id: ConnectionId, stream: TcpStream) {
        if let Err((stream, fault)) = self.register(id, stream, false) {
            tracing::warn!("accept: {fault}");
            self.postponed.accepted.push((id, stream));
            return;
        }
        self.apply(Event::Accepted(id));
        self.read(id, true);
        // Guards the allowance: one that had ended at the listener gives its descriptor back before the next takes one.
        self.close_at_once(id);
    }

    /// Carries out the close of a connection, where it was asked for, before all else that was.
    fn close_at_once(&mut self, id: ConnectionId) {
        if let Some(nth) = self.effects.iter().rposition(|effect| *effect == Effect::Close(id)) {
            self.effects.remove(nth);
            self.close(id);
        }
    }

    /// Guards statements that came since a connection was looked at: it is read to its end, and closed with nothing done
    /// in between.
    fn close_if_quiet(&mut self, id: ConnectionId) {
        self.read(id, true);
        self.apply(Event::ReadToEnd(id));
        self.close_at_once(id);
    }

    fn connect(&mut self, id: ConnectionId, address: SocketAddr) {
        let open = || -> io::Result<TcpStream> {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            match socket.connect(&address.into()) {
                Err(fault) if fault.raw_os_error() != Some(IN_PROGRESS) => Err(fault),
                _ => Ok(socket.into()),
            }
        };
        let registered =
            open().and_then(|stream| self.register(id, stream, true).map_err(|(_, fault)| fault));
        if let Err(fault) = registered {
            tracing::debug!("connect to {address}: {fault}");
            self.apply(if is_short(&fault) { Event::ConnectDenied(id) } else { Event::Closed(id) });
        }
    }

    /// Gives the stream back where it can't be watched.
    fn register(
        &mut self,
        id: ConnectionId,
        stream: TcpStream,
        ours: bool,
    ) -> Result<(), (TcpStream, io::Error)> {
        if let Err(fault) = stream.set_nonblocking(true) {
            return Err((stream, fault));
        }
        // Without it answers may come a little later, and no more.
        if let Err(fault) = stream.set_nodelay(true) {
            tracing::debug!("no TCP_NODELAY: {fault}");
        }
        let quiet_until = if ours { Instant::now() } else { self.listener_empty_at };
        self.connections
            .add(id, Connection::new(stream, ours, quiet_until))
            .map_err(|(connection, fault)| (connection.stream, fault))
    }

    fn ready(&mut self, id: ConnectionId) {
        let Some((ready, connection)) = self.connections.take(id) else { return };
        let ours = connection.ours;
        if connection.connecting {
            match connection.stream.take_error() {
                Ok(None) if ready.writable => {
                    connection.connecting = false;
                    self.apply(Event::Connected(id));
                }
                Ok(None) => return,
                Ok(Some(_)) | Err(_) => return self.apply(Event::Closed(id)),
            }
        }
        // It was told already, when the end came.
        if ready.ended && !ours {
            return;
        }
        if ready.writable {
            self.write(id);
        }
        if ready.readable || ready.ended {
            self.read(id, ready.ended);
        }
    }

    /// Reads what is there, as far as the reducer has room. Guards the others against a client that sends without
    /// end: it gets so many reads in one go. A read that has not filled its room has emptied the socket: what comes
    /// later is told anew. `on`: there may be more all the same, as where an end stands behind it. Where there was no
    /// room, or no go left, the reducer is told once the socket is read to its end after all.
    fn read(&mut self, id: ConnectionId, on: bool) {
        for _ in 0..self.reads {
            let Some(connection) = self.connections.get_mut(id).filter(|connection| !connection.connecting)
            else {
                return;
            };
            let room = self.reducer.read_buffer(id);
            if room.is_empty() {
                connection.unread = true;
                return;
            }
            let wanted = room.len();
            let asked_at = Instant::now();
            let emptied = match connection.read(room) {
                Ok((0, _)) => return self.apply(Event::Closed(id)),
                Ok((count, stamp)) => {
                    let quiet_until = connection.quiet_until;
                    let waited = stamp.map_or(Span::ZERO, |stamp| self.waited(stamp, quiet_until));
                    self.apply(Event::Received(id, count, waited));
                    count < wanted && !on
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => true,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => false,
                Err(fault) if is_passing(&fault) => {
                    connection.unread = true;
                    self.postponed.reads.push(id);
                    return self.apply(Event::MoreToRead(id));
                }
                Err(_) => return self.apply(Event::Closed(id)),
            };
            if emptied {
                let was_unread = self.connections.get_mut(id).is_some_and(|connection| {
                    connection.quiet_until = asked_at;
                    std::mem::take(&mut connection.unread)
                });
                if was_unread {
                    self.apply(Event::Drained(id));
                }
                return;
            }
        }
        if let Some(connection) = self.connections.get_mut(id) {
            connection.unread = true;
            self.apply(Event::MoreToRead(id));
            self.unfinished.push(id);
        }
    }

    /// How long what has this stamp of the kernel's had waited, on a connection that held nothing until then.
    fn waited(&mut self, stamp: Duration, quiet_until: Instant) -> Span {
        let before = self.clock.since.elapsed();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = self.clock.since.elapsed();
        // Guards against a pause of this process between the two, which would look like a step.
        if now - before < READ_TOGETHER {
            self.wall_clock.is_read(before, wall);
        }
        let waited = self.wall_clock.waited(now, stamp, quiet_until.elapsed());
        Span::from_nanos(waited.as_nanos() as i64)
    }

    /// Writes all that there is, as far as the socket takes it.
    fn write(&mut self, id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(id).filter(|connection| !connection.connecting)
            else {
                return;
            };
            let bytes = self.reducer.outgoing(id);
            if bytes.is_empty() {
                return;
            }
            match connection.stream.write(bytes) {
                Ok(count) => self.apply(Event::Written(id, count)),
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    return self.apply(Event::WriteBlocked(id));
                }
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                // The kernel tells of no room that there always was: it is tried again unasked.
                Err(fault) if is_passing(&fault) => return self.postponed.writes.push(id),
                Err(_) => return self.apply(Event::Closed(id)),
            }
        }
    }

    fn close(&mut self, id: ConnectionId) {
        if self.connections.remove(id) && self.short.take().is_some() {
            self.enable_listener(self.listening);
        }
    }
}

/// Two clocks that were read within this are taken for read at once.
const READ_TOGETHER: Duration = Duration::from_millis(1);

/// What a connect that goes on in the background answers: EINPROGRESS.
const IN_PROGRESS: i32 = 115;

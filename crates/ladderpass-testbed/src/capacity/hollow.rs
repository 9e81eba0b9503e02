//! Hollow routers: many real reducers in one world with a clock of its own, before hollow members and a
//! hollow discovery. What they say to each other is the program's own: only sockets, clients and members are
//! stood in for.
//!
//! It owns the world: who reaches whom, when bytes arrive, and counts of all that was sent. It must never
//! look into what routers believe but by what they tell, and never decide in their place.

use ladderpass::launch::Launch;
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_emulator::{Scenario, proto};
use ladderpass_routing::{Span, Time};
use nix::time::{ClockId, clock_gettime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Shape {
    pub routers: usize,
    pub groups: usize,
    /// Of all groups together: the first of each is its primary.
    pub members: usize,
    /// Statements a second that come to a router, over all groups, and the part of them that writes.
    pub rate: f64,
    pub writes: f64,
    /// Routers tell each other; they shed and pay as one.
    pub peers: bool,
    pub fleet: bool,
    /// One way, to anybody; a datagram is lost with this chance.
    pub way: Span,
    pub loss: f64,
    /// Routers whose processor time is measured: from the first on.
    pub observed: usize,
    /// A router starts with the list that it held last.
    pub remembered: bool,
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            routers: 16,
            groups: 8,
            members: 24,
            rate: 25.0,
            writes: 0.2,
            peers: true,
            fleet: false,
            way: Span::from_nanos(250_000),
            loss: 0.0,
            observed: 0,
            remembered: false,
            seed: 1,
        }
    }
}

impl Shape {
    /// Groups of three members.
    pub fn of(routers: usize, groups: usize) -> Shape {
        Shape { routers, groups, members: 3 * groups, ..Shape::default() }
    }

    pub fn group_of(&self, member: usize) -> usize {
        member % self.groups
    }
}

/// Zones are shared out alike; regions are made of zones.
pub const ZONES: usize = 8;
pub const REGION_OF_ZONE: [usize; ZONES] = [0, 0, 0, 1, 1, 1, 2, 2];

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    pub datagrams: u64,
    pub bytes: u64,
}

impl Flow {
    fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// What one router sent and met.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Words on members; the membership's own, with what goes along.
    pub words: Flow,
    pub membership: Flow,
    /// Datagrams that came to it, and those to it that were lost on the way or found it gone.
    pub heard: u64,
    pub lost: u64,
    pub probes: u64,
    pub statements: u64,
    pub answered: u64,
    pub refused: u64,
    /// Statements for which no connection was to be had.
    pub crowded: u64,
    pub connects: u64,
    pub watches: u64,
    /// Bytes of lists that came.
    pub list_bytes: u64,
    pub turns: u64,
}

/// What an event was about, for processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum About {
    Words,
    Membership,
    Data,
    List,
    /// A turn after datagrams alone, or for a time that came; one after data.
    Turn,
    TurnOfData,
}

const ABOUTS: usize = 6;

/// Events and the processor time that they took, by what they were about; of the routers that are observed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub events: [u64; ABOUTS],
    pub nanos: [u64; ABOUTS],
}

impl Cost {
    /// Seconds of processor time for each event.
    pub fn each(&self, about: About) -> f64 {
        self.nanos[about as usize] as f64 / 1e9 / self.events[about as usize].max(1) as f64
    }
}

/// Processor time of this thread.
pub fn thread_time() -> Span {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("every thread has that clock");
    Span::from_nanos(time.tv_sec() * 1_000_000_000 + time.tv_nsec())
}

/// What asking that clock takes itself, so that it can be taken off.
fn asking() -> i64 {
    let began = thread_time();
    for _ in 0..10_000 {
        std::hint::black_box(thread_time());
    }
    (thread_time() - began).nanos() / 10_000
}

enum Wire {
    Client { welcomed: bool, input: Vec<u8> },
    Member { member: usize, opened: bool, input: Vec<u8> },
    Watch { opened: bool },
}

struct Line {
    wire: Wire,
    /// Bytes for which the router had no room yet.
    pending: Vec<u8>,
}

struct Hollow {
    /// None: it is not running.
    reducer: Option<Reducer>,
    /// Which life: what was on the way to an earlier one is lost.
    life: u32,
    lines: HashMap<ConnectionId, Line>,
    /// Connections of clients that wait for nothing, the last used last.
    idle: Vec<ConnectionId>,
    turn_due: bool,
    /// What came since the last turn was data.
    data: bool,
    wake_at: Time,
}

/// A stand-in member.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    pub up: bool,
    /// It takes connections and statements and answers nothing.
    pub hangs: bool,
    pub primary: bool,
    /// How far behind its data are.
    pub lag: Span,
}

enum What {
    Start(usize),
    Turn(usize),
    Wake(usize),
    Ask(usize, u32),
    Datagram { to: usize, from: SocketAddr, bytes: Vec<u8> },
    Bytes(usize, u32, ConnectionId, Vec<u8>),
    Up(usize, u32, ConnectionId),
    Gone(usize, u32, ConnectionId),
    Beat(usize, u32, ConnectionId),
}

struct Due(Time, u64, What);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub struct World {
    pub shape: Shape,
    pub now: Time,
    began: Time,
    queue: BinaryHeap<Reverse<Due>>,
    nth: u64,
    routers: Vec<Hollow>,
    pub members: Vec<Member>,
    pub counts: Vec<Counts>,
    pub cost: Cost,
    asking: i64,
    chance: SmallRng,
    generation: u64,
    /// Lines of changes, by the list they lead to.
    changes: Vec<(u64, String)>,
    entries: Vec<String>,
    pub discovery_up: bool,
    /// A change goes out to this many watches a second.
    pub told_rate: f64,
    /// Bytes that discovery sent, and calls that it took.
    pub discovery: Flow,
    /// Regions that can't reach each other.
    pub cut: Vec<(usize, usize)>,
    /// Datagrams under way.
    flying: u64,
    next_id: u64,
    config: std::path::PathBuf,
}

const EPOCH: Time = Time::from_nanos(1_796_000_000_000_000_000);
/// The loop of the program looks round this often at least.
const LONGEST: Span = Span::from_millis(50);
/// It never comes round sooner than this.
const SHORTEST: Span = Span::from_nanos(20_000);
const BEAT: Span = Span::from_millis(2000);
/// Work at a member.
const WORK: Span = Span::from_millis(1);
/// Connections of clients to one router at most.
const CLIENTS: usize = 256;
const DISCOVERY: Ipv4Addr = Ipv4Addr::new(127, 3, 0, 1);

pub fn router_address(router: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, (router / 250) as u8, (1 + router % 250) as u8), 7000))
}

fn member_address(member: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 2, (member / 250) as u8, (1 + member % 250) as u8), 5432))
}

fn index_of(address: SocketAddr) -> Option<(u8, usize)> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, kind, high, low] = address.ip().octets();
    Some((kind, usize::from(high) * 250 + usize::from(low).checked_sub(1)?))
}

pub fn member_id(member: usize) -> String {
    format!("db-{member:04}")
}

/// A file of this process's own, gone with the world.
fn file(name: &str, text: &str) -> io::Result<std::path::PathBuf> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let nth = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("ladderpass-hollow-{}-{nth}-{name}", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path)
}

/// What a hollow router is told: the same as a process, by the same files.
pub fn launch(
    config: &std::path::Path,
    router: usize,
    listed: usize,
    fleet: bool,
    peers: bool,
) -> io::Result<Launch> {
    let address = router_address(router);
    let listed: Vec<String> = (0..listed.min(3)).map(|n| format!("'{}'", router_address(n))).collect();
    let mut text = String::new();
    if peers {
        let listed = listed.join(", ");
        // Writing to a string can't fail.
        let _ =
            writeln!(text, "peers: {{listen: '{address}', listed: [{listed}], networks: ['127.0.0.0/8']}}");
    }
    if fleet {
        text.push_str("fleet: {sheds: true, budgets: true}\n");
    }
    let operator = file("operator.yaml", &text)?;
    let variable = |key: &str| {
        Some(match key {
            "RELAY_NAME" => format!("r{router}"),
            "RELAY_LISTEN" => address.to_string(),
            "RELAY_DISCOVERY" => SocketAddr::from((DISCOVERY, 8500)).to_string(),
            "RELAY_CONFIG" => config.to_str()?.to_owned(),
            _ => return None,
        })
    };
    let read = Launch::read(variable, (!text.is_empty()).then_some(operator.as_path()));
    std::fs::remove_file(&operator)?;
    read.map_err(io::Error::other)
}

/// The configuration of all of a world's routers, in a file.
pub fn config(shape: &Shape, known: &str) -> io::Result<std::path::PathBuf> {
    let scenario = Scenario { groups: shape.groups as u32, ..Scenario::default() };
    let allowed = RouterLimits { cores: 1.0, memory_mb: 1024, sockets: 65_536 };
    let text = scenario.router_config(EPOCH, shape.seed, &allowed, &[]);
    file("told.json", &text.replace("\"instances\":[]", &format!("\"instances\":[{known}]")))
}

impl Drop for World {
    fn drop(&mut self) {
        // It may have been taken away by somebody else.
        let _ = std::fs::remove_file(&self.config);
    }
}

impl World {
    /// All routers start within a fifth of a second.
    pub fn start(shape: Shape) -> io::Result<World> {
        let mut chance = SmallRng::seed_from_u64(shape.seed);
        let member = |member: usize, lag: i64| Member {
            up: true,
            hangs: false,
            primary: member < shape.groups,
            lag: if member < shape.groups { Span::ZERO } else { Span::from_millis(lag) },
        };
        let members: Vec<Member> =
            (0..shape.members).map(|n| member(n, chance.random_range(2..20))).collect();
        let entries: Vec<String> =
            (0..shape.members).map(|n| entry(&shape, n, members[n].primary, "SERVING")).collect();
        let known = if shape.remembered { entries.join(",") } else { String::new() };
        let config = config(&shape, &known)?;
        let hollow = || Hollow {
            reducer: None,
            life: 0,
            lines: HashMap::new(),
            idle: Vec::new(),
            turn_due: false,
            data: false,
            wake_at: Time::from_nanos(i64::MAX),
        };
        let mut world = World {
            now: EPOCH,
            began: EPOCH,
            queue: BinaryHeap::new(),
            nth: 0,
            routers: (0..shape.routers).map(|_| hollow()).collect(),
            members,
            counts: vec![Counts::default(); shape.routers],
            cost: Cost::default(),
            asking: if shape.observed > 0 { asking() } else { 0 },
            generation: 2,
            changes: Vec::new(),
            entries,
            discovery_up: true,
            told_rate: 1e9,
            discovery: Flow::default(),
            cut: Vec::new(),
            flying: 0,
            next_id: 0,
            config,
            chance,
            shape,
        };
        for router in 0..world.shape.routers {
            let after = Span::from_nanos(world.chance.random_range(0..200_000_000));
            world.push(world.now + after, What::Start(router));
        }
        Ok(world)
    }

    fn push(&mut self, at: Time, what: What) {
        self.nth += 1;
        self.queue.push(Reverse(Due(at, self.nth, what)));
    }

    /// Since the world began.
    pub fn elapsed(&self) -> Span {
        self.now - self.began
    }

    /// Runs on for so long; then all counts are as of then.
    pub fn run(&mut self, span: Span) -> io::Result<()> {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(due)| due.0 <= until) {
            let Some(Reverse(Due(at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            self.happens(what)?;
        }
        self.now = until;
        Ok(())
    }

    /// What is counted begins anew.
    pub fn count_anew(&mut self) {
        self.counts.iter_mut().for_each(|counts| *counts = Counts::default());
        (self.cost, self.discovery) = (Cost::default(), Flow::default());
    }

    /// Datagrams that are under way.
    pub fn flying(&self) -> u64 {
        self.flying
    }

    /// On average, of each router.
    pub fn mean(&self, of: impl Fn(&Counts) -> u64) -> f64 {
        self.counts.iter().map(of).sum::<u64>() as f64 / self.counts.len().max(1) as f64
    }

    pub fn reducer(&self, router: usize) -> Option<&Reducer> {
        self.routers.get(router)?.reducer.as_ref()
    }

    pub fn zone(&self, router: usize) -> usize {
        router % ZONES
    }

    pub fn zone_of_member(&self, member: usize) -> usize {
        (self.shape.group_of(member) + 3 * (member / self.shape.groups)) % ZONES
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        let (one, other) = (REGION_OF_ZONE[one], REGION_OF_ZONE[other]);
        !self.cut.iter().any(|&(a, b)| (a, b) == (one, other) || (b, a) == (one, other))
    }

    /// A router's process is killed: what it held is gone, and nobody is told.
    pub fn kill(&mut self, router: usize) {
        let hollow = &mut self.routers[router];
        hollow.reducer = None;
        hollow.life += 1;
        hollow.lines.clear();
        hollow.idle.clear();
        hollow.turn_due = false;
        hollow.wake_at = Time::from_nanos(i64::MAX);
    }

    pub fn begin(&mut self, router: usize, after: Span) {
        self.push(self.now + after, What::Start(router));
    }

    /// A member's process or machine ends: its connections end, or fall silent.
    pub fn end_member(&mut self, member: usize, silently: bool) {
        (self.members[member].up, self.members[member].hangs) = (silently, silently);
        if silently {
            return;
        }
        for router in 0..self.routers.len() {
            let of = |line: &Line| matches!(line.wire, Wire::Member { member: of, .. } if of == member);
            let hollow = &self.routers[router];
            let mut gone: Vec<ConnectionId> =
                hollow.lines.iter().filter(|(_, line)| of(line)).map(|(&id, _)| id).collect();
            gone.sort();
            let life = hollow.life;
            for id in gone {
                self.push(self.now + self.shape.way, What::Gone(router, life, id));
            }
        }
    }

    /// The list changes: a member's entry, told to all watches at discovery's pace; the list's new number.
    pub fn change(&mut self, member: usize, lifecycle: &str) -> u64 {
        self.generation += 1;
        let entry = entry(&self.shape, member, self.members[member].primary, lifecycle);
        let line =
            format!("{{\"generation\":{},\"reset\":false,\"instances\":[{entry}]}}\n", self.generation);
        match self.entries.get_mut(member) {
            Some(old) => *old = entry,
            None => self.entries.push(entry),
        }
        self.changes.push((self.generation, line.clone()));
        if !self.discovery_up {
            return self.generation;
        }
        let mut nth = 0.0;
        for router in 0..self.routers.len() {
            let life = self.routers[router].life;
            let lines = self.routers[router].lines.iter();
            let mut open: Vec<ConnectionId> = lines
                .filter(|(_, l)| matches!(l.wire, Wire::Watch { opened: true }))
                .map(|(&id, _)| id)
                .collect();
            open.sort();
            for id in open {
                nth += 1.0;
                let at = self.now + self.shape.way + Span::from_secs_f64(nth / self.told_rate);
                let bytes = chunk(&line);
                self.discovery.add(bytes.len());
                self.push(at, What::Bytes(router, life, id, bytes));
            }
        }
        self.generation
    }

    fn happens(&mut self, what: What) -> io::Result<()> {
        match what {
            What::Start(router) => self.starts(router)?,
            What::Turn(router) => {
                self.routers[router].turn_due = false;
                self.turn(router);
            }
            What::Wake(router) if self.routers[router].wake_at <= self.now => {
                self.routers[router].wake_at = Time::from_nanos(i64::MAX);
                self.turn(router);
            }
            What::Ask(router, life) if self.routers[router].life == life => {
                self.ask(router);
                let gap = self.chance.random_range(0.5..1.5) / self.shape.rate;
                self.push(self.now + Span::from_secs_f64(gap), What::Ask(router, life));
            }
            What::Datagram { to, from, bytes } => {
                self.flying -= 1;
                if self.routers[to].reducer.is_none() {
                    self.counts[to].lost += 1;
                    return Ok(());
                }
                self.counts[to].heard += 1;
                let words = bytes.first() != Some(&ladderpass_membership::FIRST_BYTE);
                let about = if words { About::Words } else { About::Membership };
                self.drive(to, Event::DatagramReceived(from, bytes), about);
            }
            What::Bytes(router, life, id, bytes) if self.routers[router].life == life => {
                self.feed(router, id, &bytes);
            }
            What::Up(router, life, id) if self.alive(router, life, id) => {
                self.drive(router, Event::Connected(id), About::Data);
            }
            What::Gone(router, life, id) if self.alive(router, life, id) => {
                self.routers[router].lines.remove(&id);
                self.drive(router, Event::Closed(id), About::Data);
            }
            What::Beat(router, life, id) if self.alive(router, life, id) => {
                if self.discovery_up {
                    self.discovery.add(6);
                    self.feed(router, id, b"1\r\n\n\r\n");
                }
                self.push(self.now + BEAT, What::Beat(router, life, id));
            }
            _ => {}
        }
        Ok(())
    }

    fn alive(&self, router: usize, life: u32, id: ConnectionId) -> bool {
        self.routers[router].life == life && self.routers[router].lines.contains_key(&id)
    }

    fn starts(&mut self, router: usize) -> io::Result<()> {
        if self.routers[router].reducer.is_some() {
            return Ok(());
        }
        let launch = launch(&self.config, router, self.shape.routers, self.shape.fleet, self.shape.peers)?;
        let hollow = &mut self.routers[router];
        hollow.life += 1;
        hollow.reducer = Some(Reducer::start(self.now, launch));
        let life = hollow.life;
        if self.shape.rate > 0.0 {
            let gap = self.chance.random_range(0.0..1.0) / self.shape.rate;
            self.push(self.now + Span::from_millis(300) + Span::from_secs_f64(gap), What::Ask(router, life));
        }
        self.turn(router);
        Ok(())
    }

    /// Applies an event, carries out what it asks for, and sees to it that a turn follows the batch.
    fn drive(&mut self, router: usize, event: Event, about: About) {
        let observed = router < self.shape.observed;
        let Some(reducer) = &mut self.routers[router].reducer else { return };
        let began = observed.then(thread_time);
        let effects = reducer.handle(self.now, event);
        if let Some(began) = began {
            self.cost.events[about as usize] += 1;
            self.cost.nanos[about as usize] += ((thread_time() - began).nanos() - self.asking).max(0) as u64;
        }
        self.carry_out(router, effects);
        let hollow = &mut self.routers[router];
        if matches!(about, About::Turn | About::TurnOfData) {
            return;
        }
        hollow.data |= about == About::Data;
        if !std::mem::replace(&mut hollow.turn_due, true) {
            self.push(self.now, What::Turn(router));
        }
    }

    fn turn(&mut self, router: usize) {
        let data = std::mem::take(&mut self.routers[router].data);
        self.counts[router].turns += 1;
        self.drive(router, Event::Tick, if data { About::TurnOfData } else { About::Turn });
        let Some(reducer) = &self.routers[router].reducer else { return };
        let longest = self.now + LONGEST;
        let at = reducer.wake_at().unwrap_or(longest).min(longest).max(self.now + SHORTEST);
        if at < self.routers[router].wake_at {
            self.routers[router].wake_at = at;
            self.push(at, What::Wake(router));
        }
    }

    fn carry_out(&mut self, router: usize, effects: Vec<Effect>) {
        let mut effects: std::collections::VecDeque<Effect> = effects.into();
        while let Some(effect) = effects.pop_front() {
            let life = self.routers[router].life;
            match effect {
                Effect::Connect(id, address) => self.connect(router, life, id, address),
                Effect::Write(id) => {
                    let Some(reducer) = &mut self.routers[router].reducer else { return };
                    let bytes = reducer.outgoing(id).to_vec();
                    if bytes.is_empty() {
                        continue;
                    }
                    effects.extend(reducer.handle(self.now, Event::Written(id, bytes.len())));
                    effects.push_back(Effect::Write(id));
                    self.written(router, life, id, &bytes);
                }
                Effect::Read(id) => {
                    if self.routers[router].lines.get(&id).is_some_and(|line| !line.pending.is_empty()) {
                        self.push(self.now, What::Bytes(router, life, id, Vec::new()));
                    }
                }
                Effect::CloseIfQuiet(id) => {
                    let pending = |line: &Line| !line.pending.is_empty();
                    let quiet = !self.routers[router].lines.get(&id).is_some_and(pending);
                    let Some(reducer) = &mut self.routers[router].reducer else { return };
                    if quiet {
                        effects.extend(reducer.handle(self.now, Event::ReadToEnd(id)));
                    }
                }
                Effect::Close(id) => {
                    self.routers[router].lines.remove(&id);
                    self.routers[router].idle.retain(|&idle| idle != id);
                }
                Effect::SendDatagrams => self.send(router),
                Effect::StopListening => {
                    let Some(reducer) = &mut self.routers[router].reducer else { return };
                    effects.extend(reducer.handle(self.now, Event::ListenerClosed));
                }
                Effect::Exit => return self.kill(router),
                Effect::Accept(_) => {}
            }
        }
    }

    fn send(&mut self, router: usize) {
        let Some(reducer) = &mut self.routers[router].reducer else { return };
        let from = router_address(router);
        for (to, bytes) in reducer.take_datagrams() {
            let membership = bytes.first() == Some(&ladderpass_membership::FIRST_BYTE);
            let counts = &mut self.counts[router];
            if membership { &mut counts.membership } else { &mut counts.words }.add(bytes.len());
            let Some((1, to)) = index_of(to).filter(|&(_, to)| to < self.shape.routers) else { continue };
            let lost = self.shape.loss > 0.0 && self.chance.random_range(0.0..1.0) < self.shape.loss;
            if lost || !self.reaches(self.zone(router), self.zone(to)) {
                self.counts[to].lost += 1;
                continue;
            }
            self.flying += 1;
            let way = self.shape.way * self.chance.random_range(0.8..1.2);
            self.push(self.now + way, What::Datagram { to, from, bytes });
        }
    }

    fn connect(&mut self, router: usize, life: u32, id: ConnectionId, address: SocketAddr) {
        self.counts[router].connects += 1;
        let back = self.now + self.shape.way * 2.0;
        let wire = match index_of(address) {
            Some((2, member)) => {
                let reached = self.reaches(self.zone(router), self.zone_of_member(member));
                let what = match self.members.get(member) {
                    Some(member) if member.up => What::Up(router, life, id),
                    _ => What::Gone(router, life, id),
                };
                // A machine that is gone, or behind a cut, says nothing.
                if reached && !self.members.get(member).is_some_and(|member| member.hangs) {
                    self.push(back, what);
                }
                Wire::Member { member, opened: false, input: Vec::new() }
            }
            _ => {
                self.counts[router].watches += 1;
                let up = if self.discovery_up { What::Up } else { What::Gone };
                self.push(back, up(router, life, id));
                Wire::Watch { opened: false }
            }
        };
        self.routers[router].lines.insert(id, Line { wire, pending: Vec::new() });
    }

    /// Bytes of the router's have been written.
    fn written(&mut self, router: usize, life: u32, id: ConnectionId, bytes: &[u8]) {
        let back = self.now + self.shape.way * 2.0;
        let Some(line) = self.routers[router].lines.get_mut(&id) else { return };
        match &mut line.wire {
            Wire::Watch { opened } => {
                if std::mem::replace(opened, true) || !self.discovery_up {
                    return;
                }
                let list = format!(
                    "{{\"generation\":{},\"reset\":true,\"instances\":[{}]}}\n",
                    self.generation,
                    self.entries.join(",")
                );
                let mut answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
                answer.extend(chunk(&list));
                self.counts[router].list_bytes += answer.len() as u64;
                self.discovery.add(answer.len());
                self.push(back, What::Bytes(router, life, id, answer));
                self.push(back + BEAT, What::Beat(router, life, id));
            }
            Wire::Client { welcomed, input } => {
                input.extend_from_slice(bytes);
                let mut used = 0;
                let (mut answers, mut errors) = (0, 0);
                while let Some((kind, _, length)) = proto::parse_frame(&input[used..]) {
                    used += length;
                    answers += u64::from(kind == b'Z');
                    errors += u64::from(kind == b'E');
                }
                input.drain(..used);
                if answers > 0 && !std::mem::replace(welcomed, true) {
                    answers -= 1;
                }
                self.counts[router].answered += answers.saturating_sub(errors);
                self.counts[router].refused += errors;
                if answers > 0 {
                    self.routers[router].idle.push(id);
                }
            }
            Wire::Member { member, opened, input } => {
                let member = *member;
                input.extend_from_slice(bytes);
                let input = std::mem::take(input);
                let (mut used, mut reply) = (0, Vec::new());
                if !*opened && let Some(length) = proto::parse_startup(&input) {
                    (*opened, used) = (true, length);
                    proto::put_startup_response(&mut reply);
                }
                let mut probes = 0;
                while let Some((_, body, length)) = proto::parse_frame(&input[used..]) {
                    used += length;
                    let statement = std::str::from_utf8(body).unwrap_or_default().trim_end_matches('\0');
                    probes += u64::from(statement == "SHOW server_load");
                    self.members[member].answers(self.now, statement, &mut reply);
                }
                self.counts[router].probes += probes;
                if let Some(Line { wire: Wire::Member { input: rest, .. }, .. }) =
                    self.routers[router].lines.get_mut(&id)
                {
                    *rest = input[used..].to_vec();
                }
                let reached = self.reaches(self.zone(router), self.zone_of_member(member));
                if !reply.is_empty() && self.members[member].up && !self.members[member].hangs && reached {
                    self.push(back + WORK, What::Bytes(router, life, id, reply));
                }
            }
        }
    }

    /// Bytes come to a router, as far as there is room; the rest waits.
    fn feed(&mut self, router: usize, id: ConnectionId, bytes: &[u8]) {
        let about = match self.routers[router].lines.get_mut(&id) {
            None => return,
            Some(line) => {
                line.pending.extend_from_slice(bytes);
                if matches!(line.wire, Wire::Watch { .. }) { About::List } else { About::Data }
            }
        };
        loop {
            let hollow = &mut self.routers[router];
            let (Some(reducer), Some(line)) = (&mut hollow.reducer, hollow.lines.get_mut(&id)) else {
                return;
            };
            let room = reducer.read_buffer(id);
            let count = room.len().min(line.pending.len());
            if count == 0 {
                return;
            }
            room[..count].copy_from_slice(&line.pending[..count]);
            line.pending.drain(..count);
            self.drive(router, Event::Received(id, count, Span::ZERO), about);
        }
    }

    /// A statement comes to a router, on a connection that rests or a new one.
    fn ask(&mut self, router: usize) {
        let group = self.chance.random_range(0..self.shape.groups);
        let method = if self.chance.random_range(0.0..1.0) < self.shape.writes { "move" } else { "board" };
        self.ask_of(router, method, group);
    }

    pub fn ask_of(&mut self, router: usize, method: &str, group: usize) {
        let hollow = &mut self.routers[router];
        let Some(reducer) = &mut hollow.reducer else { return };
        let clients = hollow.lines.values().filter(|line| matches!(line.wire, Wire::Client { .. }));
        let id = match hollow.idle.pop() {
            Some(id) => id,
            None if clients.count() >= CLIENTS => {
                self.counts[router].crowded += 1;
                return;
            }
            None => {
                let id = reducer.next_id();
                let wire = Wire::Client { welcomed: false, input: Vec::new() };
                hollow.lines.insert(id, Line { wire, pending: Vec::new() });
                self.drive(router, Event::Accepted(id), About::Data);
                let mut startup = Vec::new();
                proto::put_startup(&mut startup);
                self.feed(router, id, &startup);
                self.turn(router);
                self.routers[router].idle.retain(|&idle| idle != id);
                id
            }
        };
        self.next_id += 1;
        let comment = format!("/* id={router:x}-{:x},c={method},d=1000,cluster={group} */", self.next_id);
        let text = match method {
            "move" => format!(
                "INSERT INTO entries (ref, payload) VALUES ('k', '\\x9f03') RETURNING payload {comment}"
            ),
            _ => format!("SELECT payload FROM entries WHERE ref = 'k' {comment}"),
        };
        let mut query = Vec::new();
        proto::put_query(&mut query, &text);
        self.counts[router].statements += 1;
        self.feed(router, id, &query);
    }
}

impl Member {
    fn answers(&self, now: Time, statement: &str, reply: &mut Vec<u8>) {
        let position = now + Span::from_nanos(-self.lag.nanos());
        match statement {
            "" => {
                proto::put_message(reply, b'I', &[]);
                proto::put_ready(reply);
            }
            "SHOW server_load" => {
                let at = position.nanos() as f64 / 1e9;
                let text = format!("x0={at:.6},x1={},q=0", u8::from(self.primary));
                proto::put_row(reply, text.as_bytes(), false, self.primary, None);
            }
            statement => {
                let writes = statement.starts_with("INSERT");
                if writes && !self.primary {
                    return proto::put_error(reply, "ERROR", "25006");
                }
                let id = proto::parse_comment(statement).map_or("", |comment| comment.id);
                proto::put_row(reply, id.as_bytes(), writes, self.primary, Some(position));
            }
        }
    }
}

/// A member as discovery tells it.
fn entry(shape: &Shape, member: usize, primary: bool, lifecycle: &str) -> String {
    let zone = (shape.group_of(member) + 3 * (member / shape.groups)) % ZONES;
    serde_json::json!({
        "instanceId": member_id(member), "hostPort": member_address(member).to_string(),
        "zone": format!("z{zone}"), "machineType": "k", "cell": shape.group_of(member),
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        "role": if primary { "leader" } else { "follower" },
    })
    .to_string()
}

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\r\n", line.len()).into_bytes()
}

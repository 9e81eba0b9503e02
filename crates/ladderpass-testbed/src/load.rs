//! The load: clients of a router, by arrivals that don't wait for answers, or each by its own answers.
//!
//! It owns the clients' connections and what they were told. Times count from when an RPC was due, not from when the
//! load came round to sending it: a router that stalls can't hide what would have come meanwhile. It must never know
//! what the router believes.

use hdrhistogram::Histogram;
use ladderpass_emulator::now;
use ladderpass_emulator::{Scenario, proto};
use ladderpass_invariants::Answer;
use ladderpass_routing::{Span, Time};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use serde::Serialize;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How RPCs come.
#[derive(Clone, Debug)]
pub enum Pace {
    /// So many a second for so long, one phase after the other, at times drawn by chance.
    Open(Vec<(Span, f64)>),
    /// Each connection asks again once it is answered, for so long.
    Closed(Span),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub pace: Pace,
    pub connections: usize,
    /// RPCs that a connection may have out.
    pub pipeline: usize,
    pub deadline: Span,
    /// How often a client asks again after a pushback, when the time that it named has come.
    pub repeats: u32,
    /// Connections that ask for the largest values and never read.
    pub slow_readers: usize,
    /// Connections that send RPCs as fast as they can, as many out as `flood_depth`.
    pub floods: usize,
    pub flood_depth: usize,
    pub seed: u64,
    /// What became of each RPC is kept, for a judge.
    pub journal: bool,
    /// Ends it before its time.
    pub stop: Option<Arc<AtomicBool>>,
}

/// A front before several routers: it deals clients out unevenly, and goes on dealing to a router that has ended until
/// it notices.
pub struct Front {
    pub routers: Vec<SocketAddr>,
    /// Of the clients, by router, in parts of their sum.
    pub weights: Vec<f64>,
    /// Part of the clients that go to another router again and again, and how long they stay.
    pub roaming: f64,
    pub stays: Span,
    /// How long it goes on dealing to a router that is down.
    pub notices: Span,
    pub down: Arc<Down>,
}

/// Which routers are down, since when: told by whoever ends and starts them.
#[derive(Default)]
pub struct Down(Mutex<HashMap<usize, Time>>);

impl Down {
    fn map(&self) -> std::sync::MutexGuard<'_, HashMap<usize, Time>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn went(&self, router: usize) {
        self.map().entry(router).or_insert_with(now);
    }

    pub fn came(&self, router: usize) {
        self.map().remove(&router);
    }

    fn since(&self, router: usize) -> Option<Time> {
        self.map().get(&router).copied()
    }
}

impl Front {
    /// One router, whatever becomes of it.
    pub fn single(router: SocketAddr) -> Front {
        Front {
            routers: vec![router],
            weights: vec![1.0],
            roaming: 0.0,
            stays: Span::MAX,
            notices: Span::MAX,
            down: Arc::default(),
        }
    }

    /// A router for the next connection, by its weight, among those that it believes to be up.
    fn deal(&self, chance: &mut SmallRng) -> usize {
        let at = now();
        let up = |&router: &usize| self.down.since(router).is_none_or(|since| at - since < self.notices);
        let routers: Vec<usize> = (0..self.routers.len()).filter(up).collect();
        let weight = |router: usize| self.weights.get(router).copied().unwrap_or(1.0);
        let mut luck = chance.random::<f64>() * routers.iter().map(|&router| weight(router)).sum::<f64>();
        let dealt = routers.iter().find(|&&router| {
            luck -= weight(router);
            luck < 0.0
        });
        dealt.or(routers.last()).copied().unwrap_or(0)
    }
}

/// What became of one RPC, as its client saw it. A client that asks again has a further one.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub number: u64,
    pub router: usize,
    pub method: usize,
    pub sent: Time,
    pub until: Time,
    /// Answered when and how, and with whose value.
    pub answered: Option<(Time, Answer, Option<u64>)>,
    /// When its connection ended before that.
    pub lost: Option<Time>,
    /// That connection never came up: nobody listened.
    pub refused: bool,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            pace: Pace::Open(vec![(Span::from_millis(1000), 1000.0)]),
            connections: 64,
            pipeline: 16,
            deadline: Span::from_millis(1000),
            repeats: 0,
            slow_readers: 0,
            floods: 0,
            flood_depth: 64,
            seed: 1,
            journal: false,
            stop: None,
        }
    }
}

/// What became of RPCs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    pub due: u64,
    pub ok: u64,
    /// Ok, and within the soft deadline.
    pub good: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    /// An answer after the client's time, and none at all.
    pub late: u64,
    pub unanswered: u64,
    /// Never sent: the router left no connection free in its time.
    pub unsent: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.due += other.due;
        self.ok += other.ok;
        self.good += other.good;
        self.pushed_back += other.pushed_back;
        self.aborted += other.aborted;
        self.late += other.late;
        self.unanswered += other.unanswered;
        self.unsent += other.unsent;
    }
}

/// A tenth of a second, by when RPCs were due.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Slice {
    pub at_s: f64,
    /// By method.
    pub counts: Vec<Counts>,
    pub utility: f64,
}

pub const SLICE: Span = Span::from_millis(100);

pub struct Outcome {
    pub slices: Vec<Slice>,
    /// Times from due to answered, in microseconds, by method: the ok ones, and the pushbacks.
    pub ok_us: Vec<Histogram<u64>>,
    pub pushed_us: Histogram<u64>,
    pub come_back_ms: Histogram<u64>,
    /// What the flooding connections were told.
    pub flood: Counts,
    /// Answers that were nobody's, values of another RPC, connections that the router ended on an RPC.
    pub faults: Vec<String>,
    pub began: Time,
    pub lasted: Span,
    /// The most that sending came after an RPC was due, for want of time of the load itself.
    pub behind: Span,
    /// In the order in which they were sent.
    pub journal: Vec<Entry>,
}

impl Outcome {
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        self.slices.iter().flat_map(|slice| &slice.counts).for_each(|counts| total.add(counts));
        total
    }

    pub fn of(&self, method: usize) -> Counts {
        let mut total = Counts::default();
        self.slices.iter().filter_map(|slice| slice.counts.get(method)).for_each(|counts| total.add(counts));
        total
    }

    /// Slices from one time to another, in seconds from the start.
    pub fn within(&self, from: f64, to: f64) -> impl Iterator<Item = &Slice> {
        self.slices.iter().filter(move |slice| slice.at_s >= from - 1e-9 && slice.at_s < to - 1e-9)
    }

    /// Utility a second over slices from one time to another, in seconds from the start.
    pub fn utility_rate(&self, from: f64, to: f64) -> f64 {
        self.within(from, to).map(|slice| slice.utility).sum::<f64>() / (to - from).max(1e-9)
    }
}

struct Out {
    number: u64,
    method: usize,
    due: Time,
    /// When the client gives up.
    until: Time,
    repeats: u32,
    flood: bool,
    /// It was counted already: given up.
    over: bool,
}

#[derive(Default)]
struct Told {
    row: Option<Option<u64>>,
    code: Option<String>,
    come_back: Option<u64>,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Polite,
    Flood,
    /// Never reads.
    Slow,
}

struct Client {
    stream: TcpStream,
    kind: Kind,
    router: usize,
    /// When it goes to another router, once it waits for nothing.
    goes_at: Option<Time>,
    opened: bool,
    out: VecDeque<Out>,
    told: Told,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    dirty: bool,
}

/// What is to be sent, and from when.
struct Want {
    due: Time,
    method: usize,
    until: Time,
    repeats: u32,
}

struct Load<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    front: &'a Front,
    /// Connections that are opened again, by when: an ended router would be asked without end.
    reopen: BTreeMap<(Time, u64), (usize, Kind)>,
    poll: Poll,
    clients: Vec<Option<Client>>,
    chance: SmallRng,
    shares: Vec<f64>,
    next: u64,
    /// Connections that may take a further RPC, by how many they have out.
    turn: usize,
    wants: VecDeque<Want>,
    /// What is asked again, by when.
    later: BTreeMap<(Time, u64), Want>,
    outcome: Outcome,
    began: Time,
    ends: Time,
    outstanding: usize,
    chunk: Vec<u8>,
}

/// RPCs that a client which never reads has out; and what a connect that goes on in the background answers.
const SLOW_DEPTH: usize = 64;
const SLOW_EVERY: Span = Span::from_millis(50);
const IN_PROGRESS: i32 = 115;
/// When a connection that a router has ended is opened again, where there are several.
const REOPENS: Span = Span::from_millis(50);

/// How much later than an RPC's time its answer may come: what it takes on the way.
const GRACE: Span = Span::from_millis(50);

pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("these bounds are allowed")
}

/// Plays a plan against a router. `tell` hears of each tenth of a second.
pub fn run(
    scenario: &Scenario,
    target: SocketAddr,
    plan: &Plan,
    tell: impl FnMut(f64),
) -> io::Result<Outcome> {
    run_before(scenario, &Front::single(target), plan, tell)
}

/// The same before several routers.
pub fn run_before(
    scenario: &Scenario,
    front: &Front,
    plan: &Plan,
    mut tell: impl FnMut(f64),
) -> io::Result<Outcome> {
    let began = now();
    let spans = match &plan.pace {
        Pace::Open(phases) => phases.iter().fold(Span::ZERO, |sum, (span, _)| sum + *span),
        Pace::Closed(span) => *span,
    };
    let methods = scenario.methods.len();
    let shares: Vec<f64> = scenario.methods.iter().map(|method| method.share).collect();
    let mut load = Load {
        scenario,
        plan,
        front,
        reopen: BTreeMap::new(),
        poll: Poll::new()?,
        clients: Vec::new(),
        chance: SmallRng::seed_from_u64(plan.seed),
        shares,
        next: 0,
        turn: 0,
        wants: VecDeque::new(),
        later: BTreeMap::new(),
        outcome: Outcome {
            slices: Vec::new(),
            ok_us: vec![histogram(); methods],
            pushed_us: histogram(),
            come_back_ms: histogram(),
            flood: Counts::default(),
            faults: Vec::new(),
            began,
            lasted: spans,
            behind: Span::ZERO,
            journal: Vec::with_capacity(expected(plan)),
        },
        began,
        ends: began + spans,
        outstanding: 0,
        chunk: vec![0; 32 << 10],
    };
    load.play(&mut tell)?;
    Ok(load.outcome)
}

/// RPCs that a journal will hold: one that grows by copying would hold the load up for as long as that takes.
fn expected(plan: &Plan) -> usize {
    let phases = match &plan.pace {
        Pace::Open(phases) if plan.journal => phases.as_slice(),
        _ => &[],
    };
    let due: f64 = phases.iter().map(|(span, rate)| span.secs() * rate).sum();
    (due * 1.2).min(5e6) as usize
}

impl Load<'_> {
    fn play(&mut self, tell: &mut impl FnMut(f64)) -> io::Result<()> {
        let kinds = [
            (Kind::Polite, self.plan.connections),
            (Kind::Flood, self.plan.floods),
            (Kind::Slow, self.plan.slow_readers),
        ];
        for (kind, count) in kinds {
            for _ in 0..count {
                let client = self.connect(kind, self.clients.len())?;
                self.clients.push(Some(client));
            }
        }
        let mut events = Events::with_capacity(4096);
        let mut phases = match &self.plan.pace {
            Pace::Open(phases) => phases.clone(),
            Pace::Closed(_) => Vec::new(),
        };
        phases.reverse();
        // Connections open for a moment before the first RPC is due.
        let start = now() + Span::from_millis(100);
        (self.began, self.outcome.began) = (start, start);
        self.ends = start + self.outcome.lasted;
        let mut phase_ends = start;
        let mut rate = 0.0;
        let mut due = start;
        let mut told_at = start;
        loop {
            let at = now();
            // Arrivals, as if the load were never late.
            while due <= at {
                if due >= phase_ends {
                    let Some((span, wanted)) = phases.pop() else {
                        due = Time::from_nanos(i64::MAX);
                        break;
                    };
                    (rate, phase_ends) = (wanted, phase_ends + span);
                } else {
                    let want = self.draw(due);
                    self.wants.push_back(want);
                }
                let gap: f64 = self.chance.sample(Exp1);
                due = if rate > 0.0 { due + Span::from_secs_f64(gap / rate) } else { phase_ends };
            }
            while let Some(again) = self.later.first_entry()
                && again.key().0 <= at
            {
                self.wants.push_front(again.remove());
            }
            self.open_again(at)?;
            self.send_wants(at);
            self.send_own(at);
            for index in 0..self.clients.len() {
                if self.clients[index].as_ref().is_some_and(|client| client.dirty) {
                    self.write(index);
                }
            }
            if at - told_at >= SLICE {
                told_at = at;
                tell((at - self.began).secs());
                self.give_up(at);
            }
            if self.plan.stop.as_ref().is_some_and(|stop| stop.load(Ordering::Relaxed)) {
                break;
            }
            if at >= self.ends {
                let waits = self.outstanding > 0 || !self.wants.is_empty() || !self.later.is_empty();
                if !waits || at >= self.ends + self.plan.deadline + GRACE * 2.0 {
                    break;
                }
            }
            // The next arrival is never slept through: a wait is in whole milliseconds.
            let near = due.min(at + Span::from_millis(5)) - at;
            let wait = Duration::from_millis((near.nanos() / 1_000_000).max(0) as u64);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                done => done?,
            }
            for event in &events {
                let Token(index) = event.token();
                if event.is_writable() {
                    self.write(index);
                }
                if event.is_readable() || event.is_read_closed() {
                    self.read(index, event.is_read_closed());
                }
            }
        }
        self.give_up(now() + self.plan.deadline * 2.0 + Span::from_millis(60_000));
        Ok(())
    }

    fn open_again(&mut self, at: Time) -> io::Result<()> {
        while let Some(first) = self.reopen.first_entry()
            && first.key().0 <= at
        {
            let (index, kind) = first.remove();
            self.clients[index] = Some(self.connect(kind, index)?);
        }
        for index in 0..self.clients.len() {
            let goes =
                |client: &Client| client.out.is_empty() && client.goes_at.is_some_and(|goes| goes <= at);
            if self.clients[index].as_ref().is_some_and(goes) {
                self.clients[index] = Some(self.connect(Kind::Polite, index)?);
            }
        }
        Ok(())
    }

    fn connect(&mut self, kind: Kind, index: usize) -> io::Result<Client> {
        let several = self.front.routers.len() > 1;
        let router = self.front.deal(&mut self.chance);
        let target = self.front.routers[router];
        let roams = several && (index as f64) < self.front.roaming * self.plan.connections as f64;
        let gap: f64 = if roams { self.chance.sample(Exp1) } else { 0.0 };
        let goes_at = roams.then(|| now() + self.front.stays * gap);
        let socket = Socket::new(Domain::for_address(target), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        if kind == Kind::Slow {
            // So that the router holds what is not read, not the kernel.
            socket.set_recv_buffer_size(4096)?;
        }
        match socket.connect(&target.into()) {
            Err(fault) if fault.raw_os_error() != Some(IN_PROGRESS) => return Err(fault),
            _ => {}
        }
        let mut stream = TcpStream::from_std(socket.into());
        stream.set_nodelay(true)?;
        self.poll.registry().register(&mut stream, Token(index), Interest::READABLE | Interest::WRITABLE)?;
        let mut output = Vec::new();
        proto::put_startup(&mut output);
        Ok(Client {
            stream,
            kind,
            router,
            goes_at,
            opened: false,
            out: VecDeque::new(),
            told: Told::default(),
            input: Vec::new(),
            output,
            written: 0,
            dirty: true,
        })
    }

    fn draw(&mut self, due: Time) -> Want {
        let total: f64 = self.shares.iter().sum();
        let mut luck = self.chance.random::<f64>() * total;
        let method = self.shares.iter().position(|share| {
            luck -= share;
            luck < 0.0
        });
        let method = method.unwrap_or(0);
        self.count(due, method, |counts| counts.due += 1);
        Want { due, method, until: due + self.plan.deadline, repeats: 0 }
    }

    fn count(&mut self, due: Time, method: usize, change: impl Fn(&mut Counts)) {
        let nth = ((due - self.began).nanos() / SLICE.nanos()).max(0) as usize;
        let methods = self.scenario.methods.len();
        let slices = &mut self.outcome.slices;
        while slices.len() <= nth {
            let at_s = slices.len() as f64 * SLICE.secs();
            slices.push(Slice { at_s, counts: vec![Counts::default(); methods], utility: 0.0 });
        }
        if let Some(counts) = slices[nth].counts.get_mut(method) {
            change(counts);
        }
    }

    /// RPCs that are due go to connections in turn, to those with least out first.
    fn send_wants(&mut self, at: Time) {
        let polite = self.plan.connections;
        'wants: while let Some(want) = self.wants.front() {
            if want.until <= at {
                let want = self.wants.pop_front().expect("it was there");
                self.count(want.due, want.method, |counts| counts.unsent += 1);
                continue;
            }
            // An idle one among the next few, else the next with room: a look at each for each RPC would cost more than
            // the RPC.
            for (depth, looks) in [(1, polite.min(16)), (self.plan.pipeline, polite)] {
                for _ in 0..looks {
                    self.turn = (self.turn + 1) % polite.max(1);
                    // One that comes up still may lead to a router that is no more.
                    let alone = self.front.routers.len() == 1;
                    let free = |client: &Client| client.out.len() < depth && (alone || client.opened);
                    if self.clients[self.turn].as_ref().is_some_and(free) {
                        let want = self.wants.pop_front().expect("it was there");
                        self.outcome.behind = self.outcome.behind.max(at - want.due);
                        self.send(at, self.turn, want, false);
                        continue 'wants;
                    }
                }
            }
            return;
        }
    }

    /// Connections that ask by themselves.
    fn send_own(&mut self, at: Time) {
        if at >= self.ends || at < self.began {
            return;
        }
        let closed = matches!(self.plan.pace, Pace::Closed(_));
        for index in 0..self.clients.len() {
            let Some(client) = &self.clients[index] else { continue };
            let depth = match client.kind {
                Kind::Polite if closed => self.plan.pipeline,
                Kind::Polite => continue,
                Kind::Flood => self.plan.flood_depth,
                // One after the other: all at once would press for what is asked, not for what is not read.
                Kind::Slow => SLOW_DEPTH.min(1 + ((at - self.began).nanos() / SLOW_EVERY.nanos()) as usize),
            };
            let (kind, missing) = (client.kind, depth.saturating_sub(client.out.len()));
            for _ in 0..missing {
                let want = match kind {
                    Kind::Polite => self.draw(at),
                    Kind::Flood | Kind::Slow => {
                        self.outcome.flood.due += u64::from(kind == Kind::Flood);
                        let largest = (0..self.scenario.methods.len())
                            .filter(|&method| !self.scenario.methods[method].writes)
                            .max_by_key(|&method| self.scenario.methods[method].value_bytes);
                        Want {
                            due: at,
                            method: largest.unwrap_or(0),
                            until: at + self.plan.deadline,
                            repeats: 0,
                        }
                    }
                };
                self.send(at, index, want, kind != Kind::Polite);
            }
        }
    }

    fn send(&mut self, at: Time, index: usize, want: Want, flood: bool) {
        let Some(client) = self.clients[index].as_mut() else { return };
        self.next += 1;
        let number = self.next;
        let shape = &self.scenario.methods[want.method];
        let group = number % u64::from(self.scenario.groups);
        let wait = ((want.until - at).nanos() / 1_000_000).max(1);
        let repeat = if want.repeats > 0 { ",r=1" } else { "" };
        let seed = self.plan.seed;
        let comment =
            format!("/* id={seed:x}-{number:x},c={},d={wait},cluster={group}{repeat} */", shape.name);
        let statement = if shape.writes {
            format!(
                "INSERT INTO entries (ref, payload) VALUES ('k{number}', '\\x6161616161616161') RETURNING payload {comment}"
            )
        } else {
            format!("SELECT payload FROM entries WHERE ref = 'k{number}' {comment}")
        };
        proto::put_query(&mut client.output, &statement);
        client.dirty = true;
        let Want { due, method, until, repeats } = want;
        if self.plan.journal && !flood {
            let (answered, lost, refused) = (None, None, false);
            let router = client.router;
            let entry = Entry { number, router, method, sent: at, until, answered, lost, refused };
            self.outcome.journal.push(entry);
        }
        client.out.push_back(Out { number, method, due, until, repeats, flood, over: false });
        if !flood {
            self.outstanding += 1;
        }
    }

    fn write(&mut self, index: usize) {
        let Some(client) = self.clients[index].as_mut() else { return };
        while client.written < client.output.len() {
            match client.stream.write(&client.output[client.written..]) {
                Ok(count) => client.written += count,
                Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    client.dirty = false;
                    return;
                }
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) => return self.lost(index, fault.kind() == ErrorKind::ConnectionRefused),
            }
        }
        client.output.clear();
        (client.written, client.dirty) = (0, false);
    }

    fn read(&mut self, index: usize, ended: bool) {
        let mut chunk = std::mem::take(&mut self.chunk);
        self.read_into(index, ended, &mut chunk);
        self.chunk = chunk;
    }

    fn read_into(&mut self, index: usize, ended: bool, chunk: &mut [u8]) {
        loop {
            let Some(client) = self.clients[index].as_mut() else { return };
            if client.kind == Kind::Slow && !ended {
                return;
            }
            match client.stream.read(chunk) {
                Ok(0) => return self.lost(index, false),
                Ok(count) => {
                    client.input.extend_from_slice(&chunk[..count]);
                    self.answers(index);
                    if count < chunk.len() && !ended {
                        return;
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) => return self.lost(index, fault.kind() == ErrorKind::ConnectionRefused),
            }
        }
    }

    /// The router has ended a connection: what was out on it has no answer. A new one takes its place.
    fn lost(&mut self, index: usize, refused: bool) {
        let Some(client) = self.clients[index].take() else { return };
        let at = now();
        let alone = self.front.routers.len() == 1;
        for out in client.out {
            if let Some(entry) = self.entry(out.number) {
                (entry.lost, entry.refused) = (Some(at), refused);
            }
            if !out.flood {
                self.outstanding -= 1;
                if !out.over {
                    self.count(out.due, out.method, |counts| counts.unanswered += 1);
                }
            }
        }
        if at < self.ends && client.kind != Kind::Slow {
            if alone {
                self.clients[index] = self.connect(client.kind, index).ok();
            } else {
                self.next += 1;
                self.reopen.insert((at + REOPENS, self.next), (index, client.kind));
            }
        }
    }

    /// What is kept of an RPC; numbers rise with each that is sent.
    fn entry(&mut self, number: u64) -> Option<&mut Entry> {
        let at = self.outcome.journal.binary_search_by_key(&number, |entry| entry.number).ok()?;
        self.outcome.journal.get_mut(at)
    }

    fn answers(&mut self, index: usize) {
        let at = now();
        let mut used = 0;
        loop {
            let Some(client) = self.clients[index].as_mut() else { return };
            let Some((kind, body, length)) = proto::parse_frame(client.input.get(used..).unwrap_or_default())
            else {
                break;
            };
            used += length;
            match kind {
                b'D' => {
                    let told = body
                        .get(2..6)
                        .and_then(|four| four.first_chunk::<4>())
                        .map(|four| u32::from_be_bytes(*four));
                    if told.is_none_or(|told| told as usize + 6 != body.len())
                        && self.outcome.faults.len() < 20
                    {
                        self.outcome.faults.push("a row whose column is not as long as it says".into());
                    }
                    let text = body.get(6..).unwrap_or_default();
                    let id =
                        text.split(|&byte| byte == b'.').next().and_then(|id| std::str::from_utf8(id).ok());
                    let number = id.and_then(|id| u64::from_str_radix(id.split_once('-')?.1, 16).ok());
                    client.told.row = Some(number);
                }
                b'E' => {
                    client.told.code = proto::error_field(body, b'C').map(str::to_owned);
                    client.told.come_back = proto::error_field(body, b'D').and_then(|text| text.parse().ok());
                }
                b'Z' if !client.opened => client.opened = true,
                b'Z' => {
                    let told = std::mem::take(&mut client.told);
                    match client.out.pop_front() {
                        Some(out) => self.answered(at, out, told),
                        None => self.outcome.faults.push("an answer that nobody waits for".into()),
                    }
                }
                _ => {}
            }
        }
        if let Some(client) = self.clients[index].as_mut() {
            client.input.drain(..used);
        }
    }

    fn answered(&mut self, at: Time, out: Out, told: Told) {
        if !out.flood {
            self.outstanding -= 1;
        }
        let late = at > out.until + GRACE;
        let soft = Span::from_secs_f64(self.scenario.methods[out.method].soft_deadline_ms / 1e3);
        let took = ((at - out.due).nanos() / 1000).max(1) as u64;
        let pushed = matches!(told.code.as_deref(), Some("53300" | "57P03"));
        let ok = told.row.is_some() && told.code.is_none();
        if told.row.is_none() && told.code.is_none() {
            self.outcome
                .faults
                .push(format!("RPC {:x}: an answer with neither a row nor an error", out.number));
        }
        // Whose value it is, where it can be read at all, is the judge's to say.
        if ok && (told.row == Some(None) || out.flood && told.row != Some(Some(out.number))) {
            self.outcome.faults.push(format!("RPC {:x}: served the value of {:x?}", out.number, told.row));
        }
        if let Some(entry) = self.entry(out.number) {
            let answer = match (ok, pushed) {
                (true, _) => Answer::Ok,
                (_, true) => Answer::Rejected,
                _ => Answer::Failed,
            };
            // A second answer to one would be nobody's, which is counted as such.
            entry.answered = Some((at, answer, told.row.flatten()));
        }
        if out.flood {
            let flood = &mut self.outcome.flood;
            flood.ok += u64::from(ok);
            flood.pushed_back += u64::from(pushed);
            flood.aborted += u64::from(!ok && !pushed);
            return;
        }
        if out.over {
            return;
        }
        if late {
            return self.count(out.due, out.method, |counts| counts.late += 1);
        }
        if ok {
            let good = at <= out.due + soft;
            self.count(out.due, out.method, |counts| {
                counts.ok += 1;
                counts.good += u64::from(good);
            });
            let nth = ((out.due - self.began).nanos() / SLICE.nanos()).max(0) as usize;
            if let Some(slice) = self.outcome.slices.get_mut(nth).filter(|_| good) {
                slice.utility += self.scenario.methods[out.method].utility;
            }
            self.outcome.ok_us[out.method].saturating_record(took);
        } else if pushed {
            self.outcome.pushed_us.saturating_record(took);
            self.outcome.come_back_ms.saturating_record(told.come_back.unwrap_or(0).max(1));
            let again = at + Span::from_millis(told.come_back.unwrap_or(0) as i64);
            if out.repeats < self.plan.repeats && again < out.until {
                self.next += 1;
                let want =
                    Want { due: out.due, method: out.method, until: out.until, repeats: out.repeats + 1 };
                self.later.insert((again, self.next), want);
            } else {
                self.count(out.due, out.method, |counts| counts.pushed_back += 1);
            }
        } else {
            self.count(out.due, out.method, |counts| counts.aborted += 1);
        }
    }

    /// RPCs whose client has waited for all of its time, and more.
    fn give_up(&mut self, at: Time) {
        for index in 0..self.clients.len() {
            let Some(client) = self.clients[index].as_mut() else { continue };
            let given_up =
                client.out.iter_mut().filter(|out| !out.flood && !out.over && at > out.until + GRACE);
            let gone: Vec<(Time, usize)> = given_up
                .map(|out| {
                    out.over = true;
                    (out.due, out.method)
                })
                .collect();
            for (due, method) in gone {
                self.count(due, method, |counts| counts.unanswered += 1);
            }
        }
        if at > self.ends + self.plan.deadline {
            for want in std::mem::take(&mut self.wants) {
                self.count(want.due, want.method, |counts| counts.unsent += 1);
            }
            for (_, want) in std::mem::take(&mut self.later) {
                self.count(want.due, want.method, |counts| counts.pushed_back += 1);
            }
        }
    }
}

/// A client apart from the load that asks nothing over and over: how long the router takes to come round.
pub struct Prober {
    thread: std::thread::JoinHandle<Vec<(Time, Span)>>,
    stop: Arc<AtomicBool>,
}

impl Prober {
    pub fn start(target: SocketAddr, every: Duration) -> io::Result<Prober> {
        let mut stream = std::net::TcpStream::connect(target)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut out = Vec::new();
        proto::put_startup(&mut out);
        stream.write_all(&out)?;
        until_ready(&mut stream)?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut delays = Vec::new();
            let mut nothing = Vec::new();
            proto::put_query(&mut nothing, "");
            let mut due = now();
            while !stopped.load(Ordering::Relaxed) {
                let done = stream.write_all(&nothing).and_then(|()| until_ready(&mut stream));
                // From when it was due: a stall counts for all that would have been asked meanwhile.
                let at = now();
                loop {
                    delays.push((due, at - due));
                    due = due + Span::from_nanos(every.as_nanos() as i64);
                    if due > at || done.is_err() {
                        break;
                    }
                }
                if done.is_err() {
                    break;
                }
                std::thread::sleep(Duration::from_nanos((due - now()).nanos().max(0) as u64));
            }
            delays
        });
        Ok(Prober { thread, stop })
    }

    /// When each was due, and how long it took.
    pub fn stop(self) -> Vec<(Time, Span)> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// Reads up to a ReadyForQuery.
pub fn until_ready(stream: &mut std::net::TcpStream) -> io::Result<()> {
    let mut input = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let mut used = 0;
        while let Some((kind, _, length)) = proto::parse_frame(&input[used..]) {
            used += length;
            if kind == b'Z' {
                return Ok(());
            }
        }
        input.drain(..used);
        match stream.read(&mut chunk)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => input.extend_from_slice(&chunk[..count]),
        }
    }
}

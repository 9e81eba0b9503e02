//! The members as a pure model: cores, queues, logs, roles and connections. Inputs and the time in, outputs out.
//!
//! It owns these invariants: a connection works on one statement at a time, in order; what is turned away never runs;
//! what runs is in the truth once; a replica's position never goes back. It must never touch a socket or read a clock.

use crate::scenario::Scenario;
use crate::truth::{Came, Ran, Truth};
use ladderpass_routing::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// A connection to a member, by a number that the driver gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Conn(pub u64);

#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// An empty statement.
    Nothing,
    Load,
    Statement {
        id: Box<str>,
        method: u32,
        wait: Span,
        after: Option<Time>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A connection's startup has come.
    Opened(Conn),
    Asked(Conn, Ask),
    Closed(Conn),
    /// The member dies: all its connections with it. It is back with `Starts`.
    Dies,
    Starts,
    /// It becomes the primary of its group; the one before becomes a replica.
    Rises,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Welcome,
    Nothing,
    Report {
        position: Time,
        primary: bool,
        waiting: usize,
    },
    Row {
        id: Box<str>,
        method: u32,
        primary: bool,
        position: Time,
    },
    /// An error with this code, after which the connection goes on.
    Refused(&'static str),
    /// An error that ends the connection.
    Fatal(&'static str),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    pub conn: Conn,
    pub reply: Reply,
}

struct Member {
    group: u32,
    primary: bool,
    alive: bool,
    busy: usize,
    waiting: VecDeque<Job>,
    links: HashMap<Conn, Link>,
    /// Position up to which its log has been applied, what is to come, and when its one thread is free.
    applied: Time,
    coming: VecDeque<(Time, Time)>,
    thread_free: Time,
}

impl Member {
    /// What its thread has applied by now.
    fn apply_log(&mut self, now: Time) {
        while let Some((commit, _)) = self.coming.pop_front_if(|(_, at)| *at <= now) {
            self.applied = self.applied.max(commit);
        }
    }
}

#[derive(Default)]
struct Link {
    /// One of its statements runs or waits; the others stand behind it.
    working: bool,
    behind: VecDeque<Ask>,
}

struct Job {
    conn: Conn,
    id: Box<str>,
    method: u32,
    until: Time,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Welcome(Conn),
    Done { conn: Conn, id: Box<str>, method: u32 },
}

pub struct Model {
    scenario: Scenario,
    members: Vec<Member>,
    due: BinaryHeap<Reverse<(Time, u64, u32, Due)>>,
    number: u64,
    chance: SmallRng,
    outputs: Vec<Output>,
    pub truth: Truth,
}

impl Model {
    pub fn new(now: Time, scenario: Scenario, seed: u64) -> Model {
        let each = scenario.members_of_group();
        let member = |index: usize| Member {
            group: index as u32 / each,
            primary: (index as u32).is_multiple_of(each),
            alive: true,
            busy: 0,
            waiting: VecDeque::new(),
            links: HashMap::new(),
            applied: now,
            coming: VecDeque::new(),
            thread_free: now,
        };
        Model {
            members: (0..scenario.members()).map(member).collect(),
            scenario,
            due: BinaryHeap::new(),
            number: 0,
            chance: SmallRng::seed_from_u64(seed),
            outputs: Vec::new(),
            truth: Truth::default(),
        }
    }

    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// When `advance` is due.
    pub fn wake(&self) -> Option<Time> {
        self.due.peek().map(|Reverse((at, ..))| *at)
    }

    /// What members have written since it was asked last.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub fn is_alive(&self, member: u32) -> bool {
        self.members.get(member as usize).is_some_and(|member| member.alive)
    }

    /// Connections of a member that are open, and RPCs that wait there.
    pub fn crowd(&self, member: u32) -> (usize, usize) {
        self.members.get(member as usize).map_or((0, 0), |m| (m.links.len(), m.waiting.len()))
    }

    /// RPCs that a member works on.
    #[doc(hidden)]
    pub fn at_work(&self, member: u32) -> usize {
        self.members.get(member as usize).map_or(0, |member| member.busy)
    }

    pub fn apply(&mut self, now: Time, member: u32, input: Input) {
        self.advance(now);
        let Some(state) = self.members.get_mut(member as usize) else { return };
        match input {
            Input::Opened(conn) if !state.alive || state.links.len() >= self.scenario.connections => {
                self.outputs.push(Output { conn, reply: Reply::Fatal("53300") });
            }
            Input::Opened(conn) => {
                state.links.insert(conn, Link::default());
                match Span::from_secs_f64(self.scenario.connect_ms / 1e3) {
                    Span::ZERO => self.outputs.push(Output { conn, reply: Reply::Welcome }),
                    cost => self.schedule(now + cost, member, Due::Welcome(conn)),
                }
            }
            Input::Asked(conn, ask) => {
                let Some(link) = state.links.get_mut(&conn) else { return };
                if link.working {
                    link.behind.push_back(ask);
                } else {
                    self.ask(now, member, conn, ask);
                }
            }
            Input::Closed(conn) => {
                // What waits for it never runs; what runs goes on.
                state.links.remove(&conn);
                state.waiting.retain(|job| job.conn != conn);
            }
            Input::Dies => {
                state.alive = false;
                state.busy = 0;
                state.links.clear();
                state.waiting.clear();
                self.due.retain(|Reverse((_, _, whose, _))| *whose != member);
            }
            Input::Starts => state.alive = true,
            Input::Rises => {
                let group = state.group;
                for (index, other) in (0..).zip(&mut self.members) {
                    if other.group == group {
                        other.primary = index == member;
                    }
                }
            }
        }
    }

    /// Lets all that is due by now happen.
    pub fn advance(&mut self, now: Time) {
        while self.wake().is_some_and(|at| at <= now)
            && let Some(Reverse((at, _, member, due))) = self.due.pop()
        {
            match due {
                Due::Welcome(conn) => {
                    if self.has(member, conn) {
                        self.outputs.push(Output { conn, reply: Reply::Welcome });
                    }
                }
                Due::Done { conn, id, method } => {
                    if let Some(state) = self.members.get_mut(member as usize) {
                        state.busy = state.busy.saturating_sub(1);
                    }
                    self.done(at, member, conn, id, method);
                    self.begin_next(at, member);
                }
            }
        }
    }

    fn schedule(&mut self, at: Time, member: u32, due: Due) {
        self.number += 1;
        self.due.push(Reverse((at, self.number, member, due)));
    }

    fn has(&self, member: u32, conn: Conn) -> bool {
        self.members.get(member as usize).is_some_and(|state| state.links.contains_key(&conn))
    }

    fn ask(&mut self, now: Time, member: u32, conn: Conn, ask: Ask) {
        let position = self.position(now, member);
        let Some(state) = self.members.get_mut(member as usize) else { return };
        let (primary, waiting) = (state.primary, state.waiting.len());
        let reply = match ask {
            Ask::Nothing => Reply::Nothing,
            Ask::Load => {
                if self.scenario.history {
                    self.truth.probes.push((now, member));
                }
                Reply::Report { position, primary, waiting }
            }
            Ask::Statement { id, method, wait, after } => {
                let writes = self.scenario.methods.get(method as usize).is_some_and(|method| method.writes);
                let refused = if writes && !primary {
                    Some("25006")
                } else if after.is_some_and(|after| after > position) {
                    Some("72000")
                } else if waiting >= self.scenario.queue {
                    self.truth.turned_away += 1;
                    Some("53300")
                } else {
                    None
                };
                if self.scenario.history {
                    let (id, turned_away) = (id.clone(), refused.is_some());
                    self.truth.came.push(Came { at: now, member, id, position, turned_away });
                }
                if let Some(code) = refused {
                    Reply::Refused(code)
                } else {
                    state.waiting.push_back(Job { conn, id, method, until: now + wait });
                    if let Some(link) = state.links.get_mut(&conn) {
                        link.working = true;
                    }
                    return self.begin_next(now, member);
                }
            }
        };
        self.outputs.push(Output { conn, reply });
    }

    fn begin_next(&mut self, now: Time, member: u32) {
        loop {
            let position = self.position(now, member);
            let Some(state) = self.members.get_mut(member as usize) else { return };
            if state.busy >= self.scenario.cores {
                return;
            }
            let Some(Job { conn, id, method, until }) = state.waiting.pop_front() else { return };
            if until < now {
                self.truth.over_before += 1;
                if self.scenario.history {
                    self.truth.came.push(Came { at: now, member, id, position, turned_away: true });
                }
                self.outputs.push(Output { conn, reply: Reply::Refused("53300") });
                self.go_on(now, member, conn);
                continue;
            }
            let writes = self.scenario.methods.get(method as usize).is_some_and(|method| method.writes);
            self.truth.ran.push(Ran { at: now, member, id: id.clone(), method, writes, position });
            let work = self.scenario.work(method as usize);
            if work == Span::ZERO {
                self.done(now, member, conn, id, method);
                continue;
            }
            state.busy += 1;
            let spread: f64 = self.chance.sample(Exp1);
            self.schedule(now + work * spread, member, Due::Done { conn, id, method });
        }
    }

    fn done(&mut self, now: Time, member: u32, conn: Conn, id: Box<str>, method: u32) {
        let writes = self.scenario.methods.get(method as usize).is_some_and(|method| method.writes);
        if writes {
            self.commit(now, member);
        }
        let position = self.position(now, member);
        let primary = self.members.get(member as usize).is_some_and(|state| state.primary);
        if self.has(member, conn) {
            self.outputs.push(Output { conn, reply: Reply::Row { id, method, primary, position } });
            self.go_on(now, member, conn);
        }
    }

    /// A connection's statement is over: what stands behind it is next.
    fn go_on(&mut self, now: Time, member: u32, conn: Conn) {
        loop {
            let Some(state) = self.members.get_mut(member as usize) else { return };
            let Some(link) = state.links.get_mut(&conn) else { return };
            link.working = false;
            let Some(ask) = link.behind.pop_front() else { return };
            // A statement sets `working` again, and goes on by itself; the others are answered at once.
            let statement = matches!(ask, Ask::Statement { .. });
            self.ask(now, member, conn, ask);
            if statement {
                return;
            }
        }
    }

    /// A write at the primary: each replica of its group applies it on one thread.
    fn commit(&mut self, now: Time, primary: u32) {
        let Some(group) = self.members.get(primary as usize).map(|state| state.group) else { return };
        let apply = Span::from_secs_f64(self.scenario.apply_ms / 1e3);
        let log = Span::from_secs_f64(self.scenario.log_ms / 1e3);
        for state in self.members.iter_mut().filter(|state| state.group == group && !state.primary) {
            state.thread_free = state.thread_free.max(now + log) + apply;
            state.coming.push_back((now, state.thread_free));
            // Bounds what a replica that nobody asks keeps in mind.
            state.apply_log(now);
        }
    }

    /// How far a member's data reaches.
    fn position(&mut self, now: Time, member: u32) -> Time {
        let log = Span::from_secs_f64(self.scenario.log_ms / 1e3);
        let Some(state) = self.members.get_mut(member as usize) else { return Time::NEVER };
        state.apply_log(now);
        let reach = match state.coming.front() {
            _ if state.primary => now,
            // All but that commit: up to just before it.
            Some(&(commit, _)) => (commit - Span::from_nanos(1)).min(now - log),
            None => now - log,
        };
        state.applied = state.applied.max(reach);
        state.applied
    }
}

//! The pure part: what comes in on connections, and the time; what is to be done to them, out. Each decision is recorded.
//!
//! It owns these invariants: a direction keeps its order; without a rule what comes goes on unchanged; what is held for a
//! rule is bounded, and past the bound its sender is read no more; chance is drawn by link, connection, rule and hit, so
//! that it does not depend on what else happens. It must never touch a socket or read a clock.

use crate::plan::{Action, Plan, Rule, Side, Spread, Talk};
use crate::record::Decision;
use crate::stream::{Scanner, Unit};
use ladderpass_routing::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use std::collections::HashMap;

/// A connection of a link: the link's place in the plan, and its number there, from 1 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Conn {
    pub link: usize,
    pub number: u64,
}

/// What is to be done to a connection, not before a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Do {
    pub conn: Conn,
    pub at: Time,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// Bytes go to this side.
    Send(Side, Vec<u8>),
    /// Nothing more goes to this side.
    End(Side),
    Close,
    Reset,
}

/// Bytes of one direction that may be held or late before its sender is read no more.
pub const BOUND: usize = 512 << 10;

struct Way {
    scanner: Scanner,
    /// No unit goes on before.
    free_at: Time,
    /// By a rule: held, silent, or swallowed up to the next ready.
    held: Option<usize>,
    waiting: Vec<u8>,
    silent: bool,
    swallowing: bool,
    /// Bytes a second.
    rate: Option<u64>,
    /// An answer that comes after the next one.
    later: Option<Vec<u8>>,
    catching: bool,
    /// An answer that comes once more.
    copy: Option<Vec<u8>>,
    ended: bool,
}

impl Way {
    fn new(talk: Talk, side: Side) -> Way {
        Way {
            scanner: Scanner::new(talk, side),
            free_at: Time::NEVER,
            held: None,
            waiting: Vec::new(),
            silent: false,
            swallowing: false,
            rate: None,
            later: None,
            catching: false,
            copy: None,
            ended: false,
        }
    }
}

struct State {
    ways: [Way; 2],
    over: bool,
    /// What came while the link was cut, from which side, in its order; and whose end came.
    stalled: Vec<(Side, Unit)>,
    stalled_bytes: [usize; 2],
    stalled_ends: Vec<Side>,
    /// The RPC whose statement passed and whose answer has not.
    asked: Option<String>,
}

/// What passed of an RPC, as the tool sees it beside the one that connects: where its sides' beliefs and the way between
/// them don't matter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Passed {
    pub at: Time,
    pub link: usize,
    pub id: String,
    /// Its statement came; else its answer went, or its connection ended.
    pub begins: bool,
}

/// A rule with what has become of it.
struct Live {
    rule: Rule,
    link: Option<usize>,
    /// Units that fit, by link; and how often it has acted.
    fits: HashMap<usize, u64>,
    hits: u64,
    lifted: bool,
}

pub struct Engine {
    plan: Plan,
    started: Time,
    rules: Vec<Live>,
    conns: HashMap<Conn, State>,
    opened: Vec<u64>,
    record: Vec<Decision>,
    bytes: u64,
    /// Links through which nothing goes, either way.
    cut: Vec<bool>,
    /// Kept where a judge asks for it.
    passed: Option<Vec<Passed>>,
}

impl Engine {
    pub fn new(now: Time, plan: Plan) -> Engine {
        let mut engine = Engine {
            started: now,
            rules: Vec::new(),
            conns: HashMap::new(),
            opened: vec![0; plan.links.len()],
            record: Vec::new(),
            bytes: 0,
            cut: vec![false; plan.links.len()],
            passed: None,
            plan: Plan { rules: Vec::new(), ..plan.clone() },
        };
        for rule in plan.rules {
            engine.put(rule);
        }
        engine
    }

    fn put(&mut self, rule: Rule) {
        let link =
            rule.link.as_ref().and_then(|name| self.plan.links.iter().position(|link| link.name == *name));
        self.plan.rules.push(rule.clone());
        self.rules.push(Live { rule, link, fits: HashMap::new(), hits: 0, lifted: false });
    }

    /// A further rule, while it runs; one that was lifted may come again under its name.
    pub fn add(&mut self, rule: Rule) -> Result<(), String> {
        rule.check(&self.plan)?;
        if self.rules.iter().any(|live| live.rule.name == rule.name && !live.lifted) {
            return Err(format!("name: {:?} is there already", rule.name));
        }
        self.put(rule);
        Ok(())
    }

    /// A rule acts no more; what it held goes on.
    pub fn lift(&mut self, now: Time, name: &str) -> Result<Vec<Do>, String> {
        let found = self.rules.iter().position(|live| live.rule.name == name && !live.lifted);
        let index = found.ok_or_else(|| format!("there is no rule {name:?}"))?;
        self.rules[index].lifted = true;
        let mut todo = Vec::new();
        for (&conn, state) in &mut self.conns {
            for (way, to) in state.ways.iter_mut().zip([Side::Server, Side::Client]) {
                if way.held == Some(index) {
                    way.held = None;
                    let bytes = std::mem::take(&mut way.waiting);
                    if !bytes.is_empty() {
                        todo.push(Do { conn, at: now, what: What::Send(to, bytes) });
                    }
                    if way.ended {
                        todo.push(Do { conn, at: now, what: What::End(to) });
                    }
                }
            }
        }
        todo.sort_by_key(|one| one.conn);
        Ok(todo)
    }

    /// What passes of RPCs is kept from now on.
    pub fn watch(&mut self) {
        self.passed = Some(Vec::new());
    }

    pub fn passed(&mut self) -> Vec<Passed> {
        self.passed.take().unwrap_or_default()
    }

    /// Nothing goes through a link until it is healed, and nobody is told; what came meanwhile goes on then, as the
    /// kernel's own repeats would bring it.
    pub fn cut(&mut self, link: &str) -> Result<(), String> {
        let index = self.link(link)?;
        self.cut[index] = true;
        Ok(())
    }

    pub fn heal(&mut self, now: Time, link: &str) -> Result<Vec<Do>, String> {
        let index = self.link(link)?;
        let mut todo = Vec::new();
        if !std::mem::take(&mut self.cut[index]) {
            return Ok(todo);
        }
        let mut conns: Vec<Conn> = self.conns.keys().filter(|conn| conn.link == index).copied().collect();
        conns.sort_unstable();
        for conn in conns {
            let Some(state) = self.conns.get_mut(&conn) else { continue };
            state.stalled_bytes = [0, 0];
            let (units, ends) = (std::mem::take(&mut state.stalled), std::mem::take(&mut state.stalled_ends));
            for (side, unit) in units {
                self.unit(now, conn, side, unit, &mut todo);
            }
            for side in ends {
                todo.extend(self.end(now, conn, side));
            }
        }
        Ok(todo)
    }

    fn link(&self, name: &str) -> Result<usize, String> {
        let found = self.plan.links.iter().position(|link| link.name == name);
        found.ok_or_else(|| format!("there is no link {name:?}"))
    }

    /// Notes what a unit says of an RPC.
    fn look(&mut self, now: Time, conn: Conn, side: Side, unit: &Unit) {
        if self.passed.is_none() {
            return;
        }
        let Some(state) = self.conns.get_mut(&conn) else { return };
        let over = match (side, unit.kind) {
            (Side::Client, "Query") => {
                let Some(id) = id_of(&unit.bytes) else { return };
                state.asked = Some(id.to_owned());
                Some((id.to_owned(), true))
            }
            (Side::Server, "ReadyForQuery") => state.asked.take().map(|id| (id, false)),
            _ => None,
        };
        self.pass(now, conn, over);
    }

    fn pass(&mut self, at: Time, conn: Conn, what: Option<(String, bool)>) {
        if let (Some(passed), Some((id, begins))) = (self.passed.as_mut(), what) {
            passed.push(Passed { at, link: conn.link, id, begins });
        }
    }

    /// The one that connected is done with a connection: what it had asked there is over for it.
    fn parted(&mut self, now: Time, conn: Conn) {
        let asked = self.conns.get_mut(&conn).and_then(|state| state.asked.take());
        self.pass(now, conn, asked.map(|id| (id, false)));
    }

    /// By rule: its name, how often it has acted, and whether it still may.
    pub fn list(&self) -> Vec<(&str, u64, bool)> {
        self.rules
            .iter()
            .map(|live| (live.rule.name.as_str(), live.hits, !live.lifted && !live.is_spent()))
            .collect()
    }

    /// Rules that never acted: told at the end of a run.
    pub fn never_fired(&self) -> Vec<&str> {
        self.rules.iter().filter(|live| live.hits == 0).map(|live| live.rule.name.as_str()).collect()
    }

    pub fn record(&self) -> &[Decision] {
        &self.record
    }

    /// Connections open now, bytes passed in all.
    pub fn stats(&self) -> (usize, u64) {
        (self.conns.len(), self.bytes)
    }

    /// May this side be read on? `late` are its bytes that the driver still has.
    pub fn wants(&self, conn: Conn, side: Side, late: usize) -> bool {
        let Some(state) = self.conns.get(&conn) else { return false };
        let way = &state.ways[side as usize];
        // What is silent is read and left out: its sender must not notice.
        way.silent
            || late
                + state.stalled_bytes[side as usize]
                + way.waiting.len()
                + way.later.as_ref().map_or(0, Vec::len)
                < BOUND
    }

    /// A connection has come to a link: its number, whether it is led on, and what is done to it.
    pub fn opened(&mut self, now: Time, link: usize) -> (Conn, bool, Vec<Do>) {
        self.opened[link] += 1;
        let conn = Conn { link, number: self.opened[link] };
        let talk = self.plan.links[link].talk;
        let ways = [Way::new(talk, Side::Client), Way::new(talk, Side::Server)];
        let (stalled, stalled_ends) = (Vec::new(), Vec::new());
        let state = State { ways, over: false, stalled, stalled_bytes: [0, 0], stalled_ends, asked: None };
        self.conns.insert(conn, state);
        let unit = Unit { at: 0, kind: "open", bytes: Vec::new() };
        let (mut leads, mut todo) = (true, Vec::new());
        for index in self.matching(now, conn, Side::Client, &unit, true) {
            let refuse = self.rules[index].rule.action == Action::Refuse;
            self.note(index, conn, Side::Client, &unit, Vec::new());
            leads = false;
            if refuse {
                todo.push(Do { conn, at: now, what: What::Reset });
            }
        }
        (conn, leads, todo)
    }

    /// Bytes have come from a side.
    pub fn came(&mut self, now: Time, conn: Conn, side: Side, bytes: &[u8]) -> Vec<Do> {
        self.bytes += bytes.len() as u64;
        let Some(state) = self.conns.get_mut(&conn) else { return Vec::new() };
        let units = state.ways[side as usize].scanner.feed(bytes);
        let mut todo = Vec::new();
        for unit in units {
            if side == Side::Client {
                self.look(now, conn, side, &unit);
            }
            if self.cut[conn.link] {
                if let Some(state) = self.conns.get_mut(&conn) {
                    state.stalled_bytes[side as usize] += unit.bytes.len();
                    state.stalled.push((side, unit));
                }
                continue;
            }
            self.unit(now, conn, side, unit, &mut todo);
        }
        todo
    }

    /// A side has ended its sending.
    pub fn ended(&mut self, now: Time, conn: Conn, side: Side) -> Vec<Do> {
        if side == Side::Client {
            self.parted(now, conn);
        }
        if self.cut[conn.link] {
            if let Some(state) = self.conns.get_mut(&conn) {
                state.stalled_ends.push(side);
            }
            return Vec::new();
        }
        self.end(now, conn, side)
    }

    fn end(&mut self, now: Time, conn: Conn, side: Side) -> Vec<Do> {
        let mut todo = Vec::new();
        let Some(state) = self.conns.get_mut(&conn) else { return todo };
        if let Some(unit) = state.ways[side as usize].scanner.end() {
            self.unit(now, conn, side, unit, &mut todo);
        }
        let Some(state) = self.conns.get_mut(&conn) else { return todo };
        let way = &mut state.ways[side as usize];
        way.ended = true;
        if let Some(bytes) = way.later.take() {
            todo.push(Do { conn, at: way.free_at.max(now), what: What::Send(side.other(), bytes) });
        }
        if way.held.is_none() && !way.silent {
            todo.push(Do { conn, at: way.free_at.max(now), what: What::End(side.other()) });
        }
        todo
    }

    /// Both of its sockets are gone.
    pub fn closed(&mut self, now: Time, conn: Conn) {
        self.parted(now, conn);
        self.conns.remove(&conn);
    }

    /// The rules that act on a unit, in the order of the plan; those that fit are counted.
    fn matching(&mut self, now: Time, conn: Conn, side: Side, unit: &Unit, opens: bool) -> Vec<usize> {
        let passed = (now - self.started).nanos() / 1_000_000;
        // Names are looked up only where some rule asks for another's.
        let asked = self.rules.iter().any(|live| live.rule.when.seen.is_some());
        let fired = self.rules.iter().filter(|live| asked && live.hits > 0);
        let fired: Vec<String> = fired.map(|live| live.rule.name.clone()).collect();
        let mut acting = Vec::new();
        for (index, live) in self.rules.iter_mut().enumerate() {
            let when = &live.rule.when;
            let holds = |text: &String| {
                let text = text.as_bytes();
                !text.is_empty() && unit.bytes.windows(text.len()).any(|part| part == text)
            };
            let fits = !live.lifted
                && when.opens == opens
                && (opens || when.from == side)
                && live.link.is_none_or(|link| link == conn.link)
                && when.connection.is_none_or(|number| number == conn.number)
                && when.message.as_ref().is_none_or(|kind| kind == unit.kind)
                && when.byte.is_none_or(|byte| (unit.at..unit.at + unit.bytes.len() as u64).contains(&byte))
                && when.holds.as_ref().is_none_or(holds)
                && when.after_ms.is_none_or(|ms| passed >= ms as i64)
                && when.seen.as_ref().is_none_or(|other| fired.contains(other));
            if !fits {
                continue;
            }
            let count = live.fits.entry(conn.link).or_default();
            *count += 1;
            if *count >= when.nth.unwrap_or(1) && !live.is_spent() {
                live.hits += 1;
                acting.push(index);
            }
        }
        acting
    }

    fn note(&mut self, index: usize, conn: Conn, side: Side, unit: &Unit, drawn: Vec<u64>) {
        let rule = &self.rules[index].rule;
        self.record.push(Decision {
            link: self.plan.links[conn.link].name.clone(),
            conn: conn.number,
            side,
            byte: unit.at,
            kind: unit.kind.to_owned(),
            rule: rule.name.clone(),
            action: rule.action.name().to_owned(),
            drawn,
        });
    }

    /// Chance of one hit, whatever else has happened.
    fn chance(&self, index: usize, conn: Conn, unit: &Unit) -> SmallRng {
        let mix = |seed: u64, part: u64| (seed ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        let name = self.rules[index].rule.name.bytes().fold(0, |sum, byte| mix(sum, u64::from(byte)));
        let parts = [name, conn.link as u64, conn.number, unit.at];
        SmallRng::seed_from_u64(parts.into_iter().fold(self.plan.seed, mix))
    }

    fn unit(&mut self, now: Time, conn: Conn, side: Side, unit: Unit, todo: &mut Vec<Do>) {
        if self.conns.get(&conn).is_none_or(|state| state.over) {
            return;
        }
        if side == Side::Server {
            self.look(now, conn, side, &unit);
        }
        let acting = self.matching(now, conn, side, &unit, false);
        let to = side.other();
        // What goes on in its place, piece by piece, and what ends the connection behind or before it.
        let mut pieces = vec![unit.bytes.clone()];
        let (mut delay, mut gap, mut last) = (Span::ZERO, Span::ZERO, None);
        let mut end_before = None;
        for index in acting {
            let action = self.rules[index].rule.action.clone();
            let mut chance = self.chance(index, conn, &unit);
            let mut drawn = Vec::new();
            let Some(state) = self.conns.get_mut(&conn) else { return };
            let way = &mut state.ways[side as usize];
            match action {
                Action::Delay { ms, spread } => {
                    let part: f64 = match spread {
                        Spread::Constant => 1.0,
                        Spread::Uniform => chance.random::<f64>() * 2.0,
                        Spread::Exponential => chance.sample(Exp1),
                    };
                    drawn.push((ms * part * 1e3) as u64);
                    delay += Span::from_secs_f64(ms * part / 1e3);
                }
                Action::Rate { bytes_per_s } => way.rate = Some(bytes_per_s),
                Action::Slice { gap_ms } => {
                    gap = Span::from_secs_f64(gap_ms / 1e3);
                    pieces = pieces.concat().into_iter().map(|byte| vec![byte]).collect();
                }
                Action::Hold => way.held = Some(index),
                Action::Drop => pieces.clear(),
                Action::Swallow => way.swallowing = true,
                Action::Silence => way.silent = true,
                Action::HalfClose { side } => end_before = Some(What::End(side.other())),
                Action::Close => end_before = Some(What::Close),
                Action::Reset => end_before = Some(What::Reset),
                Action::Garble { bytes } => {
                    let mut whole = pieces.concat();
                    let head = if whole.len() > 5 { 5 } else { 0 };
                    for _ in 0..bytes {
                        if head < whole.len() {
                            let place = chance.random_range(head..whole.len());
                            whole[place] ^= chance.random_range(1..=255u8);
                            drawn.push(place as u64);
                        }
                    }
                    pieces = vec![whole];
                }
                Action::Set { at, to } => {
                    let mut whole = pieces.concat();
                    if let Some(byte) = whole.get_mut(at as usize) {
                        *byte = to;
                    }
                    pieces = vec![whole];
                }
                Action::FlipLength => {
                    let mut whole = pieces.concat();
                    let bit = chance.random_range(0..32usize);
                    // Behind the type byte; a startup's stands first.
                    let from = if unit.kind == "Startup" { 0 } else { 1 };
                    if let Some(byte) = whole.get_mut(from + bit / 8) {
                        *byte ^= 1 << (bit % 8);
                    }
                    drawn.push(bit as u64);
                    pieces = vec![whole];
                }
                Action::Duplicate => pieces.push(pieces.concat()),
                Action::Noise { bytes } => pieces.push((0..bytes).map(|_| chance.random()).collect()),
                Action::Truncate { keep } => {
                    let mut whole = pieces.concat();
                    whole.truncate(keep as usize);
                    pieces = vec![whole];
                    last = Some(What::Close);
                }
                Action::Repeat => way.copy = way.copy.take().or(Some(Vec::new())),
                Action::Reorder => way.catching = way.later.is_none(),
                Action::Refuse | Action::Ignore => {}
            }
            self.note(index, conn, side, &unit, drawn);
        }
        let Some(state) = self.conns.get_mut(&conn) else { return };
        let way = &mut state.ways[side as usize];
        let ready = matches!(unit.kind, "ReadyForQuery");
        if way.swallowing {
            pieces.clear();
            way.swallowing = !ready;
        }
        if way.silent {
            pieces.clear();
        }
        if let Some(copy) = &mut way.copy {
            copy.extend(pieces.concat());
            if ready && let Some(copy) = way.copy.take() {
                pieces.push(copy);
            }
        }
        if way.catching {
            way.later.get_or_insert_default().extend(pieces.concat());
            pieces.clear();
            way.catching = !ready;
        } else if ready && let Some(later) = way.later.take() {
            pieces.push(later);
        }
        if way.held.is_some() {
            way.waiting.extend(pieces.concat());
            return;
        }
        let mut at = way.free_at.max(now) + delay;
        if let Some(what) = end_before {
            // Ended from the side that it names: what comes from the other goes on.
            let whole = matches!(what, What::Close | What::Reset);
            todo.push(Do { conn, at, what });
            if whole {
                state.over = true;
                return;
            }
        }
        for piece in pieces.into_iter().filter(|piece| !piece.is_empty()) {
            if let Some(rate) = way.rate {
                at = at + Span::from_secs_f64(piece.len() as f64 / rate as f64);
            }
            todo.push(Do { conn, at, what: What::Send(to, piece) });
            at = at + gap;
        }
        way.free_at = at;
        if let Some(what) = last {
            todo.push(Do { conn, at, what });
            state.over = true;
        }
    }
}

/// The id in the comment of a statement.
fn id_of(bytes: &[u8]) -> Option<&str> {
    let from = bytes.windows(6).rposition(|part| part == b"/* id=")? + 6;
    let rest = bytes.get(from..)?;
    let length = rest.iter().position(|&byte| byte == b',' || byte == b' ')?;
    std::str::from_utf8(rest.get(..length)?).ok()
}

impl Live {
    fn is_spent(&self) -> bool {
        self.rule.times > 0 && self.hits >= self.rule.times
    }
}

//! Asks the other routers in turn, directly and through others, spreads what it finds, and contradicts what is said of
//! itself.
//!
//! It owns what is under way: questions, rumours, this router's own incarnation and health. It must never take a silence
//! for a death before the suspicion is over, nor trust its own silence while it stalled.

use crate::message::{Incarnation, Kind, Message, State, StateUpdate, length_of};
use crate::settings::{Faulty, Settings};
use crate::table::{Change, Peer, Table, hash, mark};
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Who this router is.
#[derive(Clone, Copy, Debug)]
pub struct LocalRouter {
    /// Where the others send to.
    pub address: SocketAddr,
    /// The wall clock at its start.
    pub started_unix_ms: i64,
}

/// Who is alive, as this router believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// This one's place among the living in the order of addresses, and how many there are, this one among them.
    pub position: usize,
    pub count: usize,
    /// The same at two routers that count on the same ones.
    pub digest: u32,
    pub suspected: usize,
    /// Others that are listed or were alive, and are not.
    pub gone: usize,
}

/// What it has sent and read; datagrams that were dropped are of strangers or can't be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    pub sent: u64,
    pub bytes: u64,
    pub received: u64,
    pub dropped: u64,
}

/// A question to another router that has no answer yet.
struct Probe {
    who: SocketAddr,
    sent: Time,
    /// When others are asked to try, and when it has failed.
    help_at: Time,
    until: Time,
    helpers: usize,
    /// Helpers that said that they are there, though they had no answer either.
    nothing: usize,
    /// It is asked whether it is back: no answer is no news.
    back: bool,
}

/// A question on behalf of another router.
struct Errand {
    asker: SocketAddr,
    number: u32,
    say_by: Time,
    until: Time,
}

/// A listed address that no router has spoken from yet.
#[derive(Clone, Copy)]
struct Listed {
    address: SocketAddr,
    /// When it last spoke as programs of before do, which have no part in this; at first all may be such.
    earlier: Time,
}

/// Local health: each step makes this router wait longer for others before it doubts them.
const WORST: u32 = 8;
/// Questions to the living that may be out at once: one a round in calm, more where answers are missing.
const PROBES: usize = 4;
/// Datagrams with nothing but words that a round may send: news, and what one whose view differs may miss.
const TELLS: usize = 6;
const FILLS: usize = 16;
/// So many go to one whose view differs, with each question and answer.
const FILLS_AT_ONCE: usize = 5;
/// A rumour goes out so often, in logarithms of the number of routers.
const SPREAD: f64 = 3.0;
/// Another router with the same view counts as this often.
const KNOWN: u32 = 3;
/// Bytes of the shortest word.
const SHORTEST: usize = 15;
/// What is under way and can be made to grow by others is bounded.
const ERRANDS: usize = 256;
const RUMOURS: usize = 4096;
const LOADS: usize = 64;
/// A program of before counts as there for so long after its last word.
const EARLIER: Span = Span::from_millis(60_000);
/// A router that stalled for this part of a round or more doubts itself.
const STILL: f64 = 1.6;

pub struct Membership {
    settings: Settings,
    own: SocketAddr,
    incarnation: Incarnation,
    table: Table,
    listed: Vec<Listed>,
    /// May an address that nobody has listed speak? By network: address and bits.
    networks: Vec<(std::net::IpAddr, u8)>,
    chance: WyRand,
    /// Whom it asks, in an order drawn anew for each time round.
    order: Vec<SocketAddr>,
    probes: BTreeMap<u32, Probe>,
    errands: BTreeMap<u32, Errand>,
    number: u32,
    /// Whom there is news of, and how often it has been told.
    rumours: BTreeMap<SocketAddr, u32>,
    ask_at: Time,
    round: u64,
    tells: usize,
    fills: usize,
    tended: Time,
    health: u32,
    /// When any router last showed that it hears this one.
    heard_by: Time,
    leaving: bool,
    out: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<(SocketAddr, Change)>,
    counts: DatagramCounts,
    /// A word on itself that only another process with this address can have said.
    double: bool,
    /// What goes along with questions and answers, and what came so.
    load: Vec<u8>,
    loads: Vec<Vec<u8>>,
}

/// A number that stands for a router, the same for all.
pub fn router_hash(who: SocketAddr) -> u32 {
    hash(who, 1)
}

impl Membership {
    /// `listed`: where other routers may be; `networks`: from where others may join as well.
    pub fn start(
        now: Time,
        seed: u64,
        own: LocalRouter,
        listed: &[SocketAddr],
        networks: &[(std::net::IpAddr, u8)],
        settings: Settings,
    ) -> Membership {
        let mut chance = WyRand::new_seed(seed);
        let others = listed.iter().filter(|&&address| address != own.address);
        let listed = others.map(|&address| Listed { address, earlier: now }).collect();
        // Those that start together don't ask together.
        let ask_at = now + settings.probe_interval * (chance.generate_range(0..1000u32) as f64 / 1000.0);
        Membership {
            own: own.address,
            incarnation: Incarnation::of_start(own.started_unix_ms),
            table: Table::new(own.address, settings),
            settings,
            listed,
            networks: networks.to_vec(),
            order: Vec::new(),
            probes: BTreeMap::new(),
            errands: BTreeMap::new(),
            number: chance.generate(),
            chance,
            rumours: BTreeMap::new(),
            ask_at,
            round: 0,
            tells: 0,
            fills: 0,
            tended: now,
            health: 0,
            heard_by: now,
            leaving: false,
            out: Vec::new(),
            changes: Vec::new(),
            counts: DatagramCounts::default(),
            double: false,
            load: Vec::new(),
            loads: Vec::new(),
        }
    }

    pub fn view(&self) -> View {
        // A fault of the proof: the dead keep their place in the order.
        let keeps = self.settings.faulty == Faulty::CountsDeadRouters;
        let counted = |(_, belief): &(&SocketAddr, &crate::table::Belief)| keeps || !belief.state.is_gone();
        let counted = || self.table.routers.iter().filter(counted).map(|(&who, _)| who);
        let digest = counted().chain([self.own]).fold(0, |sum, who| sum ^ hash(who, 0));
        let silent = |listed: &&Listed| !self.table.routers.contains_key(&listed.address);
        View {
            position: counted().filter(|&who| who < self.own).count(),
            count: counted().count() + 1,
            digest,
            suspected: self.table.alive().filter(|(_, belief)| belief.state == State::Suspect).count(),
            gone: self.table.gone().count() + self.listed.iter().filter(silent).count(),
        }
    }

    /// The other routers that are taken for alive, and how sure that is.
    pub fn peers(&self, now: Time) -> impl Iterator<Item = Peer> {
        self.table.alive().filter_map(move |(&who, _)| self.table.peer(now, who))
    }

    /// Whom words of other kinds are sent to: the living, and programs of before that were heard lately.
    pub fn gossip_targets(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let earlier = self.listed.iter().filter(move |listed| {
            now - listed.earlier < EARLIER && !self.table.routers.contains_key(&listed.address)
        });
        let alive = self.table.alive().map(|(&who, _)| who);
        alive.chain(earlier.map(|listed| listed.address))
    }

    /// May words of other kinds from there be listened to? Those of the listed and of the living; a listed one that has
    /// never spoken as these do is a program of before.
    pub fn may_gossip(&mut self, now: Time, from: SocketAddr) -> bool {
        let known = self.table.is_alive(from);
        let listed = self.listed.iter_mut().find(|listed| listed.address == from);
        if let Some(listed) = listed {
            listed.earlier = now;
            return true;
        }
        known
    }

    /// What has changed since it was asked last.
    pub fn take_changes(&mut self) -> Vec<(SocketAddr, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Datagrams to be sent.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn counts(&self) -> DatagramCounts {
        self.counts
    }

    /// What goes along with each question and answer from now on, where it has room.
    pub fn set_piggyback(&mut self, load: Vec<u8>) {
        self.load = load;
    }

    /// What came along from routers that are alive.
    pub fn take_piggybacked(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.loads)
    }

    /// How much this router doubts itself: 0 not at all, up to 8.
    pub fn local_health(&self) -> u32 {
        self.health
    }

    /// Has another process spoken as this one, told once?
    pub fn take_address_conflict(&mut self) -> bool {
        std::mem::take(&mut self.double)
    }

    /// When `tend` is due.
    pub fn wake_at(&self) -> Time {
        let probes = self.probes.values().map(|probe| match probe.helpers {
            0 => probe.help_at.min(probe.until),
            _ => probe.until,
        });
        let errands = self.errands.values().map(|errand| errand.say_by.min(errand.until));
        let suspicions = self.table.routers.values().filter_map(|b| Some(b.suspicion.as_ref()?.until));
        probes.chain(errands).chain(suspicions).chain([self.ask_at]).min().unwrap_or(self.ask_at)
    }

    /// A datagram came from there.
    pub fn on_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        let Some(message) = Message::read(bytes).filter(|message| self.is_fair(from, message)) else {
            self.counts.dropped += 1;
            return;
        };
        self.counts.received += 1;
        let differs = message.digest != self.table.digest(self.incarnation);
        if !differs {
            self.is_known();
        }
        let proven = message.kind == Kind::Ack
            && self.probes.get(&message.sequence).is_some_and(|probe| probe.who == from);
        if !proven && self.is_buried(from) {
            // What it said before it died may come late, even a contradiction that nobody has heard yet: it is asked.
            self.ask_back(now, from);
        } else {
            self.take(now, &message.own);
        }
        if !message.piggyback.is_empty() && self.table.is_alive(from) && self.loads.len() < LOADS {
            self.loads.push(message.piggyback.clone());
        }
        let about = message.updates.first().copied();
        let proxied = matches!(message.kind, Kind::PingRequest | Kind::IndirectAck | Kind::Nack);
        // What it says of itself stands in front.
        let others = message.updates.iter().skip(usize::from(proxied)).filter(|word| word.router != from);
        others.for_each(|word| self.take(now, word));
        if self.leaving {
            return;
        }
        match message.kind {
            Kind::Ping => {
                let answer = self.message(Kind::Ack, message.sequence, vec![], Some(from), differs);
                self.send(from, answer);
                if differs {
                    self.tell_all(from);
                }
            }
            Kind::Ack => self.answered(now, from, &message, differs),
            Kind::PingRequest => self.run_errand(now, from, message.sequence, about),
            Kind::IndirectAck => {
                self.is_heard(now);
                // The word of the one that was asked for, as its answer had it.
                let asked = self.probes.get(&message.sequence).map(|probe| probe.who);
                if let Some(word) = about.filter(|word| Some(word.router) == asked) {
                    self.probes.remove(&message.sequence);
                    self.take(now, &word);
                    self.healthier();
                }
            }
            Kind::Nack => {
                self.is_heard(now);
                if let Some(probe) = self.probes.get_mut(&message.sequence) {
                    probe.nothing = (probe.nothing + 1).min(probe.helpers);
                }
            }
            Kind::Gossip => {}
        }
    }

    /// Was it taken for dead? One that has left, or that never was, says so itself.
    fn is_buried(&self, who: SocketAddr) -> bool {
        self.table.routers.get(&who).is_some_and(|belief| belief.state == State::Dead)
            && self.settings.faulty != Faulty::IgnoresIncarnations
    }

    fn ask_back(&mut self, now: Time, who: SocketAddr) {
        if !self.leaving && !self.probes.values().any(|probe| probe.who == who) {
            self.ask(now, who, true);
        }
    }

    /// Guards against strangers, and against one router that speaks as another: only the listed, the living and those
    /// of the networks named speak, each for itself; a word that this router can't use is not listened to either.
    fn is_fair(&self, from: SocketAddr, message: &Message) -> bool {
        message.own.router == from && from != self.own && self.may_speak(from)
    }

    fn may_speak(&self, who: SocketAddr) -> bool {
        let within = |&(network, bits): &(std::net::IpAddr, u8)| is_within(who.ip(), network, bits);
        self.table.routers.contains_key(&who)
            || self.listed.iter().any(|listed| listed.address == who)
            || self.networks.iter().any(within)
    }

    /// A word on a router, maybe on this one.
    fn take(&mut self, now: Time, word: &StateUpdate) {
        if word.router == self.own {
            return self.contradict(now, word);
        }
        // One that nobody has listed is met by the word of a known one as by its own.
        let before = self.table.word(word.router);
        if let Some(change) = self.table.hear(now, word) {
            self.changed(now, word.router, change);
        } else if before.map(|word| (word.incarnation, word.state))
            != self.table.word(word.router).map(|word| (word.incarnation, word.state))
        {
            self.rumours.insert(word.router, 0);
        }
        // A death that is not believed yet: the one that it is said of is told at once, so that it can contradict.
        let known = self.table.word(word.router).is_some_and(|known| word.incarnation >= known.incarnation);
        if word.state.is_gone() && known && self.table.is_alive(word.router) {
            let words = vec![*word];
            self.tell(word.router, words);
        }
    }

    fn changed(&mut self, now: Time, who: SocketAddr, change: Change) {
        self.changes.push((who, change));
        self.rumours.insert(who, 0);
        while self.rumours.len() > RUMOURS {
            self.rumours.pop_first();
        }
        match change {
            Change::Joined | Change::Refuted => {
                // At a place drawn by chance: who comes last must not wait for all others.
                let place = self.chance.generate_range(0..=self.order.len());
                self.order.insert(place, who);
            }
            Change::Suspected | Change::Died | Change::Left => {}
        }
        // The one that it is about hears it too, where it can contradict.
        let doubted = matches!(change, Change::Suspected | Change::Died).then_some(who);
        self.pass_on(now, doubted, who);
    }

    /// News goes to some at once, without waiting for a question.
    fn pass_on(&mut self, now: Time, first: Option<SocketAddr>, about: SocketAddr) {
        let word = if about == self.own { Some(self.own_word()) } else { self.table.word(about) };
        let Some(word) = word else { return };
        for to in first.into_iter().chain(self.some(now, 2, about)) {
            self.tell(to, vec![word]);
        }
    }

    /// Says that it is there, where someone doubts it, and takes up a life after one that another was of this address.
    fn contradict(&mut self, now: Time, word: &StateUpdate) {
        if self.leaving || self.settings.faulty == Faulty::IgnoresIncarnations {
            return;
        }
        let later = word.incarnation > self.incarnation;
        if !later && (word.state == State::Alive || word.incarnation < self.incarnation) {
            return;
        }
        self.double |= later && word.incarnation.started_ms() > self.incarnation.started_ms();
        // What was said of a router before it at this address is no word on this one; its own next life is.
        self.incarnation = match later {
            true => word.incarnation.next_life(),
            false => word.incarnation.next(),
        };
        self.pass_on(now, None, self.own);
        if word.state != State::Alive && !later {
            // Others had no answer from it: it may be this one that is slow.
            self.health = (self.health + 1).min(WORST);
        }
    }

    fn healthier(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    fn answered(&mut self, now: Time, from: SocketAddr, message: &Message, differs: bool) {
        if let Some(errand) = self.errands.remove(&message.sequence) {
            self.is_heard(now);
            let words = vec![message.own];
            let answer = self.message(Kind::IndirectAck, errand.number, words, None, false);
            return self.send(errand.asker, answer);
        }
        let Some(probe) = self.probes.get(&message.sequence).filter(|probe| probe.who == from) else {
            return;
        };
        let back = probe.back;
        self.probes.remove(&message.sequence);
        self.is_heard(now);
        if !back {
            self.healthier();
        }
        if let Some(belief) = self.table.routers.get_mut(&from) {
            belief.answered = now;
        }
        if differs {
            self.tell_all(from);
        }
    }

    /// One of both knows something that the other does not: it gets what this one has, within a round's bound.
    fn tell_all(&mut self, to: SocketAddr) {
        let words = self.table.routers.len() * SHORTEST;
        let wanted = words
            .div_ceil(self.settings.max_datagram_bytes)
            .min(FILLS_AT_ONCE)
            .min(FILLS.saturating_sub(self.fills));
        self.fills += wanted;
        for _ in 0..wanted {
            let tell = self.message(Kind::Gossip, 0, vec![], Some(to), true);
            self.send(to, tell);
        }
    }

    /// Another router counts on the same ones: what is news of who is there has got round. Suspicions have not.
    fn is_known(&mut self) {
        let often = self.often();
        let table = &self.table;
        self.rumours.retain(|&who, told| {
            if table.word(who).is_some_and(|word| word.state != State::Suspect) {
                *told += KNOWN;
            }
            *told < often
        });
    }

    fn often(&mut self) -> u32 {
        (SPREAD * ((self.table.count() + 1) as f64).log2()).ceil() as u32
    }

    /// Another router shows that it hears this one. One that was cut off begins anew with those whom it suspects: they
    /// could not contradict.
    fn is_heard(&mut self, now: Time) {
        if now - self.heard_by > self.settings.isolated_after {
            self.table.suspect_anew(now);
        }
        self.heard_by = now;
    }

    fn run_errand(&mut self, now: Time, asker: SocketAddr, number: u32, about: Option<StateUpdate>) {
        let Some(about) = about.filter(|word| word.router != self.own && self.may_speak(word.router)) else {
            return;
        };
        if self.errands.len() >= ERRANDS {
            return;
        }
        let own = self.next_number();
        // The asker waits for the rest of its round; it hears before that end that this one is there.
        let say_by = now + (self.settings.probe_interval - self.settings.ack_timeout) * 0.5;
        let until = now + self.settings.probe_interval * 2.0;
        self.errands.insert(own, Errand { asker, number, say_by, until });
        let ask = self.message(Kind::Ping, own, vec![], Some(about.router), false);
        self.send(about.router, ask);
    }

    fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) {
        let gap = now - self.tended;
        self.tended = now;
        if self.leaving {
            return;
        }
        if gap > self.settings.probe_interval * STILL {
            // What it has not heard while it stalled proves nothing.
            self.probes.clear();
            self.errands.clear();
            self.table.extend(gap);
            self.health = (self.health + 1).min(WORST);
            self.heard_by = self.heard_by + gap;
            self.ask_at = now;
        }
        self.look_at_errands(now);
        self.look_at_probes(now);
        for who in self.table.expired(now) {
            self.expire(now, who);
        }
        if now >= self.ask_at {
            self.round += 1;
            (self.tells, self.fills) = (0, 0);
            self.ask_at = now + self.settings.probe_interval;
            self.table.forget(now);
            self.ask_next(now);
            self.ask_the_gone(now);
        }
    }

    fn look_at_errands(&mut self, now: Time) {
        let over: Vec<u32> =
            self.errands.iter().filter(|(_, e)| e.until <= now || e.say_by <= now).map(|(&n, _)| n).collect();
        for number in over {
            let Some(errand) = self.errands.get_mut(&number) else { continue };
            let (asker, asked) = (errand.asker, errand.number);
            if errand.until <= now {
                self.errands.remove(&number);
                continue;
            }
            errand.say_by = errand.until;
            let own = self.own_word();
            let nothing = self.message(Kind::Nack, asked, vec![own], None, false);
            self.send(asker, nothing);
        }
    }

    fn look_at_probes(&mut self, now: Time) {
        let late = |probe: &Probe| probe.until <= now || probe.helpers == 0 && probe.help_at <= now;
        let late: Vec<u32> =
            self.probes.iter().filter(|(_, probe)| late(probe)).map(|(&number, _)| number).collect();
        for number in late {
            let Some(probe) = self.probes.get(&number) else { continue };
            let (who, back, sent) = (probe.who, probe.back, probe.sent);
            if probe.until <= now {
                let missing = probe.helpers.saturating_sub(probe.nothing) as u32;
                let alone = probe.helpers == 0;
                self.probes.remove(&number);
                if back {
                    continue;
                }
                // Helpers that say nothing either show that it may be this one that is cut off.
                self.health = (self.health + if alone { 1 } else { missing }).min(WORST);
                self.doubt(now, who, sent);
                continue;
            }
            let helpers = if back { Vec::new() } else { self.some(now, self.settings.indirect_probes, who) };
            if let Some(probe) = self.probes.get_mut(&number) {
                probe.help_at = probe.until;
                probe.helpers = helpers.len();
            }
            let words: Vec<StateUpdate> = self.table.word(who).into_iter().collect();
            for helper in helpers {
                let ask = self.message(Kind::PingRequest, number, words.clone(), None, false);
                self.send(helper, ask);
            }
            // Where one is missing others may be too: they are asked without waiting for the round.
            if !back && self.probes.values().filter(|probe| !probe.back).count() < PROBES {
                self.ask_next(now);
            }
        }
    }

    /// No answer, directly or through others.
    fn doubt(&mut self, now: Time, who: SocketAddr, sent: Time) {
        let Some(word) = self.table.word(who) else { return };
        let later = self.table.routers.get(&who).is_some_and(|belief| belief.answered > sent);
        if word.state.is_gone() || later {
            return;
        }
        let accuser = mark(self.own);
        if word.state == State::Suspect {
            // Its own finding is one more; the others hear of it with this one's mark.
            self.table.accuse(who, accuser);
            let words = vec![StateUpdate { suspected_by: accuser, ..word }];
            for to in self.some(now, 2, who) {
                self.tell(to, words.clone());
            }
            return;
        }
        if let Some(change) = self.table.suspect(now, &StateUpdate { suspected_by: accuser, ..word }) {
            self.changed(now, who, change);
        }
    }

    fn expire(&mut self, now: Time, who: SocketAddr) {
        let Some(word) = self.table.word(who) else { return };
        let cut_off = now - self.heard_by > self.settings.isolated_after;
        let Some(change) = self.table.bury(now, who, word.incarnation, State::Dead) else { return };
        if cut_off {
            // Nobody shows that it hears this one: what it finds is told to nobody.
            if let Some(belief) = self.table.routers.get_mut(&who) {
                belief.unsure = true;
            }
            self.changes.push((who, change));
            return;
        }
        self.changed(now, who, change);
    }

    /// The next of the living, each once before any is asked again.
    fn ask_next(&mut self, now: Time) {
        loop {
            let Some(who) = self.order.pop() else {
                let mut order: Vec<SocketAddr> = self.table.alive().map(|(&who, _)| who).collect();
                self.chance.shuffle(&mut order);
                if order.is_empty() {
                    return;
                }
                self.order = order;
                continue;
            };
            let asked = |probe: &Probe| probe.who == who;
            if self.table.is_alive(who) && !self.probes.values().any(asked) {
                return self.ask(now, who, false);
            }
            if self.order.is_empty() {
                return;
            }
        }
    }

    /// One that is gone, or that is listed and has never spoken, is asked in every other round whether it is there; in
    /// each by a router that hears no other.
    fn ask_the_gone(&mut self, now: Time) {
        let alone = self.table.count() == 1;
        if !alone && !self.round.is_multiple_of(2) {
            return;
        }
        let mut gone: Vec<SocketAddr> = self
            .table
            .routers
            .iter()
            .filter(|(_, belief)| belief.state == State::Dead)
            .map(|(&who, _)| who)
            .collect();
        let quiet = |listed: &&Listed| !self.table.routers.contains_key(&listed.address);
        gone.extend(self.listed.iter().filter(quiet).map(|listed| listed.address));
        if gone.is_empty() {
            return;
        }
        for _ in 0..if alone { 3 } else { 1 } {
            let who = gone[self.chance.generate_range(0..gone.len())];
            self.ask_back(now, who);
        }
    }

    fn ask(&mut self, now: Time, who: SocketAddr, back: bool) {
        let number = self.next_number();
        let slow = f64::from(self.health + 1);
        let probe = Probe {
            who,
            sent: now,
            help_at: now + self.settings.ack_timeout * slow,
            until: now + self.settings.probe_interval * slow,
            helpers: 0,
            nothing: 0,
            back,
        };
        self.probes.insert(number, probe);
        let ask = self.message(Kind::Ping, number, vec![], Some(who), false);
        self.send(who, ask);
    }

    /// Some of the living, those that answered last first (by the second), without `but`: where many die at once, who
    /// has just answered is there to help.
    fn some(&mut self, now: Time, count: usize, but: SocketAddr) -> Vec<SocketAddr> {
        let alive = self.table.alive().filter(|(who, belief)| **who != but && belief.state == State::Alive);
        let mut drawn: Vec<(i64, u32, SocketAddr)> = Vec::new();
        for (&who, belief) in alive {
            let rounds = (now - belief.answered).nanos() / (self.settings.probe_interval.nanos().max(1) * 4);
            drawn.push((rounds.min(16), self.chance.generate(), who));
        }
        drawn.sort_unstable();
        drawn.into_iter().take(count).map(|(.., who)| who).collect()
    }

    fn own_word(&self) -> StateUpdate {
        let state = if self.leaving { State::Left } else { State::Alive };
        StateUpdate { router: self.own, state, incarnation: self.incarnation, suspected_by: 0 }
    }

    fn tell(&mut self, to: SocketAddr, words: Vec<StateUpdate>) {
        if self.tells < TELLS {
            self.tells += 1;
            let tell = self.message(Kind::Gossip, 0, words, None, false);
            self.send(to, tell);
        }
    }

    /// A message with what is news, most news first; to one whose view differs with all that there is room for. One that
    /// is doubted hears of it whenever it is spoken to.
    fn message(
        &mut self,
        kind: Kind,
        number: u32,
        mut words: Vec<StateUpdate>,
        to: Option<SocketAddr>,
        differs: bool,
    ) -> Message {
        let digest = self.table.digest(self.incarnation);
        let doubted = to.and_then(|to| self.table.word(to)).filter(|word| word.state != State::Alive);
        words.extend(doubted);
        let load = match kind {
            Kind::Ping | Kind::Ack => self.load.clone(),
            _ => Vec::new(),
        };
        let mut message =
            Message { kind, sequence: number, digest, own: self.own_word(), updates: words, piggyback: load };
        if message.length() > self.settings.max_datagram_bytes {
            message.piggyback.clear();
        }
        let mut room = self.settings.max_datagram_bytes.saturating_sub(message.length());
        let often = self.often();
        let mut news: Vec<(u32, SocketAddr)> = self.rumours.iter().map(|(&who, &told)| (told, who)).collect();
        // No more than these have room: the others need no order.
        let most = self.settings.max_datagram_bytes / SHORTEST + 1;
        if news.len() > most {
            news.select_nth_unstable(most);
            news.truncate(most);
        }
        news.sort_unstable();
        for (told, who) in news {
            if let Some(word) = self.table.word(who)
                && !message.updates.iter().any(|other| other.router == who)
            {
                if length_of(&word) > room {
                    break;
                }
                room -= length_of(&word);
                message.updates.push(word);
            }
            match told + 1 >= often {
                true => self.rumours.remove(&who),
                false => self.rumours.insert(who, told + 1),
            };
        }
        if differs && !self.table.routers.is_empty() {
            self.fill(&mut message, room);
        }
        message
    }

    /// What it believes of all, from one drawn by chance on. Graves that it dug while it was cut off are its own.
    fn fill(&mut self, message: &mut Message, mut room: usize) {
        let count = self.table.routers.len();
        let first = self.chance.generate_range(0..count);
        let sure = self.table.routers.iter().filter(|(_, belief)| !belief.unsure).map(|(&who, _)| who);
        let sure: Vec<SocketAddr> = sure.collect();
        let first = first.min(sure.len());
        for &who in sure[first..].iter().chain(&sure[..first]) {
            let Some(word) = self.table.word(who) else { continue };
            if length_of(&word) > room {
                return;
            }
            if !message.updates.iter().any(|other| other.router == who) {
                room -= length_of(&word);
                message.updates.push(word);
            }
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        let bytes = message.write();
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        self.out.push((to, bytes));
    }

    /// It ends: says so to some, who tell the others. From here on it asks and answers nothing.
    pub fn leave(&mut self, now: Time) {
        self.leaving = true;
        self.probes.clear();
        self.errands.clear();
        for to in self.some(now, TELLS, self.own) {
            let tell = self.message(Kind::Gossip, 0, vec![], None, false);
            self.send(to, tell);
        }
    }
}

fn is_within(ip: std::net::IpAddr, network: std::net::IpAddr, bits: u8) -> bool {
    let number = |ip: std::net::IpAddr| match ip {
        std::net::IpAddr::V4(ip) => (u128::from(u32::from(ip)) << 96, 32),
        std::net::IpAddr::V6(ip) => (u128::from(ip), 128),
    };
    let ((one, length), (two, other)) = (number(ip), number(network));
    let bits = bits.min(length);
    length == other && (bits == 0 || (one ^ two) >> (128 - u32::from(bits)) == 0)
}

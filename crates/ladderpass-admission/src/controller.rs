//! One floor and one room from what all routers tell.
//!
//! It owns these invariants: a word counts for as long as it is fresh and its router is alive; no word counts for more
//! than a bound; what this router may have in flight at a member grows by steps, and never past its part of what all
//! may; a router that hears nobody keeps its last part. It must never decide about an RPC.

use crate::report::{self, GroupReport, MemberReport};
use ladderpass_routing::{MemberId, MemberLoad, Span, Time};
use std::collections::{BTreeMap, HashSet};

/// How often it reckons, and tells its own.
const EVERY: Span = Span::from_millis(250);
/// A word counts fully while it is younger than the first, not at all past the second.
const FRESH: Span = Span::from_millis(1500);
const STALE: Span = Span::from_millis(4000);
/// One router's word counts for no more than so many times what is usual.
const BOUND: f64 = 3.0;
/// In flight at a member, all together: the start, the least, the most.
const ROOM_START: f64 = 2.0;
const ROOM_LEAST: f64 = 1.0;
const ROOM_MOST: f64 = 4096.0;
/// Answers may be so many times as long as usual before a room shrinks: a member with nothing waiting is not full.
const SLOW: f64 = 1.3;
/// A refusal says as much as an answer that takes so many times longer still: a member with a short queue never answers slowly.
const REFUSED: f64 = 10.0;
/// A room grows while this many times what is in flight fills it: one that stands open would be filled at once by a jam.
const USED: f64 = 1.25;
/// A step of a room goes this part of the way.
const ROOM_STEP: f64 = 0.3;
/// This router's part may grow by this much a step.
const PART_GROWTH: f64 = 1.3;
/// What is let in: of what is served when a floor is first needed; by a step while some of it finds no room, or much.
const FIRST_OVER: f64 = 1.4;
/// Over so many steps the first becomes no more than what is served: counts and words of a load that has just come are too low.
const FIRST_STEPS: f64 = 8.0;
/// A load that has grown by more since the last step is not known yet: no floor begins on it.
const GROWN: f64 = 1.25;
const FADES: f64 = 0.985;
const FALL: f64 = 0.985;
const FALL_FAR: f64 = 0.97;
const FAR_OVER: f64 = 0.15;
/// After so many steps in which all was served: more by this part, doubled each time, up to the last.
const PATIENCE: u32 = 2;
const RISE: f64 = 0.01;
const RISE_MOST: f64 = 0.05;
/// This part of what is let in may find no room before the floor rises.
const UNSENT: f64 = 0.06;
/// Heard of so many others, or of half of them, a router knows what its part is.
const ENOUGH: f64 = 8.0;
/// Words of other routers that are kept.
const WORDS: usize = 4096;
/// Sessions share a fate for so long.
const EPOCH: Span = Span::from_millis(10_000);
const RANKS: usize = 256;
/// Members that one word tells of.
const TOLD: usize = 8;
/// An account of a member with nothing in flight still says a little of its answers.
const LITTLE: f64 = 0.05;
/// How far a step goes to what most others believe.
const TOGETHER: f64 = 0.2;
/// How much of an account of a member is of now.
const NOW: f64 = 0.4;

/// Deliberate faults, for the proof that tells them apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    #[default]
    Nowhere,
    IgnoresThreshold,
    ReportsTenfold,
    KeepsReportsOfDeadRouters,
}

/// What the core is told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberLimits {
    /// In flight that this router may have at a member.
    pub in_flight: Vec<(MemberId, f64)>,
}

/// What the log shows of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupMetrics {
    pub group: u32,
    /// Below which all refuse; the fraction is the part of that rank.
    pub threshold: f64,
    pub offered: f64,
    pub admitted: f64,
    pub served: f64,
    pub unplaced: f64,
    /// Words that count, and those of them that were cut to the bound.
    pub reports: usize,
    pub clamped_reports: usize,
    /// What all may have in flight at its members together.
    pub capacity: f64,
    pub quota: f64,
}

/// Counts of the last second, in steps.
#[derive(Clone, Debug, Default)]
struct Counted {
    asked: BTreeMap<u8, f64>,
    served: f64,
    unsent: f64,
}

#[derive(Clone, Debug)]
struct Group {
    now: Counted,
    last: Counted,
    admits: f64,
    /// Steps since something that was let in found no room.
    calm: u32,
    /// Steps since the floor began.
    bound_for: u32,
    /// What this router itself was asked a step ago.
    own: f64,
    /// The most that was served of late.
    peak: f64,
    floor: f64,
    pressure: f64,
    /// By mark of a member: this router's own account of it, and what all may have in flight there.
    members: BTreeMap<u16, MemberReport>,
    part: f64,
    again: [f64; 4],
    figures: GroupMetrics,
}

impl Group {
    fn new() -> Group {
        Group {
            now: Counted::default(),
            last: Counted::default(),
            admits: 0.0,
            calm: 0,
            bound_for: 0,
            own: 0.0,
            peak: 0.0,
            floor: 0.0,
            pressure: 0.0,
            members: BTreeMap::new(),
            part: 1.0,
            again: [0.0; 4],
            figures: GroupMetrics::default(),
        }
    }
}

pub struct AdmissionController {
    own: u32,
    number: u16,
    groups: BTreeMap<u32, Group>,
    /// By router and group: when it was said.
    words: BTreeMap<(u32, u32), (GroupReport, Time)>,
    /// Alive, by their numbers.
    alive: HashSet<u32>,
    reckon_at: Time,
    /// Where the next bundle of words goes on.
    turn: usize,
    faulty: Faulty,
}

/// A number from 0 to 1 that all routers draw alike for a session, and anew for each epoch.
pub fn admission_draw(session: &[u8], now: Time) -> f64 {
    let epoch = (now.nanos() / EPOCH.nanos()) as u64;
    let fold = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    let mut z = session.iter().fold(0xcbf2_9ce4_8422_2325 ^ epoch.rotate_left(32), fold);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z >> 11) as f64 / (1u64 << 53) as f64
}

impl AdmissionController {
    /// `own`: the number by which all know this router.
    pub fn start(now: Time, own: u32, faulty: Faulty) -> AdmissionController {
        AdmissionController {
            own,
            number: 0,
            groups: BTreeMap::new(),
            words: BTreeMap::new(),
            alive: HashSet::new(),
            reckon_at: now + EVERY,
            turn: 0,
            faulty,
        }
    }

    /// Before it has heard of anyone a router takes the part of one among equals.
    fn group(&mut self, group: u32) -> &mut Group {
        let part = 1.0 / (self.alive.len() as f64 + 1.0);
        self.groups.entry(group).or_insert_with(|| Group { part, ..Group::new() })
    }

    /// Others that are alive.
    pub fn set_alive(&mut self, others: impl Iterator<Item = u32>) {
        self.alive = others.collect();
        if self.faulty != Faulty::KeepsReportsOfDeadRouters {
            let alive = &self.alive;
            self.words.retain(|(who, _), _| alive.contains(who));
        }
    }

    /// An RPC of a rank came.
    pub fn record_offered(&mut self, group: u32, rank: u32) {
        let rank = rank.min(RANKS as u32 - 1) as u8;
        *self.group(group).now.asked.entry(rank).or_default() += 1.0;
    }

    pub fn record_served(&mut self, group: u32) {
        self.group(group).now.served += 1.0;
    }

    /// One that was let in could be sent nowhere.
    pub fn record_unplaced(&mut self, group: u32) {
        self.group(group).now.unsent += 1.0;
    }

    /// What it tells of its call-outs, first and further: reckoned elsewhere, it goes along with its words.
    pub fn set_retry_rates(&mut self, group: u32, again: [f64; 4]) {
        self.group(group).again = again;
    }

    /// What others told of theirs, and what each word counts for.
    pub fn peer_retry_rates(&self, now: Time, group: u32) -> impl Iterator<Item = ([f64; 4], f64)> {
        self.counting(now, group).map(|(word, weight)| (word.retry_rates, weight))
    }

    /// Others that are alive.
    pub fn alive_peers(&self) -> usize {
        self.alive.len()
    }

    /// Below which all refuse, and how hard it presses, from 0 to 1.
    pub fn threshold(&self, group: u32) -> (f64, f64) {
        if self.faulty == Faulty::IgnoresThreshold {
            return (0.0, 0.0);
        }
        self.groups.get(&group).map_or((0.0, 0.0), |group| (group.floor, group.pressure))
    }

    pub fn wake_at(&self) -> Time {
        self.reckon_at
    }

    /// Words that came from another router.
    pub fn on_reports(&mut self, now: Time, bytes: &[u8]) {
        for word in report::read(bytes) {
            let known = self.alive.contains(&word.router) || self.faulty == Faulty::KeepsReportsOfDeadRouters;
            if word.router == self.own || !known || word.age >= STALE {
                continue;
            }
            let key = (word.router, word.group);
            let newer = |old: &GroupReport| word.sequence.wrapping_sub(old.sequence) as i16 > 0;
            let at = now - word.age;
            match self.words.get(&key) {
                // A router that has started anew counts from zero: an old word gives way by its age.
                Some((old, said)) if !newer(old) && at - *said < STALE => {}
                None if self.words.len() >= WORDS => {}
                _ => {
                    self.words.insert(key, (word, at));
                }
            }
        }
    }

    /// What to tell: its own words first, then others' in turn, as there is room for.
    pub fn encode_reports(&mut self, now: Time, most: usize) -> Vec<u8> {
        let mut bytes = vec![report::REPORT_VERSION];
        let groups: Vec<u32> = self.groups.keys().copied().collect();
        for nth in 0..groups.len().min(4) {
            let group = groups[(self.turn + nth) % groups.len()];
            let word = self.own_word(group);
            report::write(&word, &mut bytes, most);
        }
        let keys: Vec<(u32, u32)> = self.words.keys().copied().collect();
        for nth in 0..keys.len() {
            let Some((word, at)) = self.words.get(&keys[(self.turn + nth) % keys.len()]) else { continue };
            let age = now - *at;
            if age < FRESH && !report::write(&GroupReport { age, ..word.clone() }, &mut bytes, most) {
                break;
            }
        }
        self.turn = self.turn.wrapping_add(3);
        bytes
    }

    fn own_word(&self, key: u32) -> GroupReport {
        let Some(group) = self.groups.get(&key) else { return GroupReport::default() };
        let times = if self.faulty == Faulty::ReportsTenfold { 10.0 } else { 1.0 };
        let asked = group.last.asked.iter().rev().map(|(&rank, &rate)| (rank, rate * times));
        // Of many members some in turn.
        let count = group.members.len();
        let first = if count > TOLD { usize::from(self.number) * TOLD % count } else { 0 };
        let members = group.members.values().cycle().skip(first).take(count.min(TOLD)).copied().collect();
        GroupReport {
            router: self.own,
            sequence: self.number,
            age: Span::ZERO,
            group: key,
            offered: asked.collect(),
            served: group.last.served,
            unplaced: group.last.unsent,
            admitted: group.admits,
            retry_rates: group.again,
            members,
        }
    }

    /// Reckons anew, where it is time.
    pub fn tick(&mut self, now: Time, seen: &[MemberLoad]) -> Option<MemberLimits> {
        if now < self.reckon_at {
            return None;
        }
        let gap = (now - self.reckon_at + EVERY).secs();
        self.reckon_at = now + EVERY;
        self.number = self.number.wrapping_add(1);
        if self.faulty != Faulty::KeepsReportsOfDeadRouters {
            self.words.retain(|_, (_, at)| now - *at < STALE);
        }
        for group in self.groups.values_mut() {
            let counted = std::mem::take(&mut group.now);
            group.last.blend(&counted, gap);
        }
        let mut facts = MemberLimits::default();
        let keys: Vec<u32> = self.groups.keys().copied().collect();
        for key in keys {
            self.reckon(now, key, seen, &mut facts);
        }
        Some(facts)
    }

    /// What a word counts for by its age.
    fn weight(&self, now: Time, at: Time) -> f64 {
        if self.faulty == Faulty::KeepsReportsOfDeadRouters {
            return 1.0;
        }
        let age = now - at;
        (1.0 - (age - FRESH).secs() / (STALE - FRESH).secs()).clamp(0.0, 1.0)
    }

    /// The words of a group that still count, and what for.
    fn counting(&self, now: Time, group: u32) -> impl Iterator<Item = (&GroupReport, f64)> {
        let words = self.words.values().filter(move |(word, _)| word.group == group);
        words.map(move |(word, at)| (word, self.weight(now, *at))).filter(|(_, weight)| *weight > 0.0)
    }

    fn reckon(&mut self, now: Time, key: u32, seen: &[MemberLoad], facts: &mut MemberLimits) {
        let words: Vec<(&GroupReport, f64)> = self.counting(now, key).collect();
        let Some(group) = self.groups.get(&key) else { return };
        let mut group = group.clone();
        let own: f64 = group.last.asked.values().sum();
        // What is usual: the middle one, or this router's own, which it knows to be true.
        let total = |word: &GroupReport| word.offered.iter().map(|(_, rate)| rate).sum::<f64>();
        let mut totals: Vec<f64> = words.iter().map(|(word, _)| total(word)).chain([own]).collect();
        let usual = median(&mut totals).max(own);
        let mut asked: BTreeMap<u8, f64> = group.last.asked.clone();
        let (mut served, mut unsent, mut bounded) = (group.last.served, group.last.unsent, 0);
        let mut admits = vec![group.admits];
        for (word, weight) in &words {
            let told = total(word);
            let most = usual * BOUND;
            let cut = if told > most { most / told } else { 1.0 };
            bounded += usize::from(cut < 1.0);
            for (rank, rate) in &word.offered {
                *asked.entry(*rank).or_default() += rate * weight * cut;
            }
            served += word.served.min(told * cut) * weight;
            unsent += word.unplaced.min(told * cut) * weight;
            admits.push(word.admitted);
        }
        // Where only some of many could be heard of lately, they stand for all.
        let heard = words.iter().map(|(_, weight)| weight).sum::<f64>();
        let others = (self.alive.len() as f64).max(heard);
        let scale = if heard > 0.0 { (others + 1.0) / (heard + 1.0) } else { 1.0 };
        let total_asked = asked.values().sum::<f64>() * scale;
        (served, unsent) = (served * scale, unsent * scale);
        // What others believe is some steps old: it holds all together, and this router's own goes on.
        let told = group.admits + (median(&mut admits) - group.admits) * TOGETHER;
        self.admit(&mut group, told, total_asked, served, unsent);
        fill(&mut group, &asked, scale, total_asked);
        // Each router's part of what all may have in flight goes by what it is asked.
        let part = if total_asked > 0.0 { (own / total_asked).min(1.0) } else { 1.0 / (others + 1.0) };
        // One that hears too few keeps the part that it had.
        if heard >= (others * 0.5).min(ENOUGH) {
            let most = (group.part * PART_GROWTH).max(0.02);
            group.part = (group.part + (part - group.part) * NOW).min(most);
        }
        let mut room = 0.0;
        let mut members = BTreeMap::new();
        for seen in seen.iter().filter(|seen| seen.group == key) {
            let mark = seen.id_hash as u16;
            let fresh = MemberReport {
                id_hash: mark,
                in_flight: seen.in_flight,
                latency_ratio: seen.latency_ratio,
                capacity: ROOM_START,
            };
            let mut own = group.members.get(&mark).copied().unwrap_or(fresh);
            own.in_flight += (seen.in_flight - own.in_flight) * NOW;
            own.latency_ratio +=
                (seen.latency_ratio * (1.0 + REFUSED * seen.failure_share) - own.latency_ratio) * NOW;
            // What all have there, how slowly it answers those who use it, and what most believe of its room.
            let (mut in_flight, mut slow) = (own.in_flight, own.latency_ratio * (own.in_flight + LITTLE));
            let mut rooms = vec![own.capacity];
            for (word, weight) in &words {
                let Some(told) = word.members.iter().find(|told| told.id_hash == mark) else { continue };
                in_flight += told.in_flight * weight;
                slow += told.latency_ratio * (told.in_flight + LITTLE) * weight;
                rooms.push(told.capacity);
            }
            let stretch = slow / (in_flight + LITTLE * rooms.len() as f64);
            let before = (own.capacity + (median(&mut rooms) - own.capacity) * TOGETHER).max(ROOM_LEAST);
            // Shortest answer time over the present one, and a little more to find out whether there is room.
            let wanted = before * (SLOW / stretch.max(SLOW)) + before.sqrt();
            let used = in_flight * scale * USED >= before;
            let step = if wanted < before || used { (wanted - before) * ROOM_STEP } else { 0.0 };
            own.capacity = (before + step).clamp(ROOM_LEAST, ROOM_MOST);
            room += own.capacity;
            let share = own.capacity * group.part;
            facts.in_flight.push((seen.member, share + share.sqrt()));
            members.insert(mark, own);
        }
        group.members = members;
        group.figures = GroupMetrics {
            group: key,
            threshold: group.floor,
            offered: total_asked,
            admitted: group.admits,
            served,
            unplaced: unsent,
            reports: words.len(),
            clamped_reports: bounded,
            capacity: room,
            quota: group.part,
        };
        self.groups.insert(key, group);
    }

    /// What the group is given: a little more than it was seen to serve while it was full. What finds no room is told half a
    /// client's time late, so that a quick hand would swing: down by small steps while it is told, up only once it has not
    /// been told for a while, and then ever faster.
    fn admit(&self, group: &mut Group, told: f64, asked: f64, served: f64, unsent: f64) {
        let bound = group.floor > 0.0;
        let before = if bound { told } else { asked * 1.2 + 1.0 };
        let over = unsent > UNSENT * before.min(asked).max(1.0);
        group.calm = if over { 0 } else { group.calm.saturating_add(1) };
        group.peak = served.max(group.peak * FADES);
        let own: f64 = group.last.asked.values().sum();
        let known = own <= std::mem::replace(&mut group.own, own) * GROWN;
        group.bound_for = if bound { group.bound_for.saturating_add(1) } else { 0 };
        let first = (1.0 - f64::from(group.bound_for) / FIRST_STEPS).max(0.0) * (FIRST_OVER - 1.0);
        let wanted = match (over, bound) {
            (true, false) if known => group.peak * FIRST_OVER,
            (true, false) => before,
            (true, true) => {
                let far = unsent > FAR_OVER * before;
                (group.peak * (1.0 + first)).max(before * if far { FALL_FAR } else { FALL })
            }
            (false, true) if group.calm <= PATIENCE => before,
            (false, _) => {
                let steps = group.calm.saturating_sub(PATIENCE).min(8);
                before * (1.0 + (RISE * f64::from(1u32 << steps)).min(RISE_MOST)) + 0.5
            }
        };
        // Nothing is gained by a floor that nobody stands under.
        group.admits = wanted.min(asked * 1.2 + 1.0);
    }

    pub fn metrics(&self) -> impl Iterator<Item = GroupMetrics> {
        self.groups.values().map(|group| group.figures)
    }
}

/// The ranks that fit into what is let in, from the highest on.
fn fill(group: &mut Group, asked: &BTreeMap<u8, f64>, scale: f64, total: f64) {
    let mut left = group.admits;
    group.floor = 0.0;
    for (&rank, &rate) in asked.iter().rev() {
        let rate = rate * scale;
        if rate > left {
            group.floor = f64::from(rank) + (1.0 - left.max(0.0) / rate.max(1e-9)).clamp(0.0, 1.0);
            break;
        }
        left -= rate;
    }
    group.pressure =
        if group.floor > 0.0 { (1.0 - group.admits / total.max(1e-9)).clamp(0.0, 1.0) } else { 0.0 };
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

impl Counted {
    /// Rates a second, over about a second.
    fn blend(&mut self, counted: &Counted, secs: f64) {
        let part = (secs * 2.4).clamp(0.0, 0.8);
        let mix = |old: f64, count: f64| old + (count / secs.max(1e-3) - old) * part;
        for rank in counted.asked.keys() {
            self.asked.entry(*rank).or_default();
        }
        for (rank, rate) in &mut self.asked {
            *rate = mix(*rate, counted.asked.get(rank).copied().unwrap_or(0.0));
        }
        self.asked.retain(|_, rate| *rate > 0.005);
        self.served = mix(self.served, counted.served);
        self.unsent = mix(self.unsent, counted.unsent);
    }
}

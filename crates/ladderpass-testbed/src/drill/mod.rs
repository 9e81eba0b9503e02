//! A drill: several routers as processes before an emulated fleet, with faults between all of them and deeds on them at
//! set times.
//!
//! It owns the form of a drill's file and its checks: a fault is one line with the key. `play` carries it out, `report`
//! shows what came of it. It must never hold what has happened.

pub mod play;
pub mod report;

use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::{DatagramRule, Rule};
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drill {
    /// Named r0, r1, ...
    pub routers: usize,
    /// They tell each other who is alive and what they hear.
    pub peers: bool,
    /// Seconds and RPCs a second, one phase after the other.
    pub phases: Vec<(f64, f64)>,
    pub clients: usize,
    /// So many times the connections of the last router has the first; those between in equal steps of a factor.
    pub uneven: f64,
    /// Part of the clients that go to another router again and again, and how long they stay.
    pub roaming: f64,
    pub stays_s: f64,
    /// How long the front deals clients to a router that is gone.
    pub notices_ms: u64,
    pub deadline_ms: u32,
    pub repeats: u32,
    /// An answer may come so much after its client's time, for what clients and tool take themselves.
    pub grace_ms: u32,
    /// How long the routers have to find each other before the load.
    pub settles_s: f64,
    /// How long they rest after that.
    pub rests_s: f64,
    /// RPCs a second that a member which starts cold bears once it is warm.
    pub bears: f64,
    pub scenario: Scenario,
    /// Text of the operator's file beside `peers`.
    pub operator: String,
    pub log: String,
    /// Switches of routers built to be faulty, by name.
    pub faulty: BTreeMap<String, String>,
    /// Routers whose wall clocks are so many milliseconds off, by name.
    pub clocks: BTreeMap<String, i32>,
    /// Routers of the earlier program.
    pub earlier: Vec<String>,
    /// Routers without an operator's file: they tell each other nothing.
    pub quiet: Vec<String>,
    /// RPCs a second of clients that go straight to the members and keep no limit.
    pub greedy: f64,
    pub deeds: Vec<Deed>,
}

impl Default for Drill {
    fn default() -> Drill {
        Drill {
            routers: 4,
            peers: true,
            phases: vec![(5.0, 200.0)],
            clients: 80,
            uneven: 4.0,
            roaming: 0.3,
            stays_s: 2.0,
            notices_ms: 700,
            deadline_ms: 1000,
            repeats: 0,
            grace_ms: 150,
            settles_s: 6.0,
            rests_s: 0.0,
            bears: 1000.0,
            scenario: Scenario::default(),
            operator: String::new(),
            log: "info".into(),
            faulty: BTreeMap::new(),
            clocks: BTreeMap::new(),
            earlier: Vec::new(),
            quiet: Vec::new(),
            greedy: 0.0,
            deeds: Vec::new(),
        }
    }
}

/// Something that is done at a time; one thing each.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deed {
    /// Seconds from the start of the load.
    pub at: f64,
    /// For so many seconds, where it ends: `freeze`, `split`, `cut`, `mute`, `hog`, `datagrams`.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// SIGKILL, SIGSTOP and SIGCONT, SIGTERM, SIGHUP.
    pub kill: Vec<String>,
    pub freeze: Vec<String>,
    pub term: Vec<String>,
    pub hup: Vec<String>,
    /// Starts again what has ended, at its old addresses, with its wall clock so far off.
    pub start: Vec<String>,
    pub clock_ms: i32,
    /// So many threads that burn CPU.
    pub hog: usize,
    /// Sides between which nothing passes; who stands on none reaches all. Routers, `member-N`, `discovery`.
    pub split: Vec<Vec<String>>,
    /// Pairs between which nothing passes: two routers, a router and a member or discovery, `front` and a router.
    pub cut: Vec<(String, String)>,
    /// Routers whose datagrams nobody hears.
    pub mute: Vec<String>,
    pub datagrams: Option<DatagramRule>,
    /// A rule of the fault tool on the links of routers: `r0>member-1`, `r0>discovery`.
    pub rule: Option<Rule>,
    /// All routers are told that a member wants nothing new.
    pub drain: Option<u32>,
    /// A member ends, or starts again.
    pub ends: Option<u32>,
    pub begins: Option<u32>,
    /// A line as it is for the watch of a router.
    pub line: Option<(String, String)>,
}

/// What a deed is called in tables.
impl Deed {
    pub fn name(&self) -> String {
        let mut parts = Vec::new();
        for (name, list) in [
            ("kill", &self.kill),
            ("freeze", &self.freeze),
            ("term", &self.term),
            ("hup", &self.hup),
            ("start", &self.start),
            ("mute", &self.mute),
        ] {
            if !list.is_empty() {
                parts.push(format!("{name} {}", list.join(" ")));
            }
        }
        if self.hog > 0 {
            parts.push(format!("hog {}", self.hog));
        }
        if !self.split.is_empty() {
            let sides: Vec<String> = self.split.iter().map(|side| side.join(" ")).collect();
            parts.push(format!("split {}", sides.join(" | ")));
        }
        for (one, other) in &self.cut {
            parts.push(format!("cut {one} {other}"));
        }
        parts.extend(self.datagrams.as_ref().map(|rule| format!("datagrams {}", rule.name)));
        parts.extend(self.rule.as_ref().map(|rule| format!("rule {}", rule.name)));
        parts.extend(self.drain.map(|member| format!("drain member-{member}")));
        parts.extend(self.ends.map(|member| format!("end member-{member}")));
        parts.extend(self.begins.map(|member| format!("start member-{member}")));
        parts.extend(self.line.as_ref().map(|(router, _)| format!("line to {router}")));
        parts.join(", ")
    }

    /// Does it end by itself?
    fn may_last(&self) -> bool {
        !self.freeze.is_empty()
            || !self.split.is_empty()
            || !self.cut.is_empty()
            || !self.mute.is_empty()
            || self.hog > 0
            || self.datagrams.is_some()
    }
}

impl Drill {
    /// Reads and checks; the fault is one line.
    pub fn read(text: &str) -> Result<Drill, String> {
        let one_line = |fault: String| fault.split_whitespace().collect::<Vec<_>>().join(" ");
        let value: serde_json::Value =
            serde_saphyr::from_str(text).map_err(|fault| one_line(fault.to_string()))?;
        let value = if value.is_null() { serde_json::json!({}) } else { value };
        let drill: Drill = serde_path_to_error::deserialize(value)
            .map_err(|fault| one_line(format!("{}: {}", fault.path(), fault.inner())))?;
        drill.check()?;
        Ok(drill)
    }

    pub fn check(&self) -> Result<(), String> {
        if !(2..=40).contains(&self.routers) {
            return Err(format!("routers: {}; allowed are 2 to 40", self.routers));
        }
        if !(1..=5000).contains(&self.clients) {
            return Err(format!("clients: {}; allowed are 1 to 5000", self.clients));
        }
        for (key, value, from, to) in [
            ("uneven", self.uneven, 1.0, 1000.0),
            ("roaming", self.roaming, 0.0, 1.0),
            ("stays_s", self.stays_s, 0.05, 3600.0),
            ("settles_s", self.settles_s, 0.0, 60.0),
            ("rests_s", self.rests_s, 0.0, 60.0),
            ("bears", self.bears, 1.0, 1e6),
            ("greedy", self.greedy, 0.0, 1e5),
        ] {
            if !(from..=to).contains(&value) {
                return Err(format!("{key}: {value}; allowed are {from} to {to}"));
            }
        }
        let phase =
            |&(secs, rate): &(f64, f64)| (0.0..=3600.0).contains(&secs) && (0.0..=20_000.0).contains(&rate);
        if self.phases.is_empty() || !self.phases.iter().all(phase) {
            return Err("phases: allowed are pairs of up to 3600 seconds and 20000 RPCs a second".into());
        }
        self.scenario.check().map_err(|fault| format!("scenario.{fault}"))?;
        let routers = self.faulty.keys().chain(self.clocks.keys()).chain(&self.earlier).chain(&self.quiet);
        for name in routers {
            self.router(name).ok_or_else(|| {
                format!("faulty, clocks, earlier, quiet: {name:?}; allowed are r0, r1, ...")
            })?;
        }
        for (nth, deed) in self.deeds.iter().enumerate() {
            self.check_deed(deed).map_err(|fault| format!("deeds[{nth}].{fault}"))?;
        }
        Ok(())
    }

    fn check_deed(&self, deed: &Deed) -> Result<(), String> {
        let name = deed.name();
        if name.is_empty() || name.contains(", ") && deed.cut.len() < 2 {
            return Err(format!("at {}: {name:?}; allowed is one thing to do", deed.at));
        }
        let secs = self.secs();
        if !(0.0..=secs).contains(&deed.at) || !(0.0..=secs).contains(&deed.lasts) {
            return Err(format!("at, for: {} and {}; allowed are 0 to {secs}", deed.at, deed.lasts));
        }
        if deed.lasts > 0.0 && !deed.may_last() {
            return Err(format!("for: {name} has no end"));
        }
        let routers = [&deed.kill, &deed.freeze, &deed.term, &deed.hup, &deed.start, &deed.mute];
        for name in routers.into_iter().flatten() {
            self.router(name).ok_or_else(|| format!("{name:?}; allowed are r0 to r{}", self.routers - 1))?;
        }
        let sides = deed.split.iter().flatten();
        let pairs = deed.cut.iter().flat_map(|(one, other)| [one, other]);
        for name in sides.chain(pairs) {
            if self.place(name).is_none() {
                return Err(format!("{name:?}; allowed are r0, member-0, discovery, front"));
            }
        }
        let members = [deed.drain, deed.ends, deed.begins];
        match members.into_iter().flatten().find(|&member| member as usize >= self.scenario.member_count()) {
            Some(member) => Err(format!("member {member}; there are {}", self.scenario.member_count())),
            None => Ok(()),
        }
    }

    pub fn secs(&self) -> f64 {
        self.phases.iter().map(|(secs, _)| secs).sum()
    }

    /// Which router a name is.
    pub fn router(&self, name: &str) -> Option<usize> {
        let number = name.strip_prefix('r')?.parse().ok()?;
        (number < self.routers && name == format!("r{number}")).then_some(number)
    }

    fn place(&self, name: &str) -> Option<Place> {
        if let Some(router) = self.router(name) {
            return Some(Place::Router(router));
        }
        match name {
            "discovery" => return Some(Place::Discovery),
            "front" => return Some(Place::Front),
            _ => {}
        }
        let member: usize = name.strip_prefix("member-")?.parse().ok()?;
        (member < self.scenario.member_count()).then_some(Place::Member(member))
    }

    /// The links of routers and clients between two places, by name; and whether routers are among them that talk to
    /// each other.
    pub fn link(&self, one: &str, other: &str) -> Option<String> {
        match (self.place(one)?, self.place(other)?) {
            (Place::Router(router), Place::Member(member))
            | (Place::Member(member), Place::Router(router)) => Some(format!("r{router}>member-{member}")),
            (Place::Router(router), Place::Discovery) | (Place::Discovery, Place::Router(router)) => {
                Some(format!("r{router}>discovery"))
            }
            (Place::Router(router), Place::Front) | (Place::Front, Place::Router(router)) => {
                Some(format!("front>r{router}"))
            }
            _ => None,
        }
    }

    /// The links that a split cuts.
    pub fn split_links(&self, sides: &[Vec<String>]) -> Vec<String> {
        let mut links = Vec::new();
        for (nth, side) in sides.iter().enumerate() {
            for other in sides.iter().skip(nth + 1) {
                let pairs = side.iter().flat_map(|one| other.iter().map(move |two| (one, two)));
                links.extend(pairs.filter_map(|(one, two)| self.link(one, two)));
            }
        }
        links
    }

    /// Parts of the clients by router.
    pub fn weights(&self) -> Vec<f64> {
        let step = self.uneven.powf(1.0 / (self.routers.max(2) - 1) as f64);
        (0..self.routers).map(|nth| step.powi(-(nth as i32))).collect()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Place {
    Router(usize),
    Member(usize),
    Discovery,
    Front,
}

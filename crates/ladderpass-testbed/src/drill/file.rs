//! A drill's file: its keys with their defaults, and the checks that name the key of an error.

use super::event::FaultEvent;
use ladderpass_emulator::Scenario;
use serde::Deserialize;
use std::collections::BTreeMap;

/// A drill, as its file gives it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drill {
    /// How many routers, named r0, r1, ...
    pub routers: usize,
    /// Routers are peers: they agree on who is alive, and gossip.
    pub peers: bool,
    /// Phases of the load, one after the other: seconds, and RPCs a second.
    pub phases: Vec<(f64, f64)>,
    /// Connections of clients.
    pub clients: usize,
    /// How many times the connections of the last router the first one has; those between follow geometrically.
    pub uneven: f64,
    /// Fraction of the clients that move to another router again and again.
    pub roaming: f64,
    /// Mean time that a roaming client stays at a router, in seconds.
    pub stays_s: f64,
    /// How long new connections still go to a router that is down.
    pub notices_ms: u64,
    /// From when an RPC is due to when its client gives up.
    pub deadline_ms: u32,
    /// How often a client retries after a rejection.
    pub repeats: u32,
    /// How long after its deadline an answer may come, for the time that clients and fault tools take.
    pub grace_ms: u32,
    /// How long routers may take to agree on who is alive before the load.
    pub settles_s: f64,
    /// How long they idle after that, before the load.
    pub rests_s: f64,
    /// RPCs a second that a cold member can serve once it is warm.
    pub bears: f64,
    /// The fleet.
    pub scenario: Scenario,
    /// Text of the operator's file beside `peers`.
    pub operator: String,
    /// `RUST_LOG` of the routers.
    pub log: String,
    /// By router: `LADDERPASS_FAULTY` of a build with the feature `faulty`.
    pub faulty: BTreeMap<String, String>,
    /// By router: offset of its wall clock, in milliseconds.
    pub clocks: BTreeMap<String, i32>,
    /// Routers that run the earlier program.
    pub earlier: Vec<String>,
    /// Routers without an operator's file, and so without peers.
    pub quiet: Vec<String>,
    /// RPCs a second of clients that go straight to the members.
    pub greedy: f64,
    /// Fault events.
    pub deeds: Vec<FaultEvent>,
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

impl Drill {
    /// Parses and checks a drill's file.
    ///
    /// # Errors
    /// One line with the key that is wrong, and what is allowed.
    pub fn read(text: &str) -> Result<Drill, String> {
        let one_line = |error: String| error.split_whitespace().collect::<Vec<_>>().join(" ");
        let value: serde_json::Value =
            serde_saphyr::from_str(text).map_err(|error| one_line(error.to_string()))?;
        let value = if value.is_null() { serde_json::json!({}) } else { value };
        let drill: Drill = serde_path_to_error::deserialize(value)
            .map_err(|error| one_line(format!("{}: {}", error.path(), error.inner())))?;
        drill.check()?;
        Ok(drill)
    }

    /// Checks all values and the names of routers, members and places.
    ///
    /// # Errors
    /// As [`Drill::read`].
    pub fn check(&self) -> Result<(), String> {
        self.check_numbers()?;
        self.scenario.check().map_err(|error| format!("scenario.{error}"))?;
        let named = self.faulty.keys().chain(self.clocks.keys()).chain(&self.earlier).chain(&self.quiet);
        for name in named {
            self.router(name).ok_or_else(|| {
                format!("faulty, clocks, earlier, quiet: {name:?}; allowed are r0, r1, ...")
            })?;
        }
        for (index, event) in self.deeds.iter().enumerate() {
            self.check_event(event).map_err(|error| format!("deeds[{index}].{error}"))?;
        }
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), String> {
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
        let is_allowed =
            |&(secs, rate): &(f64, f64)| (0.0..=3600.0).contains(&secs) && (0.0..=20_000.0).contains(&rate);
        if self.phases.is_empty() || !self.phases.iter().all(is_allowed) {
            return Err("phases: allowed are pairs of up to 3600 seconds and 20000 RPCs a second".into());
        }
        Ok(())
    }

    fn check_event(&self, event: &FaultEvent) -> Result<(), String> {
        let name = event.name();
        if name.is_empty() || name.contains(", ") && event.cut.len() < 2 {
            return Err(format!("at {}: {name:?}; allowed is one thing to do", event.at));
        }
        let secs = self.secs();
        if !(0.0..=secs).contains(&event.at) || !(0.0..=secs).contains(&event.lasts) {
            return Err(format!("at, for: {} and {}; allowed are 0 to {secs}", event.at, event.lasts));
        }
        if event.lasts > 0.0 && !event.may_last() {
            return Err(format!("for: {name} has no end"));
        }
        let routers = [&event.kill, &event.freeze, &event.term, &event.hup, &event.start, &event.mute];
        for name in routers.into_iter().flatten() {
            self.router(name).ok_or_else(|| format!("{name:?}; allowed are r0 to r{}", self.routers - 1))?;
        }
        let sides = event.split.iter().flatten();
        let pairs = event.cut.iter().flat_map(|(one, other)| [one, other]);
        for name in sides.chain(pairs) {
            if self.place(name).is_none() {
                return Err(format!("{name:?}; allowed are r0, member-0, discovery, front"));
            }
        }
        let members = [event.drain, event.ends, event.begins];
        match members.into_iter().flatten().find(|&member| member as usize >= self.scenario.member_count()) {
            Some(member) => Err(format!("member {member}; there are {}", self.scenario.member_count())),
            None => Ok(()),
        }
    }

    /// Length of the load in seconds.
    pub fn secs(&self) -> f64 {
        self.phases.iter().map(|(secs, _)| secs).sum()
    }

    /// The index of the router `rN`.
    pub fn router(&self, name: &str) -> Option<usize> {
        let number = name.strip_prefix('r')?.parse().ok()?;
        (number < self.routers && name == format!("r{number}")).then_some(number)
    }

    /// By router: its weight for new connections, from 1 down to 1 / `uneven`.
    pub fn weights(&self) -> Vec<f64> {
        let step = self.uneven.powf(1.0 / (self.routers.max(2) - 1) as f64);
        (0..self.routers).map(|router| step.powi(-(router as i32))).collect()
    }
}

//! A drill's file: its keys with their defaults, and the checks that name the key of an error.

use super::errors::{DrillError, FaultEventError};
use super::event::FaultEvent;
use crate::load::Phase;
use ladderpass_emulator::Scenario;
use serde::Deserialize;
use std::collections::BTreeMap;

/// A drill, as its file gives it. Keys of the file that differ from a field's name stand beside it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drill {
    /// How many routers, named r0, r1, ...
    pub routers: usize,
    /// Routers are peers: they agree on who is alive, and gossip.
    pub peers: bool,
    /// Phases of the load, one after the other; in the file, pairs of seconds and RPCs a second.
    pub phases: Vec<Phase>,
    /// Connections of clients.
    pub clients: usize,
    /// How many times the connections of the last router the first one has; those between follow geometrically.
    #[serde(rename = "uneven")]
    pub connection_skew: f64,
    /// Fraction of the clients that move to another router again and again.
    pub roaming: f64,
    /// Mean time that a roaming client stays at a router, in seconds.
    #[serde(rename = "stays_s")]
    pub mean_stay_s: f64,
    /// How long new connections still go to a router that is down, in milliseconds.
    #[serde(rename = "notices_ms")]
    pub down_detection_ms: u64,
    /// From when an RPC is due to when its client gives up, in milliseconds.
    pub deadline_ms: u32,
    /// How often a client retries after a rejection.
    #[serde(rename = "repeats")]
    pub max_retries: u32,
    /// How long after its deadline an answer may come, in milliseconds: the time that clients and fault tools take.
    pub grace_ms: u32,
    /// How long routers may take to agree on who is alive before the load, in seconds.
    #[serde(rename = "settles_s")]
    pub max_settle_s: f64,
    /// How long they idle after that, before the load, in seconds.
    #[serde(rename = "rests_s")]
    pub idle_s: f64,
    /// RPCs a second that a cold member can serve once it is warm.
    #[serde(rename = "bears")]
    pub warm_member_rpcs_per_second: f64,
    /// The emulated members, and their methods.
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
    #[serde(rename = "greedy")]
    pub direct_rpcs_per_second: f64,
    /// Fault events.
    #[serde(rename = "deeds")]
    pub events: Vec<FaultEvent>,
}

impl Default for Drill {
    fn default() -> Drill {
        Drill {
            routers: 4,
            peers: true,
            phases: vec![Phase { seconds: 5.0, rate_per_second: 200.0 }],
            clients: 80,
            connection_skew: 4.0,
            roaming: 0.3,
            mean_stay_s: 2.0,
            down_detection_ms: 700,
            deadline_ms: 1000,
            max_retries: 0,
            grace_ms: 150,
            max_settle_s: 6.0,
            idle_s: 0.0,
            warm_member_rpcs_per_second: 1000.0,
            scenario: Scenario::default(),
            operator: String::new(),
            log: "info".into(),
            faulty: BTreeMap::new(),
            clocks: BTreeMap::new(),
            earlier: Vec::new(),
            quiet: Vec::new(),
            direct_rpcs_per_second: 0.0,
            events: Vec::new(),
        }
    }
}

impl Drill {
    /// Parses and checks a drill's file.
    ///
    /// # Errors
    /// One line with the key that is wrong, and what is allowed.
    pub fn read(text: &str) -> Result<Drill, DrillError> {
        let syntax_error =
            |message: String| DrillError::Syntax(message.split_whitespace().collect::<Vec<_>>().join(" "));
        let value: serde_json::Value =
            serde_saphyr::from_str(text).map_err(|error| syntax_error(error.to_string()))?;
        let value = if value.is_null() { serde_json::json!({}) } else { value };
        let drill: Drill = serde_path_to_error::deserialize(value)
            .map_err(|error| syntax_error(format!("{}: {}", error.path(), error.inner())))?;
        drill.check()?;
        Ok(drill)
    }

    /// Checks all values and the names of routers, members and places.
    ///
    /// # Errors
    /// As [`Drill::read`].
    pub fn check(&self) -> Result<(), DrillError> {
        self.check_numbers()?;
        self.scenario.check().map_err(|error| DrillError::Scenario(error.to_string()))?;
        let named = self.faulty.keys().chain(self.clocks.keys()).chain(&self.earlier).chain(&self.quiet);
        for name in named {
            self.router(name).ok_or_else(|| DrillError::UnknownRouter(name.clone()))?;
        }
        for (index, event) in self.events.iter().enumerate() {
            self.check_event(event).map_err(|source| DrillError::Event { index, source })?;
        }
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), DrillError> {
        for (key, value, min, max) in [
            ("routers", self.routers as f64, 2.0, 40.0),
            ("clients", self.clients as f64, 1.0, 5000.0),
            ("uneven", self.connection_skew, 1.0, 1000.0),
            ("roaming", self.roaming, 0.0, 1.0),
            ("stays_s", self.mean_stay_s, 0.05, 3600.0),
            ("settles_s", self.max_settle_s, 0.0, 60.0),
            ("rests_s", self.idle_s, 0.0, 60.0),
            ("bears", self.warm_member_rpcs_per_second, 1.0, 1e6),
            ("greedy", self.direct_rpcs_per_second, 0.0, 1e5),
        ] {
            if !(min..=max).contains(&value) {
                return Err(DrillError::OutOfRange { key, value, min, max });
            }
        }
        let is_allowed = |phase: &Phase| {
            (0.0..=3600.0).contains(&phase.seconds) && (0.0..=20_000.0).contains(&phase.rate_per_second)
        };
        if self.phases.is_empty() || !self.phases.iter().all(is_allowed) {
            return Err(DrillError::Phases);
        }
        Ok(())
    }

    fn check_event(&self, event: &FaultEvent) -> Result<(), FaultEventError> {
        let (at, lasts, name) = (event.at, event.lasts, event.name());
        if name.is_empty() || name.contains(", ") && event.cut.len() < 2 {
            return Err(FaultEventError::NotOneAction { at, name });
        }
        let load_s = self.secs();
        if !(0.0..=load_s).contains(&at) || !(0.0..=load_s).contains(&lasts) {
            return Err(FaultEventError::OutsideLoad { at, lasts, load_s });
        }
        if lasts > 0.0 && !event.can_end() {
            return Err(FaultEventError::NoEnd { name });
        }
        let routers = [&event.kill, &event.freeze, &event.term, &event.hup, &event.start, &event.mute];
        if let Some(name) = routers.into_iter().flatten().find(|name| self.router(name).is_none()) {
            let last = self.routers - 1;
            return Err(FaultEventError::UnknownRouter { name: name.clone(), last });
        }
        let sides = event.split.iter().flatten();
        let pairs = event.cut.iter().flat_map(|(one, other)| [one, other]);
        if let Some(name) = sides.chain(pairs).find(|name| self.place(name).is_none()) {
            return Err(FaultEventError::UnknownPlace(name.clone()));
        }
        let count = self.scenario.member_count();
        let members = [event.drain, event.ends, event.begins];
        match members.into_iter().flatten().find(|&member| member as usize >= count) {
            Some(member) => Err(FaultEventError::UnknownMember { member, count }),
            None => Ok(()),
        }
    }

    /// Length of the load in seconds.
    pub fn secs(&self) -> f64 {
        self.phases.iter().map(|phase| phase.seconds).sum()
    }

    /// The index of the router `rN`.
    pub fn router(&self, name: &str) -> Option<usize> {
        let number = name.strip_prefix('r')?.parse().ok()?;
        (number < self.routers && name == format!("r{number}")).then_some(number)
    }

    /// By router: its weight for new connections, from 1 down to 1 / `connection_skew`.
    pub fn weights(&self) -> Vec<f64> {
        let step = self.connection_skew.powf(1.0 / (self.routers.max(2) - 1) as f64);
        (0..self.routers).map(|router| step.powi(-(router as i32))).collect()
    }
}

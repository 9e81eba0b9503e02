//! The drill file: its keys and their defaults, and the checks, whose errors name the key.

use super::errors::{DrillError, FaultEventError};
use super::event::FaultEvent;
use crate::load::Phase;
use ladderpass_emulator::Scenario;
use serde::Deserialize;
use std::collections::BTreeMap;

/// A drill, as described by its file. Where a key of the file differs from the field's name, the `rename` attribute
/// gives the key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drill {
    /// Number of routers, which are named r0, r1, ...
    pub routers: usize,
    /// Whether the routers are peers, which gossip and agree on which of them are alive.
    pub peers: bool,
    /// Phases of the load, in order. The file gives each as a pair of seconds and RPCs per second.
    pub phases: Vec<Phase>,
    /// Number of client connections.
    pub clients: usize,
    /// Ratio of the first router's weight for new connections to the last router's. The weights of the routers
    /// between them form a geometric series.
    #[serde(rename = "uneven")]
    pub connection_skew: f64,
    /// Fraction of the clients that move to another router from time to time.
    pub roaming: f64,
    /// Mean time for which a roaming client stays connected to a router, in seconds.
    #[serde(rename = "stays_s")]
    pub mean_stay_s: f64,
    /// Time until the load balancer detects that a router is down, in milliseconds. Until then, new connections still
    /// go to that router.
    #[serde(rename = "notices_ms")]
    pub down_detection_ms: u64,
    /// Time from when an RPC is due until its client gives up, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum number of a client's retries of a rejected RPC.
    #[serde(rename = "repeats")]
    pub max_retries: u32,
    /// Time after an RPC's deadline at which an answer still counts as in time, in milliseconds. This tolerance covers
    /// the delay in clients and fault tools.
    pub grace_ms: u32,
    /// Longest time that the routers may take before the load to agree on which of them are alive, in seconds.
    #[serde(rename = "settles_s")]
    pub max_settle_s: f64,
    /// Idle time in seconds between the routers' agreement on which of them are alive and the start of the load.
    #[serde(rename = "rests_s")]
    pub idle_s: f64,
    /// RPCs per second that a member of the scenario's `cold` list can serve after its slow start.
    #[serde(rename = "bears")]
    pub warm_member_rpcs_per_second: f64,
    /// The emulator's scenario: the members and their methods.
    pub scenario: Scenario,
    /// Text that is added to the routers' operator files after `peers`.
    pub operator: String,
    /// Value of `RUST_LOG` for the routers.
    pub log: String,
    /// Value of the environment variable `LADDERPASS_FAULTY`, by name of the router. A router with a value runs the
    /// build with the feature `faulty`.
    pub faulty: BTreeMap<String, String>,
    /// Offset of a router's wall clock in milliseconds, by name of the router.
    pub clocks: BTreeMap<String, i32>,
    /// Routers that run the program of an earlier version.
    pub earlier: Vec<String>,
    /// Routers that get no operator file and thus have no peers.
    pub quiet: Vec<String>,
    /// RPCs per second of clients that connect directly to the members.
    #[serde(rename = "greedy")]
    pub direct_rpcs_per_second: f64,
    /// Fault events, in any order.
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
    /// Parses and checks the text of a drill file.
    ///
    /// # Errors
    /// Returns the first invalid key, and which values are allowed.
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
    /// Returns the first invalid key, as [`Drill::read`] does.
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

    /// Returns the duration of the load in seconds.
    pub fn secs(&self) -> f64 {
        self.phases.iter().map(|phase| phase.seconds).sum()
    }

    /// Returns the index of the router named `rN`, or `None` if the drill has no such router.
    pub fn router(&self, name: &str) -> Option<usize> {
        let number = name.strip_prefix('r')?.parse().ok()?;
        (number < self.routers && name == format!("r{number}")).then_some(number)
    }

    /// Returns each router's weight for new connections, from 1 down to 1 / `connection_skew`.
    pub fn weights(&self) -> Vec<f64> {
        let step = self.connection_skew.powf(1.0 / (self.routers.max(2) - 1) as f64);
        (0..self.routers).map(|router| step.powi(-(router as i32))).collect()
    }
}

//! What one YAML file tells of a fleet: groups, members, log, methods; checked once, with faults that name the key.
//!
//! It owns the file's form, and what a router in front of that fleet is told. It must never hold state.

use ladderpass_routing::{Span, Time};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    pub groups: u32,
    /// Replicas of each group, beside its primary.
    pub replicas: u32,
    /// RPCs that a member works on at once, and that may wait there.
    pub cores: usize,
    pub queue: usize,
    /// Connections that a member holds at most, and what a new one takes until it is welcomed.
    pub connections: usize,
    pub connect_ms: f64,
    /// From a commit until a replica has it, and what applying it takes there on its one thread.
    pub log_ms: f64,
    pub apply_ms: f64,
    /// Empty lines of a watch.
    pub watch_every_ms: f64,
    /// Each call-out that comes is kept, for a judge.
    pub history: bool,
    /// Members that start with the fleet, and are cold.
    pub cold: Vec<u32>,
    /// How long one falls over by what it gets, as routers are told.
    pub overload_ms: f64,
    /// How many routers there are, as they are told.
    pub routers: u32,
    pub methods: Vec<MethodShape>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MethodShape {
    pub name: String,
    #[serde(default)]
    pub writes: bool,
    /// Bound on the age of a read's data; without one any data will do.
    pub max_age_ms: Option<f64>,
    /// Work at a member: the mean of an exponential distribution; 0 is answered at once.
    #[serde(default)]
    pub work_ms: f64,
    #[serde(default = "few")]
    pub value_bytes: usize,
    pub soft_deadline_ms: f64,
    pub utility: f64,
    /// Of what arrives, in parts of the sum of all shares.
    pub share: f64,
}

fn few() -> usize {
    16
}

impl Default for Scenario {
    fn default() -> Scenario {
        let method = |name: &str, writes, utility, share, value_bytes| MethodShape {
            name: name.to_owned(),
            writes,
            max_age_ms: (!writes).then_some(2000.0),
            work_ms: 0.0,
            value_bytes,
            soft_deadline_ms: 500.0,
            utility,
            share,
        };
        Scenario {
            groups: 1,
            replicas: 2,
            cores: 64,
            queue: 100_000,
            connections: 4096,
            connect_ms: 0.0,
            log_ms: 2.0,
            apply_ms: 0.0,
            watch_every_ms: 1000.0,
            history: false,
            cold: Vec::new(),
            overload_ms: 3000.0,
            routers: 1,
            methods: vec![method("board", false, 2.0, 0.8, 256), method("move", true, 8.0, 0.2, 16)],
        }
    }
}

impl Scenario {
    /// Reads and checks; the fault is one line.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let one_line = |fault: String| fault.split_whitespace().collect::<Vec<_>>().join(" ");
        let value: serde_json::Value =
            serde_saphyr::from_str(text).map_err(|fault| one_line(fault.to_string()))?;
        let scenario: Scenario = serde_path_to_error::deserialize(value)
            .map_err(|fault| one_line(format!("{}: {}", fault.path(), fault.inner())))?;
        scenario.check()?;
        Ok(scenario)
    }

    pub fn check(&self) -> Result<(), String> {
        let positive = |key: &str, value: f64| match value {
            value if value.is_finite() && value >= 0.0 => Ok(()),
            value => Err(format!("{key}: {value} is not a number from 0 on")),
        };
        if self.groups == 0 || self.groups > 1000 || self.replicas > 100 {
            return Err("groups, replicas: 1 to 1000 groups of at most 100 replicas are allowed".into());
        }
        if self.cores == 0 {
            return Err("cores: must be above 0".into());
        }
        if self.methods.is_empty() {
            return Err("methods: at least one is needed".into());
        }
        for (key, value) in [
            ("connect_ms", self.connect_ms),
            ("log_ms", self.log_ms),
            ("apply_ms", self.apply_ms),
            ("watch_every_ms", self.watch_every_ms),
            ("overload_ms", self.overload_ms),
        ] {
            positive(key, value)?;
        }
        for method in &self.methods {
            let key = |name: &str| format!("methods.{}.{name}", method.name);
            positive(&key("work_ms"), method.work_ms)?;
            positive(&key("soft_deadline_ms"), method.soft_deadline_ms)?;
            positive(&key("utility"), method.utility)?;
            positive(&key("share"), method.share)?;
            if method.value_bytes > 64 << 10 {
                return Err(format!("{}: {} is more than 65536", key("value_bytes"), method.value_bytes));
            }
        }
        Ok(())
    }

    pub fn members_of_group(&self) -> u32 {
        self.replicas + 1
    }

    pub fn members(&self) -> usize {
        (self.groups * self.members_of_group()) as usize
    }

    pub fn method(&self, name: &str) -> Option<usize> {
        self.methods.iter().position(|method| method.name == name)
    }

    pub fn work(&self, method: usize) -> Span {
        Span::from_secs_f64(self.methods.get(method).map_or(0.0, |method| method.work_ms) / 1e3)
    }

    /// The entries of the list, as discovery tells them.
    pub fn entries(&self, now: Time, addresses: &[SocketAddr]) -> Vec<serde_json::Value> {
        let now_ms = now.nanos() / 1_000_000;
        let entry = |(index, address): (usize, &SocketAddr)| {
            let (group, nth) =
                (index as u32 / self.members_of_group(), index as u32 % self.members_of_group());
            serde_json::json!({
                "instanceId": format!("m-{group}-{nth}"), "hostPort": address.to_string(), "zone": "a",
                "machineType": "k", "cell": group, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": if self.cold.contains(&(index as u32)) { now_ms } else { 0 },
                "role": if nth == 0 { "leader" } else { "follower" },
            })
        };
        addresses.iter().enumerate().map(entry).collect()
    }

    /// What a router before this fleet is told: the JSON of its configuration.
    pub fn told(&self, now: Time, seed: u64, limits: &Allowed, addresses: &[SocketAddr]) -> String {
        let services: Vec<_> = self
            .methods
            .iter()
            .map(|method| {
                serde_json::json!({
                    "Name": method.name, "Slo": (method.soft_deadline_ms * 1e6) as i64,
                    "Effect": if method.writes { "side_effect" } else { "pure" }, "Worth": method.utility,
                })
            })
            .collect();
        let level = |method: &MethodShape| match (method.writes, method.max_age_ms) {
            (true, _) => "write",
            (false, Some(_)) => "bounded",
            (false, None) => "any",
        };
        let levels: Vec<_> = self.methods.iter().map(level).collect();
        let ages: Vec<_> =
            self.methods.iter().map(|method| method.max_age_ms.map(|ms| (ms * 1e6) as i64)).collect();
        serde_json::json!({
            "seed": format!("{seed:x}"),
            "limits": {"cores": limits.cores, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": {"generation": 1, "reset": true, "instances": self.entries(now, addresses)},
            "settings": {
                "Allowed": {"AttemptsCap": 6, "ConnIdle": 15_000_000_000i64, "ConnectTimeout": 1_000_000_000i64,
                    "MaxRetryAfter": 500_000_000i64, "Probes": true, "RetryAfter": true},
                "Balancers": self.routers,
                "Contract": {"ColdFrom": 0.2, "MustAskIn": 10_000_000_000i64, "OverloadFor": (self.overload_ms * 1e6) as i64,
                    "WarmWithin": 10_000_000_000i64},
                "Extra": {"Checks": "off", "MaxAge": ages, "ProgressTold": true, "ReadLevel": levels,
                    "RoleInList": "late", "Tokens": "carried"},
                "RegistryMode": "subscribe", "Report": {"Columns": ["x0", "x1", "q"]}, "Services": services,
                "Tick": 5_000_000,
            },
        }).to_string()
    }
}

/// The machine that a router is given.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    pub cores: f64,
    pub memory_mb: u64,
    pub sockets: usize,
}

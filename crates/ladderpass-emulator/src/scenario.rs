//! The YAML file that describes the emulated members: groups, replication and methods. A scenario is checked when it
//! is read, and an error names the invalid key. The endpoint list and the configuration of a router in front of the
//! members are derived from the scenario.

use crate::scenario_error::ScenarioError;
use ladderpass_routing::{Span, Time};
use serde::Deserialize;
use std::net::SocketAddr;

const MAX_GROUPS: u32 = 1000;
const MAX_REPLICAS: u32 = 100;
const MAX_VALUE_BYTES: usize = 64 << 10;
const DEFAULT_VALUE_BYTES: usize = 16;

/// The members, their replication and the methods of one run. The field names are the keys of the YAML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Number of groups, each with a primary and its replicas.
    pub groups: u32,
    /// Number of replicas in each group, not counting the primary.
    pub replicas: u32,
    /// Maximum number of statements that a member runs concurrently.
    pub cores: usize,
    /// Maximum number of statements that wait in a member's queue.
    pub queue: usize,
    /// Maximum number of connections that a member accepts.
    pub connections: usize,
    /// Time from a connection's startup message until the connection is ready, in milliseconds.
    pub connect_ms: f64,
    /// Time from a commit at the primary until a replica has received the commit, in milliseconds.
    pub log_ms: f64,
    /// Time that a replica's single apply thread needs for one commit, in milliseconds.
    pub apply_ms: f64,
    /// Interval between the empty lines that a watch of an endpoint list receives, in milliseconds.
    pub watch_every_ms: f64,
    /// Whether each attempt and each health check that arrives at a member is recorded in the execution log for a
    /// history checker.
    pub history: bool,
    /// Indexes of the members that start together with the emulator and need a slow start.
    pub cold: Vec<u32>,
    /// Length of the window, in milliseconds, in which too many RPCs overload a member in slow start. The value is part
    /// of the routers' settings (`Contract.OverloadFor`).
    pub overload_ms: f64,
    /// Number of routers. The value is part of the routers' settings.
    pub routers: u32,
    /// The methods of the RPCs.
    pub methods: Vec<MethodSettings>,
}

/// A method of RPCs. The field names are the keys of the YAML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MethodSettings {
    /// Name of the method, which must be unique in the scenario. `Scenario::check` does not verify that.
    pub name: String,
    /// Whether the method writes. Only a primary runs a method that writes.
    #[serde(default)]
    pub writes: bool,
    /// Maximum staleness of the data that a read of this method returns, in milliseconds. If this key is absent, the
    /// staleness is unlimited.
    pub max_age_ms: Option<f64>,
    /// Mean of the exponentially distributed work of an RPC at a member, in milliseconds. 0 means that the member
    /// answers at once.
    #[serde(default)]
    pub work_ms: f64,
    /// Size of the value in an answer, in bytes. The value contains at least the RPC's id, even if the id is longer
    /// than this size.
    #[serde(default = "default_value_bytes")]
    pub value_bytes: usize,
    /// Soft deadline of the method's RPCs, in milliseconds. A later answer has less utility or none.
    pub soft_deadline_ms: f64,
    /// Utility of an answer that arrives before the soft deadline.
    pub utility: f64,
    /// Weight of the method in the mix of RPCs: the method's share of all RPCs is this value divided by the sum of this
    /// value over all methods.
    pub share: f64,
}

fn default_value_bytes() -> usize {
    DEFAULT_VALUE_BYTES
}

fn syntax_error(message: &str) -> ScenarioError {
    ScenarioError::Syntax(message.split_whitespace().collect::<Vec<_>>().join(" "))
}

fn check_number(key: &str, value: f64) -> Result<(), ScenarioError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(ScenarioError::NegativeOrNotFinite { key: key.to_owned(), value })
}

impl Default for Scenario {
    fn default() -> Scenario {
        let method = |name: &str, writes, utility, share, value_bytes| MethodSettings {
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
    /// Parses a scenario from YAML text and checks it.
    ///
    /// # Errors
    ///
    /// Returns an error if the YAML is malformed, or for the first invalid key.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let value: serde_json::Value =
            serde_saphyr::from_str(text).map_err(|error| syntax_error(&error.to_string()))?;
        let scenario: Scenario = serde_path_to_error::deserialize(value)
            .map_err(|error| syntax_error(&format!("{}: {}", error.path(), error.inner())))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks the values of the scenario.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid key.
    pub fn check(&self) -> Result<(), ScenarioError> {
        if self.groups == 0 || self.groups > MAX_GROUPS || self.replicas > MAX_REPLICAS {
            return Err(ScenarioError::GroupCount { max_groups: MAX_GROUPS, max_replicas: MAX_REPLICAS });
        }
        if self.cores == 0 {
            return Err(ScenarioError::NoCores);
        }
        if self.methods.is_empty() {
            return Err(ScenarioError::NoMethods);
        }
        for (key, value) in [
            ("connect_ms", self.connect_ms),
            ("log_ms", self.log_ms),
            ("apply_ms", self.apply_ms),
            ("watch_every_ms", self.watch_every_ms),
            ("overload_ms", self.overload_ms),
        ] {
            check_number(key, value)?;
        }
        for method in &self.methods {
            let key = |name: &str| format!("methods.{}.{name}", method.name);
            check_number(&key("work_ms"), method.work_ms)?;
            check_number(&key("soft_deadline_ms"), method.soft_deadline_ms)?;
            check_number(&key("utility"), method.utility)?;
            check_number(&key("share"), method.share)?;
            if method.value_bytes > MAX_VALUE_BYTES {
                return Err(ScenarioError::ValueTooLong {
                    key: key("value_bytes"),
                    bytes: method.value_bytes,
                    max_bytes: MAX_VALUE_BYTES,
                });
            }
        }
        Ok(())
    }

    /// Returns the number of members in each group.
    pub fn group_size(&self) -> u32 {
        self.replicas + 1
    }

    /// Returns the number of members in all groups.
    pub fn member_count(&self) -> usize {
        (self.groups * self.group_size()) as usize
    }

    /// Returns the index of the method with this name.
    pub fn method_index(&self, name: &str) -> Option<usize> {
        self.methods.iter().position(|method| method.name == name)
    }

    /// Returns the mean work of a method at a member, or zero for an unknown method.
    pub fn mean_work(&self, method: usize) -> Span {
        Span::from_secs_f64(self.methods.get(method).map_or(0.0, |method| method.work_ms) / 1e3)
    }

    /// Returns the entries of the endpoint list as discovery publishes them. `now` is published as the start time of
    /// the members in slow start.
    pub fn endpoint_entries(&self, now: Time, addresses: &[SocketAddr]) -> Vec<serde_json::Value> {
        let now_ms = now.nanos() / 1_000_000;
        let entry = |(index, address): (u32, &SocketAddr)| {
            let (group, index_in_group) = (index / self.group_size(), index % self.group_size());
            serde_json::json!({
                "instanceId": format!("m-{group}-{index_in_group}"), "hostPort": address.to_string(), "zone": "a",
                "machineType": "k", "cell": group, "lifecycle": "SERVING", "weight": 1.0,
                "startedAtMs": if self.cold.contains(&index) { now_ms } else { 0 },
                "role": if index_in_group == 0 { "leader" } else { "follower" },
            })
        };
        (0..).zip(addresses).map(entry).collect()
    }

    /// Returns the configuration of a router in front of these members, as JSON.
    pub fn router_config(
        &self,
        now: Time,
        seed: u64,
        limits: &RouterLimits,
        addresses: &[SocketAddr],
    ) -> String {
        serde_json::json!({
            "seed": format!("{seed:x}"),
            "limits": {"cores": limits.cores, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": {"generation": 1, "reset": true, "instances": self.endpoint_entries(now, addresses)},
            "settings": self.router_settings(),
        })
        .to_string()
    }

    /// Returns the deployment settings of routers for these members and methods. Durations are in nanoseconds.
    fn router_settings(&self) -> serde_json::Value {
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
        let read_level = |method: &MethodSettings| match (method.writes, method.max_age_ms) {
            (true, _) => "write",
            (false, Some(_)) => "bounded",
            (false, None) => "any",
        };
        let read_levels: Vec<_> = self.methods.iter().map(read_level).collect();
        let max_ages: Vec<_> =
            self.methods.iter().map(|method| method.max_age_ms.map(|ms| (ms * 1e6) as i64)).collect();
        serde_json::json!({
            "Allowed": {"AttemptsCap": 6, "ConnIdle": 15_000_000_000i64, "ConnectTimeout": 1_000_000_000i64,
                "MaxRetryAfter": 500_000_000i64, "Probes": true, "RetryAfter": true},
            "Balancers": self.routers,
            "Contract": {"ColdFrom": 0.2, "MustAskIn": 10_000_000_000i64,
                "OverloadFor": (self.overload_ms * 1e6) as i64, "WarmWithin": 10_000_000_000i64},
            "Extra": {"Checks": "off", "MaxAge": max_ages, "ProgressTold": true, "ReadLevel": read_levels,
                "RoleInList": "late", "Tokens": "carried"},
            "RegistryMode": "subscribe", "Report": {"Columns": ["x0", "x1", "q"]}, "Services": services,
            "Tick": 5_000_000,
        })
    }
}

/// The machine resources that a router may use.
#[derive(Clone, Copy, Debug)]
pub struct RouterLimits {
    /// Number of CPU cores that a router may use.
    pub cores: f64,
    /// Memory that a router may use, in MiB.
    pub memory_mb: u64,
    /// Maximum number of sockets that a router may have open.
    pub sockets: usize,
}

//! What a simulation is made of, and the settings of its router.

use ladderpass::launch::Launch;
use ladderpass_emulator::Scenario;
use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_routing::{Span, Time};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

/// What a simulation is made of: members, clients, their load, and the router's limits.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Groups of members, of [`MEMBERS_PER_GROUP`] each.
    pub groups: u32,
    /// Statements a second, a fifth of them writes.
    pub rate: f64,
    /// Clients, of which one is drawn for each statement.
    pub clients: usize,
    /// Mean time from sending a statement to a member until its answer, nine tenths of it drawn from an exponential
    /// distribution.
    pub answer_time: Span,
    /// Number of routers in the settings; only one is simulated.
    pub routers: u32,
    /// Maximum staleness of reads.
    pub max_read_age_ms: f64,
    /// Sockets that the router may have.
    pub sockets: usize,
    /// Memory that the router may have.
    pub memory_mb: u64,
    /// In place of the idle timeout after which the router closes a client.
    pub client_idle_timeout: Option<Span>,
    /// The router gossips and shares health checks, though no other router is there.
    pub shares_health_checks: bool,
    /// Probability that a member has no connection left for this router and rejects it.
    pub full_probability: f64,
}

/// Members of a group; the reference size has 940 in 313 groups.
pub const MEMBERS_PER_GROUP: u32 = 3;

impl Shape {
    /// A number of groups, with the rate for each member and the time between a client's statements of the reference size.
    pub fn of(groups: u32) -> Shape {
        let rate = f64::from(groups * MEMBERS_PER_GROUP) * 520.0 / 940.0;
        Shape {
            groups,
            rate,
            clients: (rate * 5900.0 / 520.0).round().max(1.0) as usize,
            answer_time: Span::from_millis(5),
            routers: 460,
            max_read_age_ms: 2000.0,
            sockets: 24_000,
            memory_mb: 192,
            client_idle_timeout: None,
            shares_health_checks: false,
            full_probability: 0.0,
        }
    }

    /// Members of all groups.
    pub fn members(&self) -> usize {
        (self.groups * MEMBERS_PER_GROUP) as usize
    }

    /// The router's settings, read from a file as a process does.
    pub(super) fn launch(&self, now: Time, seed: u64) -> Result<Launch, String> {
        let mut scenario =
            Scenario { groups: self.groups, replicas: MEMBERS_PER_GROUP - 1, ..Scenario::default() };
        for method in scenario.methods.iter_mut().filter(|method| !method.writes) {
            method.max_age_ms = Some(self.max_read_age_ms);
        }
        let allowed = RouterLimits { cores: 1.0, memory_mb: self.memory_mb, sockets: self.sockets };
        let address = |member: usize| SocketAddr::from(([10, 9, (member >> 8) as u8, member as u8], 5432));
        let addresses: Vec<SocketAddr> = (0..self.members()).map(address).collect();
        let text = scenario.router_config(now, seed, &allowed, &addresses);
        let mut settings: serde_json::Value =
            serde_json::from_str(&text).map_err(|error| error.to_string())?;
        settings["settings"]["Balancers"] = self.routers.into();
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let index = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ladderpass-pure-{}-{index}.json", std::process::id()));
        std::fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let variable = |key: &str| match key {
            "RELAY_NAME" => Some("pure".to_owned()),
            "RELAY_LISTEN" => Some("127.0.0.1:6432".to_owned()),
            "RELAY_DISCOVERY" => Some("127.0.0.1:8500".to_owned()),
            "RELAY_CONFIG" => Some(path.to_str()?.to_owned()),
            _ => None,
        };
        let launch = Launch::read(variable, None);
        // A temporary file that stays behind does no harm.
        let _ = std::fs::remove_file(&path);
        let mut launch = launch.map_err(|errors| errors.to_string())?;
        launch.limits.client_idle_timeout =
            self.client_idle_timeout.unwrap_or(launch.limits.client_idle_timeout);
        launch.settings.deployment.gossip = self.shares_health_checks;
        Ok(launch)
    }
}

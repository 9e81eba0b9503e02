//! The parameters of a simulation, and the settings of its router.

use ladderpass::launch::Launch;
use ladderpass_emulator::Scenario;
use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_routing::{Span, Time};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

/// The parameters of a simulation: members, clients, their load, and the router's limits.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of groups, each of [`MEMBERS_PER_GROUP`] members.
    pub groups: u32,
    /// Statements a second, a fifth of them writes.
    pub rate: f64,
    /// Number of clients. Each statement is sent by a client that is drawn at random.
    pub clients: usize,
    /// Nominal time from sending a statement to a member until its answer. Nine tenths of it are the mean of the service
    /// time, which has an exponential distribution. The remaining tenth stands for the round trip, which is 0.4 ms for
    /// every value of this field.
    pub answer_time: Span,
    /// Number of routers in the settings. Only one router is simulated.
    pub routers: u32,
    /// Maximum staleness of reads in milliseconds.
    pub max_read_age_ms: f64,
    /// Sockets that the router may have.
    pub sockets: usize,
    /// Memory in MB that the router may have.
    pub memory_mb: u64,
    /// Overrides the idle timeout after which the router closes a client connection.
    pub client_idle_timeout: Option<Span>,
    /// Whether the router gossips and shares health checks, although no other router exists.
    pub shares_health_checks: bool,
    /// Probability that a member has no connection left for this router and rejects it.
    pub full_probability: f64,
}

/// Members of each group. The reference size has 940 members in 313 groups.
pub const MEMBERS_PER_GROUP: u32 = 3;

impl Shape {
    /// Returns the shape of a number of groups. The statement rate per member and the time between the statements of a client
    /// are those of the reference size.
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

    /// Returns the number of members of all groups.
    pub fn members(&self) -> usize {
        (self.groups * MEMBERS_PER_GROUP) as usize
    }

    /// Returns the router's settings. The settings are read from a file, as by a router process.
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
        // A failure to remove the temporary file is ignored, since a file that is left behind does no harm.
        let _ = std::fs::remove_file(&path);
        let mut launch = launch.map_err(|errors| errors.to_string())?;
        launch.limits.client_idle_timeout =
            self.client_idle_timeout.unwrap_or(launch.limits.client_idle_timeout);
        launch.settings.deployment.gossip = self.shares_health_checks;
        Ok(launch)
    }
}

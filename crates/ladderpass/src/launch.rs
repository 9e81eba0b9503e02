//! The one place that reads, checks and defaults what a router is told: `RELAY_*`, the JSON and the operator's file, at
//! start and again, in full, at SIGHUP.
//!
//! It owns nothing after that. It must never keep what it has read, and no other file may read the environment.

use crate::discovery::Listing;
use crate::faulty::{self, Faulty};
use crate::io_errors::is_transient_at_start;
use crate::limits::Limits;
use ladderpass_config::operator::{self, Operator};
use ladderpass_config::{DeploymentSettings, Faults};
use ladderpass_overload::ResourceLimits;
use ladderpass_routing::Span;
use nix::sys::resource::{Resource, getrlimit};
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::time::{Duration, Instant};

/// In place of an address that is missing or wrong, while the rest is looked through; nothing is started with
/// it.
const NOWHERE: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// How long a start waits for files that can't be opened for a moment, and how long between two tries.
const START_PATIENCE: Duration = Duration::from_secs(2);
const START_REST: Duration = Duration::from_millis(10);

#[derive(Debug)]
pub struct Launch {
    pub discovery: SocketAddr,
    pub fixed: Fixed,
    pub seed: u64,
    pub cached_endpoints: Listing,
    pub settings: DeploymentSettings,
    pub limits: Limits,
    pub resource_limits: ResourceLimits,
    /// What the platform says of descriptors; less may hold for the process.
    pub configured_sockets: usize,
    pub operator: Operator,
    pub faulty: Faulty,
    /// How far the wall clock is off, in a build for the lab.
    pub clock_offset: Span,
}

/// What a process that runs can't change any more.
#[derive(Debug)]
pub struct Fixed {
    pub name: String,
    pub listen: SocketAddr,
    settings: Value,
}

impl Fixed {
    /// The keys whose values differ: they wait for a restart.
    pub fn differing(&self, other: &Fixed) -> Vec<String> {
        let mut keys = Vec::new();
        if self.name != other.name {
            keys.push("RELAY_NAME".to_owned());
        }
        if self.listen != other.listen {
            keys.push("RELAY_LISTEN".to_owned());
        }
        if let (Some(one), Some(two)) = (self.settings.as_object(), other.settings.as_object()) {
            let both = one.keys().chain(two.keys().filter(|key| !one.contains_key(*key)));
            let differ = both.filter(|key| one.get(*key) != two.get(*key));
            keys.extend(differ.map(|key| format!("settings.{key}")));
        }
        keys
    }
}

#[derive(Deserialize)]
struct Told {
    /// Where it is given it counts over the variable, which a running process can't be told anew.
    discovery: Option<String>,
    seed: String,
    limits: Allowed,
    known: Listing,
    settings: Value,
}

#[derive(Deserialize)]
struct Allowed {
    /// Of a core; one where it is not told.
    cores: Option<f64>,
    memory_mb: u64,
    sockets: usize,
}

impl Launch {
    /// At the start: files that can't be opened for a moment are waited for.
    pub fn read_at_start(
        variable: impl Fn(&str) -> Option<String>,
        own: Option<&Path>,
    ) -> Result<Launch, String> {
        let until = Instant::now() + START_PATIENCE;
        let config = variable("RELAY_CONFIG");
        for path in [config.as_deref().map(Path::new), own].into_iter().flatten() {
            while std::fs::read(path).is_err_and(|fault| is_transient_at_start(&fault))
                && Instant::now() < until
            {
                std::thread::sleep(START_REST);
            }
        }
        Launch::read(variable, own)
    }

    /// From the variables that `variable` gives, and the file that one of them names. What is wrong is told
    /// whole, a line a fault.
    pub fn read(variable: impl Fn(&str) -> Option<String>, own: Option<&Path>) -> Result<Launch, String> {
        let mut faults = Faults::default();
        let need = |key: &str, allowed: &str| {
            let value = variable(key).filter(|value| !value.is_empty());
            value.ok_or_else(|| format!("{key}: not set; needed is {allowed}"))
        };
        let place = |key: &str| need(key, "address:port").and_then(|text| address(key, &text));
        let name = faults.keep(need("RELAY_NAME", "the router's name")).unwrap_or_default();
        // Where one is wrong, the rest is read for its faults alone.
        let listen = faults.keep(place("RELAY_LISTEN")).unwrap_or(NOWHERE);
        let discovery = faults.keep(place("RELAY_DISCOVERY")).unwrap_or(NOWHERE);
        let path = faults.keep(need("RELAY_CONFIG", "the path of a JSON file"));
        let launch = path.and_then(|path| {
            let named = |fault: &str| format!("RELAY_CONFIG: {path}: {fault}");
            let text = std::fs::read_to_string(&path).map_err(|fault| named(&fault.to_string()));
            let launch = Launch::of(name, listen, discovery, &faults.keep(text)?);
            faults.keep(launch.map_err(|told| each(&told, named)))
        });
        let faulty =
            faults.keep(Faulty::read(variable("LADDERPASS_FAULTY")).map_err(|error| error.to_string()));
        let clock = faults
            .keep(faulty::clock_offset(variable("LADDERPASS_CLOCK_MS")).map_err(|error| error.to_string()));
        let operator = own.and_then(|path| {
            let named = |fault: &str| format!("{}: {fault}", path.display());
            let text = std::fs::read_to_string(path).map_err(|fault| named(&fault.to_string()));
            let operator = operator::read(&faults.keep(text)?);
            faults.keep(operator.map_err(|told| each(&told, named)))
        });
        faults.none()?;
        let (Some(mut launch), Some(faulty), Some(clock)) = (launch, faulty, clock) else {
            return Err("RELAY_CONFIG: could not be read".into());
        };
        (launch.faulty, launch.clock_offset) = (faulty, clock);
        launch.operator = operator.unwrap_or_default();
        // The platform's protocol has no messages between routers: they need addresses of the operator's.
        let deployment = &mut launch.settings.deployment;
        deployment.gossip = launch.operator.peers.is_some();
        if let Some(peers) = &launch.operator.peers {
            // Until they have found each other: as many as are listed.
            let others = peers.listed.iter().filter(|&&address| address != peers.address).count();
            (deployment.router_index, deployment.router_count) = (0, others as u32 + 1);
        }
        Ok(launch)
    }

    /// What holds, defaults included, a line a thing.
    pub fn summary(&self) -> String {
        let mut text = String::new();
        let mut line = |key: &str, value: String| {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{key:<34} {value}");
        };
        line("name", self.fixed.name.clone());
        line("listen", self.fixed.listen.to_string());
        line("discovery", self.discovery.to_string());
        line(
            "known members",
            format!(
                "{} (generation {})",
                self.cached_endpoints.instances.len(),
                self.cached_endpoints.generation
            ),
        );
        line("limits.cores", self.resource_limits.cores.to_string());
        line(
            "limits.memory",
            format!(
                "{} MiB, rings {} MiB",
                self.resource_limits.memory_bytes >> 20,
                self.resource_limits.buffer_bytes >> 20
            ),
        );
        line(
            "limits.sockets",
            format!("{}, clients {}", self.resource_limits.descriptors, self.limits.clients),
        );
        for (name, method) in self.settings.method_names.iter().zip(&self.settings.deployment.methods) {
            let text = format!(
                "{:?}, {:?}, utility {}, soft deadline {} ms",
                method.consistency,
                method.idempotency,
                method.utility,
                method.soft_deadline.nanos() / 1_000_000
            );
            line(&format!("method {name}"), text);
        }
        let log = self.operator.log;
        line("log.format", if log.json { "json" } else { "text" }.to_owned());
        line("log.figures", format!("{} ms", log.metrics_interval.nanos() / 1_000_000));
        match &self.operator.peers {
            Some(peers) => {
                let (address, listed) = (peers.address, peers.listed.len());
                line("peers", format!("{address}, heard at {}, {listed} listed", peers.listen));
                let networks: Vec<String> =
                    peers.networks.iter().map(|(ip, bits)| format!("{ip}/{bits}")).collect();
                let others =
                    if networks.is_empty() { "the listed alone".into() } else { networks.join(", ") };
                line("peers.networks", others);
                if peers.legacy_form {
                    line("peers.me, peers.all", "the form of before: write listen and listed".into());
                }
            }
            None => line("peers", "off: routers tell each other nothing".into()),
        }
        line(
            "fleet.sheds",
            if self.operator.shared_admission { "all routers as one" } else { "off: each alone" }.into(),
        );
        line(
            "fleet.budgets",
            if self.operator.shared_retry_budget { "of all routers" } else { "off: each alone" }.into(),
        );
        line(
            "members.zone",
            self.operator.zone.clone().unwrap_or("off: all members are equally near".into()),
        );
        line(
            "members.sizes",
            if self.operator.weights_are_concurrency { "by the list's weight" } else { "off" }.into(),
        );
        let Some(own) = self.operator.overload else {
            line("overload", "off: the router does not watch itself".into());
            return text;
        };
        let ms = |seconds: f64| format!("{:.0} ms", seconds * 1e3);
        line("overload.delay", format!("from {} full {}", ms(own.delay.from), ms(own.delay.full)));
        for (key, band) in [
            ("cpu", own.cpu),
            ("memory", own.memory),
            ("rings", own.buffers),
            ("descriptors", own.descriptors),
        ] {
            line(
                &format!("overload.{key}"),
                format!("from {} full {} of what is allowed", band.from, band.full),
            );
        }
        for (key, span) in [
            ("rise", own.rise),
            ("fall", own.fall),
            ("calm_after", own.calm_after),
            ("slow_reader", own.slow_reader_timeout),
            ("look", own.sample_interval),
        ] {
            line(&format!("overload.{key}"), ms(span.secs()));
        }
        line("overload.fair", format!("{} fair shares", own.fair_share_multiple));
        line("overload.slow_reader_bytes", format!("{} KiB", own.slow_reader_bytes >> 10));
        text
    }

    fn of(name: String, listen: SocketAddr, discovery: SocketAddr, text: &str) -> Result<Launch, String> {
        let told: Told = ladderpass_config::parse(&mut serde_json::Deserializer::from_str(text))?;
        let mut faults = Faults::default();
        let seed = u64::from_str_radix(&told.seed, 16)
            .map_err(|_| format!("seed: {:?} is not a number in hex of at most 64 bits", told.seed));
        let seed = faults.keep(seed).unwrap_or_default();
        let discovery = match &told.discovery {
            Some(text) => faults.keep(address("discovery", text)).unwrap_or(NOWHERE),
            None => discovery,
        };
        if told.limits.memory_mb == 0 || told.limits.memory_mb > 1 << 30 {
            faults.tell("limits.memory_mb: must be above 0, and at most 1073741824".into());
        }
        if told.limits.sockets < 64 {
            faults.tell(format!("limits.sockets: {} is less than the 64 needed", told.limits.sockets));
        }
        let cores = told.limits.cores.unwrap_or(1.0);
        if !(cores > 0.0 && cores <= 1024.0) {
            faults.tell(format!("limits.cores: {cores} is not above 0 and up to 1024"));
        }
        let facts = ladderpass_config::read(&told.settings).map_err(|fault| format!("settings.{fault}"));
        let facts = faults.keep(facts);
        faults.none()?;
        let Some(mut facts) = facts else { return Err("settings: could not be read".into()) };
        let sockets = told.limits.sockets.min(descriptors());
        let limits = Limits::of(told.limits.memory_mb, sockets, &facts);
        // Guards rule 3 where the settings say that lists are pushed: on sockets nothing comes unasked. There what
        // discovery has counts as told at once, so a watch that was lost has to be back within the grace.
        facts
            .deployment
            .endpoint_poll_interval
            .get_or_insert(facts.drain_grace.unwrap_or(limits.notified_within));
        let allowance = ResourceLimits {
            cores,
            memory_bytes: usize::try_from(told.limits.memory_mb << 20).unwrap_or(usize::MAX),
            buffer_bytes: limits.client_buffers_total_bytes,
            descriptors: sockets,
        };
        let fixed = Fixed { name, listen, settings: told.settings };
        let operator = Operator::default();
        Ok(Launch {
            discovery,
            fixed,
            seed,
            cached_endpoints: told.known,
            settings: facts,
            limits,
            resource_limits: allowance,
            configured_sockets: told.limits.sockets,
            operator,
            faulty: Faulty::Nowhere,
            clock_offset: Span::ZERO,
        })
    }
}

/// Descriptors that the process itself may have. Guards the call to discovery, probes and call-outs where the
/// system gives fewer than the platform says: clients, who may always be more, would take the last.
fn descriptors() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
    usize::try_from(limit).unwrap_or(usize::MAX)
}

fn address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{key}: {text:?} is no address and port; allowed is address:port"))
}

/// Each line of what was told, put as `named` puts it.
fn each(told: &str, named: impl Fn(&str) -> String) -> String {
    told.lines().map(named).collect::<Vec<_>>().join("\n")
}

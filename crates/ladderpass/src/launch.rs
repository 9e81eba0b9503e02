//! The configuration that a router starts with, and reads again in full at SIGHUP: the variables `RELAY_*`, the JSON file
//! that `RELAY_CONFIG` names, and the operator's file. All defaults are filled in here.
//!
//! No other module reads the environment. What is wrong is reported whole, one error a line; after an error nothing
//! of it is used.

mod environment;
mod errors;
mod file;
mod summary;

pub use errors::{AddressError, ConfigFileError, LaunchError, LaunchErrors};

use crate::discovery::Listing;
use crate::faulty::Faulty;
use crate::io_errors::is_transient_at_start;
use crate::limits::Limits;
use environment::{CONFIG_PATH, Environment, FaultInjection, LISTEN_ADDRESS, ROUTER_NAME};
use file::{ConfigFile, parse_config_file};
use ladderpass_config::DeploymentSettings;
use ladderpass_config::operator::{self, Operator};
use ladderpass_overload::ResourceLimits;
use ladderpass_routing::Span;
use nix::sys::resource::{Resource, getrlimit};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long a start waits for files that can't be opened for a moment, such as for want of descriptors.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(2);
const START_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Everything that a router is configured with.
#[derive(Debug)]
pub struct Launch {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// What holds until a restart.
    pub fixed: Fixed,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The endpoint list to start with, until discovery has sent another.
    pub cached_endpoints: Listing,
    /// Settings of the deployment.
    pub settings: DeploymentSettings,
    /// Sizes, counts and timeouts of this router.
    pub limits: Limits,
    /// What overload is measured against.
    pub resource_limits: ResourceLimits,
    /// Descriptors as configured; the process may be allowed fewer.
    pub configured_sockets: usize,
    /// Settings of the installation.
    pub operator: Operator,
    /// What a build for fault injection does wrong.
    pub faulty: Faulty,
    /// By how much the wall clock is off, in a build for fault injection.
    pub clock_offset: Span,
}

/// What a running process can't change any more.
#[derive(Debug)]
pub struct Fixed {
    /// The router's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    settings: Value,
}

impl Fixed {
    /// The variables and keys whose values differ: they wait for a restart.
    pub fn differing(&self, other: &Fixed) -> Vec<String> {
        let mut keys = Vec::new();
        if self.name != other.name {
            keys.push(ROUTER_NAME.to_owned());
        }
        if self.listen != other.listen {
            keys.push(LISTEN_ADDRESS.to_owned());
        }
        if let (Some(own), Some(others)) = (self.settings.as_object(), other.settings.as_object()) {
            let all = own.keys().chain(others.keys().filter(|key| !own.contains_key(*key)));
            let different = all.filter(|key| own.get(*key) != others.get(*key));
            keys.extend(different.map(|key| format!("settings.{key}")));
        }
        keys
    }
}

impl Launch {
    /// Reads the configuration at the start, and waits a while for files that can't be opened for a moment.
    ///
    /// # Errors
    /// As [`Launch::read`].
    pub fn read_at_start(
        variable: impl Fn(&str) -> Option<String>,
        operator_path: Option<&Path>,
    ) -> Result<Launch, LaunchErrors> {
        let give_up_at = Instant::now() + START_RETRY_TIMEOUT;
        let config_path = variable(CONFIG_PATH);
        for path in [config_path.as_deref().map(Path::new), operator_path].into_iter().flatten() {
            while std::fs::read(path).is_err_and(|error| is_transient_at_start(&error))
                && Instant::now() < give_up_at
            {
                std::thread::sleep(START_RETRY_INTERVAL);
            }
        }
        Launch::read(variable, operator_path)
    }

    /// Reads the configuration from the variables that `variable` gives, the file that one of them names, and the
    /// operator's file.
    ///
    /// # Errors
    /// Everything that is wrong with it: one wrong part hides no error of another.
    pub fn read(
        variable: impl Fn(&str) -> Option<String>,
        operator_path: Option<&Path>,
    ) -> Result<Launch, LaunchErrors> {
        let mut errors = LaunchErrors::default();
        let environment = Environment::read(&variable, &mut errors);
        let file = environment.config_path.as_deref().and_then(|path| read_config_file(path, &mut errors));
        let injection = FaultInjection::read(&variable, &mut errors);
        let operator = operator_path.and_then(|path| read_operator_file(path, &mut errors));
        let launch = file.and_then(|file| Launch::assemble(environment, file, injection));
        match launch {
            Some(mut launch) if errors.is_empty() => {
                launch.set_operator(operator.unwrap_or_default());
                Ok(launch)
            }
            _ => Err(errors),
        }
    }

    /// What holds, defaults included, one thing a line.
    pub fn summary(&self) -> String {
        summary::summarize(self)
    }

    /// The configuration without the operator's file; none where a part of it could not be read.
    fn assemble(environment: Environment, file: ConfigFile, injection: FaultInjection) -> Option<Launch> {
        let mut settings = file.settings;
        let descriptors = file.sockets.min(open_file_limit());
        let limits = Limits::of(file.memory_mb, descriptors, &settings);
        // On sockets nothing comes unasked, also where the settings say that lists are pushed. There the endpoint list
        // of discovery counts as known to the router at once, so a lost watch has to be back within the drain grace.
        settings
            .deployment
            .endpoint_poll_interval
            .get_or_insert(settings.drain_grace.unwrap_or(limits.notified_within));
        let resource_limits = ResourceLimits {
            cores: file.cores,
            memory_bytes: usize::try_from(file.memory_mb << 20).unwrap_or(usize::MAX),
            buffer_bytes: limits.pause_clients_at_buffer_bytes,
            descriptors,
        };
        let fixed =
            Fixed { name: environment.name?, listen: environment.listen?, settings: file.settings_json };
        Some(Launch {
            discovery: file.discovery.or(environment.discovery)?,
            fixed,
            seed: file.seed,
            cached_endpoints: file.cached_endpoints,
            settings,
            limits,
            resource_limits,
            configured_sockets: file.sockets,
            operator: Operator::default(),
            faulty: injection.faulty?,
            clock_offset: injection.clock_offset?,
        })
    }

    fn set_operator(&mut self, operator: Operator) {
        // The users' protocol has no messages between routers: their addresses come from the operator.
        let deployment = &mut self.settings.deployment;
        deployment.gossip = operator.peers.is_some();
        if let Some(peers) = &operator.peers {
            // Until the routers have found each other there are as many as are listed.
            let others = peers.listed.iter().filter(|&&address| address != peers.address).count();
            (deployment.router_index, deployment.router_count) = (0, others as u32 + 1);
        }
        self.operator = operator;
    }
}

fn read_config_file(path: &str, errors: &mut LaunchErrors) -> Option<ConfigFile> {
    let in_file = |error: ConfigFileError| LaunchError::ConfigFile { path: path.to_owned(), error };
    let text = std::fs::read_to_string(path).map_err(|error| in_file(error.into()));
    match parse_config_file(&errors.ok_or_push(text)?) {
        Ok(file) => Some(file),
        Err(file_errors) => {
            errors.extend(file_errors, in_file);
            None
        }
    }
}

fn read_operator_file(path: &Path, errors: &mut LaunchErrors) -> Option<Operator> {
    let unreadable = |source| LaunchError::OperatorFileUnreadable { path: path.to_owned(), source };
    let text = errors.ok_or_push(std::fs::read_to_string(path).map_err(unreadable))?;
    match operator::read(&text) {
        Ok(operator) => Some(operator),
        Err(file_errors) => {
            errors.extend(file_errors, |error| LaunchError::OperatorFile { path: path.to_owned(), error });
            None
        }
    }
}

/// Descriptors that the system lets this process open. Where these are fewer than configured, clients, who may always
/// be more, would otherwise take the last ones from discovery, health checks and attempts.
fn open_file_limit() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
    usize::try_from(limit).unwrap_or(usize::MAX)
}

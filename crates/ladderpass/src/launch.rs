//! The configuration that a router reads at its start, and again in full at SIGHUP: the variables `RELAY_*`, the JSON
//! file that `RELAY_CONFIG` names, and the operator's file. All defaults are filled in here.
//!
//! No other module interprets environment variables, except that `main.rs` reads `RUST_LOG`. All errors are reported
//! together, one per line, and a configuration with an error is not used at all.

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

/// How long the start of the router waits for configuration files that temporarily can't be read, for example because
/// the system is out of descriptors.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(2);
const START_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The complete configuration of a router.
#[derive(Debug)]
pub struct Launch {
    /// The address of discovery, which sends the endpoint list.
    pub discovery: SocketAddr,
    /// The part of the configuration that only a restart of the process changes.
    pub fixed: Fixed,
    /// The seed of the router's random number generators.
    pub seed: u64,
    /// The endpoint list that the router uses until discovery has sent one.
    pub cached_endpoints: Listing,
    /// The settings of the deployment, such as its methods.
    pub settings: DeploymentSettings,
    /// The limits of this router on sizes, counts and times.
    pub limits: Limits,
    /// The resources of the machine relative to which this router's overload is measured.
    pub resource_limits: ResourceLimits,
    /// The configured number of descriptors. The system may allow the process fewer.
    pub configured_sockets: usize,
    /// The settings of the operator's file.
    pub operator: Operator,
    /// The deliberate fault, which only a build for fault injection can have.
    pub faulty: Faulty,
    /// The offset that is added to the wall clock, which only a build for fault injection can have.
    pub clock_offset: Span,
}

/// The part of the configuration that can't change while the process runs.
#[derive(Debug)]
pub struct Fixed {
    /// The router's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    settings: Value,
}

impl Fixed {
    /// Returns the environment variables and the keys of files whose values differ from those in `other`. Such a change
    /// takes effect only after a restart.
    pub fn differing(&self, other: &Fixed) -> Vec<String> {
        let mut keys = Vec::new();
        if self.name != other.name {
            keys.push(ROUTER_NAME.to_owned());
        }
        if self.listen != other.listen {
            keys.push(LISTEN_ADDRESS.to_owned());
        }
        if let (Some(settings), Some(other_settings)) =
            (self.settings.as_object(), other.settings.as_object())
        {
            let all = settings.keys().chain(other_settings.keys().filter(|key| !settings.contains_key(*key)));
            let different = all.filter(|key| settings.get(*key) != other_settings.get(*key));
            keys.extend(different.map(|key| format!("settings.{key}")));
        }
        keys
    }
}

impl Launch {
    /// Reads the configuration at the start of the process. Waits up to `START_RETRY_TIMEOUT` for files that
    /// temporarily can't be read.
    ///
    /// # Errors
    /// Returns the errors of [`Launch::read`].
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

    /// Reads the configuration from the environment variables that `variable` returns, the file that `RELAY_CONFIG`
    /// names, and the operator's file.
    ///
    /// # Errors
    /// Returns the errors of all parts of the configuration: an error in one part does not hide errors in another.
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

    /// Returns the effective configuration, defaults included, with one value per line.
    pub fn summary(&self) -> String {
        summary::summarize(self)
    }

    /// Combines the parts of the configuration, without the operator's file. Returns `None` if a part could not be
    /// read.
    fn assemble(environment: Environment, file: ConfigFile, injection: FaultInjection) -> Option<Launch> {
        let mut settings = file.settings;
        let descriptors = file.sockets.min(open_file_limit());
        let limits = Limits::of(file.memory_mb, descriptors, &settings);
        // A router on sockets receives the endpoint list only in response to a request, even if the settings say that
        // lists are pushed. With those settings, a change of discovery's list counts as known to the router
        // immediately, so a lost watch must be replaced within the time for which a member may still be sent RPCs after
        // the notice that the member drains (`DeploymentSettings::drain_grace`).
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
        // The platform's protocol has no messages between routers, so the operator's file gives the routers' addresses.
        let deployment = &mut self.settings.deployment;
        deployment.gossip = operator.peers.is_some();
        if let Some(peers) = &operator.peers {
            // Until the routers have found each other, the number of routers listed in the operator's file is used as
            // the number of routers.
            let others = peers.listed.iter().filter(|&&address| address != peers.address).count();
            (deployment.router_index, deployment.router_count) = (0, others as u32 + 1);
        }
        self.operator = operator;
    }
}

fn read_config_file(path: &str, errors: &mut LaunchErrors) -> Option<ConfigFile> {
    let to_launch_error = |error: ConfigFileError| LaunchError::ConfigFile { path: path.to_owned(), error };
    let text = std::fs::read_to_string(path).map_err(|error| to_launch_error(error.into()));
    match parse_config_file(&errors.ok_or_push(text)?) {
        Ok(file) => Some(file),
        Err(file_errors) => {
            errors.extend(file_errors, to_launch_error);
            None
        }
    }
}

fn read_operator_file(path: &Path, errors: &mut LaunchErrors) -> Option<Operator> {
    let to_launch_error = |source| LaunchError::OperatorFileUnreadable { path: path.to_owned(), source };
    let text = errors.ok_or_push(std::fs::read_to_string(path).map_err(to_launch_error))?;
    match operator::read(&text) {
        Ok(operator) => Some(operator),
        Err(file_errors) => {
            errors.extend(file_errors, |error| LaunchError::OperatorFile { path: path.to_owned(), error });
            None
        }
    }
}

/// Returns how many descriptors the system lets this process open. This number may be lower than the configured number.
/// If it were ignored, clients would take the last descriptors from discovery, health checks and attempts, since any
/// number of clients may connect.
fn open_file_limit() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
    usize::try_from(limit).unwrap_or(usize::MAX)
}

//! The JSON file that `RELAY_CONFIG` names. It contains the seed, the limits of the machine, the cached endpoint list,
//! the settings of the deployment and, optionally, the address of discovery.

use super::environment::parse_address;
use super::errors::{ConfigFileError, ConfigFileErrors};
use crate::discovery::Listing;
use ladderpass_config::DeploymentSettings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

const MAX_MEMORY_MB: u64 = 1 << 30;
const MIN_SOCKETS: usize = 64;
const DEFAULT_CORES: f64 = 1.0;
const MAX_CORES: f64 = 1024.0;

/// The checked content of the JSON file that `RELAY_CONFIG` names.
pub(super) struct ConfigFile {
    /// The address of discovery, if the file contains one. This address overrides the variable `RELAY_DISCOVERY`, which
    /// can't be changed while the process runs.
    pub(super) discovery: Option<SocketAddr>,
    pub(super) seed: u64,
    pub(super) cores: f64,
    pub(super) memory_mb: u64,
    pub(super) sockets: usize,
    pub(super) cached_endpoints: Listing,
    pub(super) settings: DeploymentSettings,
    /// The unparsed settings of the deployment, to find the keys that differ after a reload.
    pub(super) settings_json: Value,
}

/// The structure of the JSON file that `RELAY_CONFIG` names.
#[derive(Deserialize)]
// The attribute `expecting` keeps the text of the error for a value of the wrong type, because operators know this
// text.
#[serde(expecting = "struct Told")]
struct ConfigFileJson {
    discovery: Option<String>,
    seed: String,
    limits: MachineLimits,
    #[serde(rename = "known")]
    cached_endpoints: Listing,
    settings: Value,
}

/// The resources of the machine that the router may use, as the JSON file states them.
#[derive(Deserialize)]
// The attribute `expecting` keeps the text of the error for a value of the wrong type, because operators know this
// text.
#[serde(expecting = "struct Allowed")]
struct MachineLimits {
    cores: Option<f64>,
    memory_mb: u64,
    sockets: usize,
}

/// Parses and checks the text of the JSON file that `RELAY_CONFIG` names.
pub(super) fn parse_config_file(text: &str) -> Result<ConfigFile, ConfigFileErrors> {
    let mut errors = ConfigFileErrors::default();
    let file = ladderpass_config::parse(&mut serde_json::Deserializer::from_str(text));
    let Some(file) = errors.ok_or_push(file.map_err(ConfigFileError::from)) else { return Err(errors) };
    let ConfigFileJson { discovery, seed, limits, cached_endpoints, settings: settings_json } = file;
    let seed = u64::from_str_radix(&seed, 16).map_err(|_| ConfigFileError::Seed(seed));
    let seed = errors.ok_or_push(seed);
    let discovery = discovery
        .and_then(|text| errors.ok_or_push(parse_address("discovery", &text).map_err(ConfigFileError::from)));
    let cores = limits.cores.unwrap_or(DEFAULT_CORES);
    check_limits(&limits, cores, &mut errors);
    let settings = ladderpass_config::read(&settings_json);
    let settings = errors.ok_or_push(settings.map_err(ConfigFileError::from));
    match (seed, settings) {
        (Some(seed), Some(settings)) if errors.is_empty() => Ok(ConfigFile {
            discovery,
            seed,
            cores,
            memory_mb: limits.memory_mb,
            sockets: limits.sockets,
            cached_endpoints,
            settings,
            settings_json,
        }),
        _ => Err(errors),
    }
}

fn check_limits(limits: &MachineLimits, cores: f64, errors: &mut ConfigFileErrors) {
    if limits.memory_mb == 0 || limits.memory_mb > MAX_MEMORY_MB {
        errors.push(ConfigFileError::Memory { max: MAX_MEMORY_MB });
    }
    if limits.sockets < MIN_SOCKETS {
        errors.push(ConfigFileError::Sockets { sockets: limits.sockets, min: MIN_SOCKETS });
    }
    if !(cores > 0.0 && cores <= MAX_CORES) {
        errors.push(ConfigFileError::Cores { cores, max: MAX_CORES });
    }
}

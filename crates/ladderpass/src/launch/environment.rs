//! The environment variables `RELAY_*`, and the variables of builds for fault injection.

use super::errors::{AddressError, LaunchError, LaunchErrors};
use crate::faulty::{self, Faulty};
use ladderpass_routing::Span;
use std::net::SocketAddr;

/// The name of the environment variable with the path of the JSON file.
pub(super) const CONFIG_PATH: &str = "RELAY_CONFIG";
/// The name of the environment variable with the router's name.
pub(super) const ROUTER_NAME: &str = "RELAY_NAME";
/// The name of the environment variable with the address that clients connect to.
pub(super) const LISTEN_ADDRESS: &str = "RELAY_LISTEN";

const DISCOVERY_ADDRESS: &str = "RELAY_DISCOVERY";

/// The values of the environment variables that every router needs. A value that is missing or invalid is `None`.
pub(super) struct Environment {
    pub(super) name: Option<String>,
    pub(super) listen: Option<SocketAddr>,
    pub(super) discovery: Option<SocketAddr>,
    pub(super) config_path: Option<String>,
}

impl Environment {
    pub(super) fn read(variable: &impl Fn(&str) -> Option<String>, errors: &mut LaunchErrors) -> Environment {
        let read = |name, expected| require(variable, name, expected);
        let read_address = |name| -> Result<SocketAddr, LaunchError> {
            Ok(parse_address(name, &require(variable, name, "address:port")?)?)
        };
        Environment {
            name: errors.ok_or_push(read(ROUTER_NAME, "the router's name")),
            listen: errors.ok_or_push(read_address(LISTEN_ADDRESS)),
            discovery: errors.ok_or_push(read_address(DISCOVERY_ADDRESS)),
            config_path: errors.ok_or_push(read(CONFIG_PATH, "the path of a JSON file")),
        }
    }
}

/// The settings of a build for fault injection, from the variables of the environment. In builds without the feature
/// `faulty` these settings have no effect. A setting whose value is invalid is `None`.
pub(super) struct FaultInjection {
    pub(super) faulty: Option<Faulty>,
    pub(super) clock_offset: Option<Span>,
}

impl FaultInjection {
    pub(super) fn read(
        variable: &impl Fn(&str) -> Option<String>,
        errors: &mut LaunchErrors,
    ) -> FaultInjection {
        let faulty = Faulty::read(variable("LADDERPASS_FAULTY"));
        let clock_offset = faulty::clock_offset(variable("LADDERPASS_CLOCK_MS"));
        FaultInjection {
            faulty: errors.ok_or_push(faulty.map_err(LaunchError::FaultInjection)),
            clock_offset: errors.ok_or_push(clock_offset.map_err(LaunchError::FaultInjection)),
        }
    }
}

/// Parses the address that a variable or a key of the JSON file holds.
pub(super) fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, AddressError> {
    text.parse().map_err(|_| AddressError { key, text: text.to_owned() })
}

/// Returns the value of an environment variable, or an error if the variable is not set or is empty.
fn require(
    variable: &impl Fn(&str) -> Option<String>,
    name: &'static str,
    expected: &'static str,
) -> Result<String, LaunchError> {
    let value = variable(name).filter(|value| !value.is_empty());
    value.ok_or(LaunchError::NotSet { variable: name, expected })
}

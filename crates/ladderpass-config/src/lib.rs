//! Reads and checks the configuration of a deployment.
//!
//! - [`read`]: the settings object of the users' protocol, into the [`Deployment`](ladderpass_routing::Deployment) that
//!   routing needs and the other [`DeploymentSettings`]. Unknown keys are ignored; an error names the key.
//! - [`operator`]: the operator's YAML file.
//! - [`gossip`]: the text form of the messages between routers.
//! - [`names`]: ids of the protocol as small indices, and as hashes that all routers share.

mod deployment;
mod error_list;
mod errors;
pub mod gossip;
pub mod names;
pub mod operator;
mod settings;

pub use deployment::{DeploymentSettings, read};
pub use error_list::ErrorList;
pub use errors::{JsonError, SettingsError, parse};
pub use settings::{IN_FLIGHT_COLUMN, POSITION_COLUMN, PRIMARY_COLUMN};

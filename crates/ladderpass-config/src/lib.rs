//! Reads and checks the configuration of a deployment.
//!
//! - [`read`] converts the settings object of the users' protocol into [`DeploymentSettings`], which contain the
//!   [`Deployment`](ladderpass_routing::Deployment) that the routing core needs. It ignores unknown keys, and its
//!   errors name the key.
//! - [`operator`] reads the operator's YAML file.
//! - [`gossip`] encodes and decodes the gossip messages between routers.
//! - [`names`] maps names of the protocol to small indices within one router, and to hashes that all routers share.

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

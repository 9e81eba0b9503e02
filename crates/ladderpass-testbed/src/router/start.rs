//! Options for the start of a router.

use ladderpass_emulator::scenario::RouterLimits;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Options for the start of a router.
#[derive(Clone, Debug)]
pub struct Start {
    /// Path of the program.
    pub binary: PathBuf,
    /// Cores, memory and sockets that the router's settings allow.
    pub allowed: RouterLimits,
    /// Text of the operator's file, if the router gets one.
    pub operator: Option<String>,
    /// Core that the router is pinned to, if any.
    pub cpu: Option<usize>,
    /// Whether the router's log is also printed to stderr.
    pub print_log: bool,
    /// Value of `RUST_LOG` in the environment of the process.
    pub log: String,
    /// Value of `LADDERPASS_FAULTY`, which takes effect in a build with the feature `faulty`.
    pub faulty: Option<String>,
    /// Offset of the router's wall clock in milliseconds. An offset other than zero needs a build with the feature `faulty`.
    pub clock_ms: i32,
    /// Address to listen on. Without one, [`free_loopback_address`](super::free_loopback_address) chooses it.
    pub listen: Option<SocketAddr>,
    /// Arguments that precede the router's own arguments, for a program that contains more than the router.
    pub arguments: Vec<String>,
    /// Environment variables of the process besides those for the router's settings.
    pub variables: Vec<(String, String)>,
}

impl Start {
    /// Returns the options for a router with default limits and no optional settings.
    pub fn new(binary: &Path) -> Start {
        Start {
            binary: binary.to_owned(),
            allowed: RouterLimits { cores: 1.0, memory_mb: 192, sockets: 4096 },
            operator: None,
            cpu: None,
            print_log: false,
            log: "info".into(),
            faulty: None,
            clock_ms: 0,
            listen: None,
            arguments: Vec::new(),
            variables: Vec::new(),
        }
    }
}

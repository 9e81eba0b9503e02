//! How a router is started.

use ladderpass_emulator::scenario::RouterLimits;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// How a router is started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program.
    pub binary: PathBuf,
    /// Cores, memory and sockets that its settings allow it.
    pub allowed: RouterLimits,
    /// Text of its operator's file, if it gets one.
    pub operator: Option<String>,
    /// The core that it is pinned to, if any.
    pub cpu: Option<usize>,
    /// Print its log to stderr too.
    pub print_log: bool,
    /// `RUST_LOG` of the process.
    pub log: String,
    /// `LADDERPASS_FAULTY` of a build with the feature `faulty`.
    pub faulty: Option<String>,
    /// Offset of its wall clock in milliseconds; needs a build with the feature `faulty`.
    pub clock_ms: i32,
    /// Where it listens; without it, an address of [`free_loopback_address`](super::free_loopback_address).
    pub listen: Option<SocketAddr>,
    /// Arguments before all others, for a program that is more than the router.
    pub arguments: Vec<String>,
    /// Further environment variables.
    pub variables: Vec<(String, String)>,
}

impl Start {
    /// A router with default limits and nothing optional.
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

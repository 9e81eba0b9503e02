//! Addresses of a simulation, and the settings of its routers, which are written to the files that a router process reads.

use super::shape::Shape;
use ladderpass::launch::Launch;
use ladderpass_emulator::Scenario;
use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_routing::Time;
use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Simulated time at the start of each simulation.
pub(super) const EPOCH: Time = Time::from_nanos(1_796_000_000_000_000_000);
/// Maximum number of routers in the list of peers that each router is configured with.
const LISTED_PEERS: usize = 3;
const DISCOVERY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(127, 3, 0, 1)), 8500);
const ROUTER_NETWORK: u8 = 1;
const MEMBER_NETWORK: u8 = 2;
/// Number of routers or members in each /24 block of their network.
const ADDRESSES_PER_BLOCK: usize = 250;

/// The router or member that owns an address, by index.
pub(super) enum AddressOwner {
    Router(usize),
    Member(usize),
}

/// Returns the address of a router.
pub fn router_address(router: usize) -> SocketAddr {
    SocketAddr::from((ip_of(ROUTER_NETWORK, router), 7000))
}

pub(super) fn member_address(member: usize) -> SocketAddr {
    SocketAddr::from((ip_of(MEMBER_NETWORK, member), 5432))
}

fn ip_of(network: u8, index: usize) -> Ipv4Addr {
    let (block, offset) = (index / ADDRESSES_PER_BLOCK, index % ADDRESSES_PER_BLOCK);
    Ipv4Addr::new(127, network, block as u8, (1 + offset) as u8)
}

/// Returns the router or member that an address belongs to, or `None` for the address of discovery.
pub(super) fn address_owner(address: SocketAddr) -> Option<AddressOwner> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, network, block, offset] = address.ip().octets();
    let index = usize::from(block) * ADDRESSES_PER_BLOCK + usize::from(offset).checked_sub(1)?;
    match network {
        ROUTER_NETWORK => Some(AddressOwner::Router(index)),
        MEMBER_NETWORK => Some(AddressOwner::Member(index)),
        _ => None,
    }
}

/// Returns the id of a member in the endpoint list.
pub fn member_id(member: usize) -> String {
    format!("db-{member:04}")
}

/// Returns a member's entry in the endpoint list as JSON.
pub(super) fn list_entry(shape: &Shape, member: usize, primary: bool, lifecycle: &str) -> String {
    let zone = shape.zone_of_member(member);
    serde_json::json!({
        "instanceId": member_id(member), "hostPort": member_address(member).to_string(),
        "zone": format!("z{zone}"), "machineType": "k", "cell": shape.group_of(member),
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        "role": if primary { "leader" } else { "follower" },
    })
    .to_string()
}

fn write_temporary_file(name: &str, text: &str) -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let index = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("ladderpass-hollow-{}-{index}-{name}", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path)
}

/// Reads the settings of one router from files and variables, as a router process does. `config` is a file that
/// [`write_config`] wrote, `routers` is the number of routers, and `fleet` and `peers` have the meaning that they have in
/// [`Shape`].
///
/// # Errors
/// If the operator's file can't be written, or the settings can't be read.
pub fn read_launch(
    config: &Path,
    router: usize,
    routers: usize,
    fleet: bool,
    peers: bool,
) -> io::Result<Launch> {
    let address = router_address(router);
    let mut text = String::new();
    if peers {
        let listed: Vec<String> =
            (0..routers.min(LISTED_PEERS)).map(|peer| format!("'{}'", router_address(peer))).collect();
        let listed = listed.join(", ");
        // Writing to a string can't fail.
        let _ =
            writeln!(text, "peers: {{listen: '{address}', listed: [{listed}], networks: ['127.0.0.0/8']}}");
    }
    if fleet {
        text.push_str("fleet: {sheds: true, budgets: true}\n");
    }
    let operator = write_temporary_file("operator.yaml", &text)?;
    let variable = |key: &str| {
        Some(match key {
            "RELAY_NAME" => format!("r{router}"),
            "RELAY_LISTEN" => address.to_string(),
            "RELAY_DISCOVERY" => DISCOVERY.to_string(),
            "RELAY_CONFIG" => config.to_str()?.to_owned(),
            _ => return None,
        })
    };
    let launch = Launch::read(variable, (!text.is_empty()).then_some(operator.as_path()));
    std::fs::remove_file(&operator)?;
    launch.map_err(io::Error::other)
}

/// Writes the settings that all routers of a simulation share to a temporary file, and returns its path. `cached_entries`
/// are the entries of the cached endpoint list.
///
/// # Errors
/// If the file can't be written.
pub fn write_config(shape: &Shape, cached_entries: &str) -> io::Result<PathBuf> {
    let scenario = Scenario { groups: shape.groups as u32, ..Scenario::default() };
    let allowed = RouterLimits { cores: 1.0, memory_mb: 1024, sockets: 65_536 };
    let text = scenario.router_config(EPOCH, shape.seed, &allowed, &[]);
    let text = text.replace("\"instances\":[]", &format!("\"instances\":[{cached_entries}]"));
    write_temporary_file("config.json", &text)
}

//! Start parameters of each router of a drill: its program, operator file and clock.

use crate::drill::Drill;
use crate::router::Start;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Number of routers, from r0 on, that each router lists as peers. A router discovers the other routers through these.
const LISTED_PEERS: usize = 3;

/// The programs that a drill starts.
#[derive(Clone, Copy)]
pub struct Programs<'a> {
    /// The router under test.
    pub router: &'a Path,
    /// The router built with the feature `faulty`, for routers with a fault switch or a clock offset.
    pub faulty: Option<&'a Path>,
    /// The router of an earlier version, for the drill's `earlier` routers.
    pub earlier: Option<&'a Path>,
}

/// Returns how a router is started. `advertised` holds, by router, the address to which others send their datagrams.
pub(super) fn router_start(
    drill: &Drill,
    programs: Programs<'_>,
    router: usize,
    listen: SocketAddr,
    advertised: &[SocketAddr],
) -> io::Result<Start> {
    let name = format!("r{router}");
    let is_earlier = drill.earlier.contains(&name);
    let faulty_switch = drill.faulty.get(&name).cloned();
    let clock_ms = drill.clocks.get(&name).copied().unwrap_or(0);
    let missing = |flag: &str| io::Error::other(format!("{name} needs {flag}"));
    let binary = match (is_earlier, &faulty_switch, clock_ms) {
        (true, ..) => programs.earlier.ok_or_else(|| missing("--earlier"))?,
        (_, None, 0) => programs.router,
        _ => programs.faulty.ok_or_else(|| missing("--faulty"))?,
    };
    let peers = match (drill.peers, is_earlier) {
        (false, _) => String::new(),
        (_, true) => earlier_peers_setting(router, listen, advertised),
        _ => peers_setting(drill, router, listen, advertised),
    };
    let is_quiet = drill.quiet.contains(&name);
    // The earlier program rejects keys that it does not know, so it does not get the drill's operator text.
    let operator = if is_earlier { peers } else { format!("{peers}\n{}", drill.operator) };
    Ok(Start {
        operator: (!is_quiet).then_some(operator),
        log: drill.log.clone(),
        faulty: faulty_switch,
        clock_ms,
        listen: Some(listen),
        ..Start::new(binary)
    })
}

/// Returns the key `peers` of a router's operator file.
fn peers_setting(drill: &Drill, router: usize, listen: SocketAddr, advertised: &[SocketAddr]) -> String {
    let mut listed: Vec<SocketAddr> = advertised.iter().take(LISTED_PEERS).copied().collect();
    // Routers of an earlier version can't be discovered through other routers, so all routers of an earlier version are
    // listed.
    let earlier =
        (LISTED_PEERS..advertised.len()).filter(|other| drill.earlier.contains(&format!("r{other}")));
    listed.extend(earlier.map(|other| advertised[other]));
    format!(
        "peers: {{listen: '{listen}', address: '{}', listed: [{}], networks: ['127.0.0.0/8']}}",
        advertised[router],
        quoted_list(&listed)
    )
}

/// Returns the key `peers` in the format of the earlier version. The key lists all routers, with the router's own
/// listen address at its own index.
fn earlier_peers_setting(router: usize, listen: SocketAddr, advertised: &[SocketAddr]) -> String {
    let all: Vec<SocketAddr> =
        (0..advertised.len()).map(|other| if other == router { listen } else { advertised[other] }).collect();
    format!("peers: {{me: {router}, all: [{}]}}", quoted_list(&all))
}

fn quoted_list(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(|address| format!("'{address}'")).collect::<Vec<_>>().join(", ")
}

/// Returns the address to which other routers send datagrams for a router, from the router's operator file.
pub(super) fn advertised_address(start: &Start) -> Option<SocketAddr> {
    let text = start.operator.as_ref()?;
    let (_, rest) = text.split_once("address: '")?;
    rest.split('\'').next()?.parse().ok()
}

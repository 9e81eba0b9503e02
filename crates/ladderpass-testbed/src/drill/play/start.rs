//! How each router of a drill is started: its program, its operator's file, its clock.

use crate::drill::Drill;
use crate::router::Start;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Routers that each router has in its list of peers; it finds the others through them.
const LISTED_PEERS: usize = 3;

/// The programs that a drill starts.
#[derive(Clone, Copy)]
pub struct Programs<'a> {
    /// The router.
    pub router: &'a Path,
    /// One built with the feature `faulty`, for routers with a switch or a clock offset.
    pub faulty: Option<&'a Path>,
    /// One of an earlier version, for the drill's `earlier` routers.
    pub earlier: Option<&'a Path>,
}

/// How one router is started. `advertised` are the addresses at which routers send datagrams to each other.
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
    // An earlier program would refuse keys that it doesn't know.
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

/// `peers` of the operator's file.
fn peers_setting(drill: &Drill, router: usize, listen: SocketAddr, advertised: &[SocketAddr]) -> String {
    let mut listed: Vec<SocketAddr> = advertised.iter().take(LISTED_PEERS).copied().collect();
    // Routers of an earlier version can't be found through others.
    let earlier =
        (LISTED_PEERS..advertised.len()).filter(|other| drill.earlier.contains(&format!("r{other}")));
    listed.extend(earlier.map(|other| advertised[other]));
    format!(
        "peers: {{listen: '{listen}', address: '{}', listed: [{}], networks: ['127.0.0.0/8']}}",
        advertised[router],
        quoted_list(&listed)
    )
}

/// `peers` in the form of the earlier version: all routers, with the own listen address at the own index.
fn earlier_peers_setting(router: usize, listen: SocketAddr, advertised: &[SocketAddr]) -> String {
    let all: Vec<SocketAddr> =
        (0..advertised.len()).map(|other| if other == router { listen } else { advertised[other] }).collect();
    format!("peers: {{me: {router}, all: [{}]}}", quoted_list(&all))
}

fn quoted_list(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(|address| format!("'{address}'")).collect::<Vec<_>>().join(", ")
}

/// The address at which other routers send datagrams to a router, by its own operator's file.
pub(super) fn advertised_address(start: &Start) -> Option<SocketAddr> {
    let text = start.operator.as_ref()?;
    let (_, rest) = text.split_once("address: '")?;
    rest.split('\'').next()?.parse().ok()
}

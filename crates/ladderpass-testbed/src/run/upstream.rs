//! The addresses at which a router reaches members and discovery, directly or through the fault tool.

use ladderpass_emulator::RunningEmulator;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{Plan, Protocol, Rule, driver};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Addresses at which the router reaches members and discovery.
pub(super) struct Upstream {
    /// Address of each member, in the order of the scenario.
    pub members: Vec<SocketAddr>,
    pub discovery: SocketAddr,
    /// The fault tool, if the router reaches members and discovery through the tool's links.
    pub fault_tool: Option<driver::RunningTool>,
}

impl Upstream {
    /// Starts the fault tool in front of an emulator, whose discovery then returns the addresses of the tool's links.
    pub fn through_fault_tool(
        emulator: &RunningEmulator,
        rules: Vec<Rule>,
        seed: u64,
    ) -> io::Result<Upstream> {
        let links = links(&emulator.addresses, emulator.discovery);
        let plan = Plan { seed, links, rules, ..Plan::default() };
        let fault_tool = driver::RunningTool::start(plan, None)?;
        fault_tool.send_command("watch").map_err(io::Error::other)?;
        let mut members = fault_tool.addresses.clone();
        let discovery = members.pop().unwrap_or(emulator.discovery);
        emulator.set_addresses(&members);
        Ok(Upstream { members, discovery, fault_tool: Some(fault_tool) })
    }
}

/// Returns the links of a fault tool in front of an emulator: one for each member in order, then one for discovery.
pub fn links(members: &[SocketAddr], discovery: SocketAddr) -> Vec<LinkShape> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let member_link = |(index, &to): (usize, &SocketAddr)| LinkShape {
        name: format!("member-{index}"),
        listen,
        to,
        protocol: Protocol::Postgres,
    };
    let mut links: Vec<LinkShape> = members.iter().enumerate().map(member_link).collect();
    links.push(LinkShape { name: "discovery".into(), listen, to: discovery, protocol: Protocol::Http });
    links
}

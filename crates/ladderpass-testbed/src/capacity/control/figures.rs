//! Figures of control traffic at the reference size, computed from the slopes.

use super::reference_size::{GROUPS, MEMBERS, ROUTERS};
use crate::capacity::slope::Slope;

/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;
/// CPU microseconds a second that make up one percent of a core.
const MICROS_PER_PERCENT: f64 = 1e4;

/// Returns the figures under their names in docs/CAPACITY.md. A figure is NaN if a slope that it needs is missing.
pub fn figures(slopes: &[Slope]) -> Vec<(&'static str, f64)> {
    let fit = |name: &str| slopes.iter().find(|slope| slope.name == name).map(Slope::fit);
    let at = |name: &str, x: f64| fit(name).map_or(f64::NAN, |fit| fit.at(x));
    let (routers, groups, members) = (ROUTERS as f64, GROUPS as f64, MEMBERS as f64);
    let max_reports = (routers - 1.0) * groups;
    let membership = at("membership_datagrams", routers);
    let (gossip_with_16_routers, gossip_bytes_with_16_routers) =
        (at("words_datagrams", groups), at("words_bytes", groups));
    let gossip = at("words_by_routers", 1.0 / routers) * groups;
    // The size of a gossip datagram is taken from the measurement with 16 routers.
    let bytes = gossip * (gossip_bytes_with_16_routers / gossip_with_16_routers + HEADER_BYTES)
        + at("membership_bytes", routers)
        + HEADER_BYTES * membership;
    let datagram_us = fit("datagram_cpu").map_or(f64::NAN, |fit| fit.slope);
    // Each gossip datagram that arrives causes one tick.
    let ticks = at("quiet_turns", groups) + gossip - gossip_with_16_routers;
    let cpu_us = gossip * (at("word_cpu", groups) + datagram_us)
        + membership * (at("membership_cpu", routers) + datagram_us)
        + ticks * at("turn_cpu", groups);
    vec![
        ("words_of_16", gossip_with_16_routers),
        ("words_of_16_bytes", gossip_bytes_with_16_routers),
        ("words", gossip),
        ("control_bytes", bytes),
        ("control_cpu", cpu_us / MICROS_PER_PERCENT),
        ("probes_of_a_member", at("probes_by_routers", 1.0 / routers)),
        ("word_cpu", at("word_cpu", groups)),
        ("turn_cpu", at("turn_cpu", groups)),
        ("datagram_cpu", datagram_us),
        ("membership_datagrams", membership),
        ("membership_bytes", at("membership_bytes", routers)),
        ("membership_cpu", at("membership_cpu", routers)),
        ("membership_memory", at("membership_memory", routers)),
        ("admission_bytes", at("admission_bytes", 1.0 / max_reports)),
        ("admission_words", at("admission_words", 1.0 / max_reports)),
        ("death_known", at("death_known", routers.log2())),
        ("list_bytes", at("list_bytes", members)),
        ("list_cpu", at("list_cpu", members)),
    ]
}

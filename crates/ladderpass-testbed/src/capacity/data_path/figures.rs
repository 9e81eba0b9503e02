//! Figures of the data path at the reference size, under their names in docs/CAPACITY.md.

use super::reference_size::{GROUPS, MEMBERS, ROUTERS, STATEMENTS};
use crate::capacity::slope::Slope;

/// Computes the load of a router, of a member and of all routers together from the slopes. Figures of a slope that was not
/// measured are left out.
pub fn figures(slopes: &[Slope]) -> Vec<(&'static str, f64)> {
    let fit = |name: &str| slopes.iter().find(|slope| slope.name == name).map(Slope::fit);
    let at = |name: &str, x: f64| fit(name).map(|fit| fit.at(x));
    let slope_of = |name: &str| fit(name).map(|fit| fit.slope);
    let routers_per_member = ROUTERS / MEMBERS;
    let health_check_tick_us = at("probe_pass_cpu", MEMBERS).map(|nanos| nanos * MEMBERS / 1e3);
    let health_checks = at("probes", STATEMENTS);
    let figures = [
        ("router_links", at("links", MEMBERS)),
        ("router_probes", health_checks),
        ("router_opened", at("opened", STATEMENTS)),
        ("router_clients_open", at("clients_open", STATEMENTS)),
        ("router_queries", at("queries", STATEMENTS)),
        ("router_member_kb", at("member_bytes", STATEMENTS)),
        ("router_turns", at("turns", STATEMENTS)),
        ("router_turn_us", at("turn_cpu_groups", GROUPS)),
        ("router_pass_us", health_check_tick_us),
        (
            "router_passes_ms",
            health_check_tick_us.zip(health_checks).map(|(micros, checks)| micros * checks / 1e3),
        ),
        ("client_kib", slope_of("resting_memory")),
        ("client_descriptors", slope_of("resting_descriptors")),
        ("listed_member_kib", slope_of("member_memory")),
        ("statement_kept_us", slope_of("statement_cpu_kept").map(|ms| ms * 1e3)),
        ("statement_anew_us", slope_of("statement_cpu_anew").map(|ms| ms * 1e3)),
        ("member_links", at("links", MEMBERS).map(|links| links * routers_per_member)),
        ("member_probes", health_checks.map(|checks| checks * routers_per_member)),
        ("member_queries", at("queries", STATEMENTS).map(|queries| queries * routers_per_member)),
        ("member_kb", at("member_bytes", STATEMENTS).map(|kb| kb * routers_per_member)),
        ("all_opened", at("opened", STATEMENTS).map(|opened| opened * ROUTERS)),
    ];
    figures.into_iter().filter_map(|(name, figure)| Some((name, figure?))).collect()
}

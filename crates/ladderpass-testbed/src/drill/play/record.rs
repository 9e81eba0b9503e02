//! The record of a drill, which is made from the testbed after the load, and the check of its history.

use super::start::advertised_address;
use super::testbed::DrillTestbed;
use super::view::{RouterView, parse_view};
use crate::drill::LoggedEvent;
use crate::history_checker::{Absence, ColdStart, History, MemberLink};
use crate::load::Outcome;
use crate::router::Router;
use ladderpass_emulator::{ExecutionLog, time_of};
use ladderpass_fault_injection::TrafficCounts;
use ladderpass_invariants::{Tolerance, Violation};
use ladderpass_routing::Span;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of log lines about panics in a record.
const MAX_PANIC_LINES: usize = 3;

/// The results of a drill.
pub struct DrillRecord {
    /// What the clients of the routers observed.
    pub outcome: Outcome,
    /// What the clients that connected directly to the members observed, if the drill has any.
    pub direct_outcome: Option<Outcome>,
    /// What the members observed.
    pub execution_log: ExecutionLog,
    /// Violations found by the history checker.
    pub violations: Vec<Violation>,
    /// Number of violations of rule 4 (cold members) that the attempts of one router cause by themselves, without the
    /// attempts of the other routers, by index of the router.
    pub slow_start_violations_alone: Vec<usize>,
    /// The members that started cold.
    pub cold_starts: Vec<ColdStart>,
    /// The views that each router logged, by router and in order. The list of a restarted router includes the views
    /// that it logged before the restart.
    pub views: Vec<Vec<RouterView>>,
    /// The lines that each router logged, by router.
    pub logs: Vec<Vec<String>>,
    /// Addresses at which the routers receive datagrams from each other, by router. A router whose operator file has
    /// no such address is left out.
    pub addresses: Vec<SocketAddr>,
    /// Datagrams that each router sent, by router.
    pub sent: Vec<RouterTraffic>,
    /// Names of the rules on datagrams, with the number of datagrams on which each acted.
    pub datagram_hits: Vec<(String, u64)>,
    /// CPU seconds that each router used over the load, by router. For a restarted router, only the time since the last
    /// restart counts. The value is 0 for a router that does not run at the end.
    pub cpu_seconds: Vec<f64>,
    /// Begins and ends of fault events, in order.
    pub event_log: Vec<LoggedEvent>,
    /// Time that the routers took to agree on their view before the load. The time is `None` if the routers did not
    /// agree in time or were not checked for agreement.
    pub settled: Option<Span>,
    /// Times at which routers could not answer.
    pub absences: Vec<Absence>,
    /// Whether each router still ran at the end, by router.
    pub alive: Vec<bool>,
    /// Routers that ended by themselves, and log lines about panics.
    pub router_failures: Vec<String>,
}

/// Datagrams that a router sent, counted from the start of the fault tool.
#[derive(Clone, Copy, Debug)]
pub struct RouterTraffic {
    /// Datagrams sent until the load began.
    pub before: TrafficCounts,
    /// Datagrams sent until the load ended.
    pub after: TrafficCounts,
}

/// State of the routers' processes after the load.
struct RouterResults {
    /// CPU seconds over the load, by router.
    cpu_seconds: Vec<f64>,
    /// Whether each router still ran, by router.
    alive: Vec<bool>,
    /// Routers that ended by themselves, and log lines about panics.
    failures: Vec<String>,
}

impl DrillTestbed<'_> {
    /// Stops all processes and threads of the drill, and checks the history.
    pub fn finish(
        mut self,
        outcome: Outcome,
        settled: Option<Span>,
        sent: Vec<RouterTraffic>,
    ) -> DrillRecord {
        let RouterResults { cpu_seconds, alive, failures } = self.stop_routers();
        self.stop_cpu_hogs();
        let mesh = self.router_links.datagrams.as_ref();
        let datagram_hits = mesh.map_or(Vec::new(), |mesh| mesh.hits());
        let addresses: Vec<SocketAddr> = self.starts.iter().filter_map(advertised_address).collect();
        let links = self.member_links();
        let summary = self.router_links.stop();
        let emulator_started_at = self.emulator.started_at();
        let execution_log = self.emulator.stop();
        let cold_starts =
            ColdStart::all(&self.drill.scenario, emulator_started_at, self.drill.warm_member_rpcs_per_second);
        let answer = Span::from_millis(i64::from(self.drill.grace_ms));
        let history = History {
            scenario: &self.drill.scenario,
            links: &links,
            seed: self.seed,
            journal: &outcome.journal,
            attempts: &summary.attempts,
            tool_started_at: time_of(summary.started_at),
            execution_log: &execution_log,
            absences: &self.absences,
            drain_notices: &self.drain_notices,
            cold_starts: &cold_starts,
            tolerance: Tolerance { answer, ..Tolerance::default() },
        };
        let violations = history.violations();
        let violations_alone = |router| history.slow_start_violations_of(router).len();
        let slow_start_violations_alone = (0..self.drill.routers).map(violations_alone).collect();
        let views =
            self.logs.iter().map(|log| log.iter().filter_map(|line| parse_view(line)).collect()).collect();
        DrillRecord {
            outcome,
            direct_outcome: None,
            execution_log,
            violations,
            slow_start_violations_alone,
            cold_starts,
            views,
            logs: self.logs,
            addresses,
            sent,
            datagram_hits,
            cpu_seconds,
            event_log: self.event_log,
            settled,
            absences: self.absences,
            alive,
            router_failures: failures,
        }
    }

    fn stop_routers(&mut self) -> RouterResults {
        let (mut cpu_seconds, mut alive, mut failures) = (Vec::new(), Vec::new(), Vec::new());
        for router in 0..self.drill.routers {
            let ended = self.routers[router].as_mut().and_then(Router::ended);
            if let Some(code) = ended.filter(|_| !self.terminating[router]) {
                failures.push(format!("r{router} ended with {code:?}"));
            }
            alive.push(self.routers[router].is_some() && ended.is_none());
            let running = self.routers[router].as_ref().filter(|_| ended.is_none());
            let used = running.map(|running| running.resource_usage().cpu_seconds);
            cpu_seconds.push(used.map_or(0.0, |used| used - self.cpu_before[router]));
            if let Some(running) = self.routers[router].take() {
                self.logs[router].extend(running.stop());
            }
        }
        let panics = self.logs.iter().flatten().filter(|line| line.contains("panicked"));
        failures.extend(panics.take(MAX_PANIC_LINES).cloned());
        RouterResults { cpu_seconds, alive, failures }
    }

    /// Returns the links to members, by index in the fault tool. Each router has a link to each member, followed by a
    /// link to discovery.
    fn member_links(&self) -> HashMap<usize, MemberLink> {
        let members = self.drill.scenario.member_count();
        let links_per_router = members + 1;
        (0..self.drill.routers * links_per_router)
            .filter(|link| link % links_per_router < members)
            .map(|link| {
                let member = (link % links_per_router) as u32;
                (link, MemberLink { router: link / links_per_router, member })
            })
            .collect()
    }
}

//! The record of a drill: made from the testbed once the load is over, and checked.

use super::start::advertised_address;
use super::testbed::DrillTestbed;
use super::view::{RouterView, parse_view};
use crate::drill::LoggedEvent;
use crate::history_checker::{Absence, ColdStart, History, MemberLink};
use crate::load::Outcome;
use crate::router::Router;
use ladderpass_emulator::ExecutionLog;
use ladderpass_fault_injection::TrafficCounts;
use ladderpass_invariants::{Tolerance, Violation};
use ladderpass_routing::Span;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Lines about panics that are reported at most.
const MAX_PANIC_LINES: usize = 3;

/// What came of a drill.
pub struct DrillRecord {
    /// What the clients saw.
    pub outcome: Outcome,
    /// What the clients saw that went straight to the members.
    pub direct_outcome: Option<Outcome>,
    /// What the members saw.
    pub execution_log: ExecutionLog,
    /// What the history checker found.
    pub violations: Vec<Violation>,
    /// By router: how many violations of rule 4 (cold members) its own attempts alone make.
    pub slow_start_violations_alone: Vec<usize>,
    /// The members that started cold.
    pub cold_starts: Vec<ColdStart>,
    /// By router, in order; a router that was restarted goes on in its list.
    pub views: Vec<Vec<RouterView>>,
    /// By router: the lines that it has logged.
    pub logs: Vec<Vec<String>>,
    /// By router: where the others send datagrams to it.
    pub addresses: Vec<SocketAddr>,
    /// By router: the datagrams that it has sent.
    pub sent: Vec<RouterTraffic>,
    /// Rules on datagrams, by name, with how many datagrams each has changed.
    pub datagram_hits: Vec<(String, u64)>,
    /// By router: CPU seconds over the load.
    pub cpu_seconds: Vec<f64>,
    /// Begins and ends of fault events.
    pub event_log: Vec<LoggedEvent>,
    /// How long the routers took to agree on their view before the load.
    pub settled: Option<Span>,
    /// When routers could not answer.
    pub absences: Vec<Absence>,
    /// By router: it runs at the end.
    pub alive: Vec<bool>,
    /// Routers that ended by themselves, and panics.
    pub router_failures: Vec<String>,
}

/// Datagrams that a router has sent since its start.
#[derive(Clone, Copy, Debug)]
pub struct RouterTraffic {
    /// Up to the begin of the load.
    pub before: TrafficCounts,
    /// Up to its end.
    pub after: TrafficCounts,
}

/// How the routers' processes came through the load.
struct RouterResults {
    /// By router: CPU seconds over the load.
    cpu_seconds: Vec<f64>,
    /// By router: it still ran.
    alive: Vec<bool>,
    failures: Vec<String>,
}

impl DrillTestbed<'_> {
    /// Stops everything, and checks the history.
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
            tool_started_at: summary.started_at,
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

    /// The links to members, by number in the fault tool. Each router has a link to each member, and then one to discovery.
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

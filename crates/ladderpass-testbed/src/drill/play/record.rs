//! The record of a drill: made from the testbed once the load is over, and checked.

use super::start::advertised_address;
use super::testbed::DrillTestbed;
use super::view::{Viewed, viewed};
use crate::history_checker::{Absence, History, Started};
use crate::load::Outcome;
use crate::router::Router;
use ladderpass_emulator::ExecutionLog;
use ladderpass_fault_injection::TrafficCounts;
use ladderpass_invariants::{Tolerance, Violation};
use ladderpass_routing::{Span, Time};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Lines about panics that are reported at most.
const MAX_PANIC_LINES: usize = 3;

/// What came of a drill.
pub struct DrillRecord {
    /// What the clients saw.
    pub outcome: Outcome,
    /// What the clients saw that went straight to the members.
    pub greedy: Option<Outcome>,
    /// What the members saw.
    pub truth: ExecutionLog,
    /// What the history checker found.
    pub violations: Vec<Violation>,
    /// By router: violations of rule 4 by its own attempts alone.
    pub cold_alone: Vec<usize>,
    /// The members that started cold.
    pub started: Vec<Started>,
    /// By router, in order; a router that was restarted goes on in its list.
    pub views: Vec<Vec<Viewed>>,
    /// By router: the lines that it has logged.
    pub logs: Vec<Vec<String>>,
    /// By router: where the others send datagrams to it.
    pub addresses: Vec<SocketAddr>,
    /// By router: its datagrams before the load and after it.
    pub sent: Vec<(TrafficCounts, TrafficCounts)>,
    /// Rules on datagrams, by name, with how many datagrams each has changed.
    pub datagram_hits: Vec<(String, u64)>,
    /// By router: CPU seconds over the load.
    pub cpu: Vec<f64>,
    /// Begins and ends of fault events.
    pub done: Vec<(Time, String)>,
    /// How long the routers took to agree on their view before the load.
    pub settled: Option<Span>,
    /// When routers could not answer.
    pub absences: Vec<Absence>,
    /// By router: it runs at the end.
    pub alive: Vec<bool>,
    /// Routers that ended by themselves, and panics.
    pub fallen: Vec<String>,
}

/// How the routers' processes came through the load.
struct RouterEnds {
    cpu: Vec<f64>,
    alive: Vec<bool>,
    fallen: Vec<String>,
}

impl DrillTestbed<'_> {
    /// Stops everything, and checks the history.
    pub fn finish(
        mut self,
        outcome: Outcome,
        settled: Option<Span>,
        sent: Vec<(TrafficCounts, TrafficCounts)>,
    ) -> DrillRecord {
        let RouterEnds { cpu, alive, fallen } = self.stop_routers();
        self.stop_cpu_hogs();
        let mesh = self.router_links.datagrams.as_ref();
        let datagram_hits = mesh.map_or(Vec::new(), |mesh| mesh.hits());
        let addresses: Vec<SocketAddr> = self.starts.iter().filter_map(advertised_address).collect();
        let links = self.member_links();
        let left = self.router_links.stop();
        let fleet_started = self.fleet.started_at();
        let truth = self.fleet.stop();
        let started = Started::all(&self.drill.scenario, fleet_started, self.drill.bears);
        let grace =
            Tolerance { answer: Span::from_millis(i64::from(self.drill.grace_ms)), ..Tolerance::default() };
        let history = History {
            scenario: &self.drill.scenario,
            links: &links,
            seed: self.seed,
            journal: &outcome.journal,
            passed: &left.attempts,
            tool_began: left.started_at,
            truth: &truth,
            absences: &self.absences,
            drained: &self.drained,
            started: &started,
            grace,
        };
        let violations = history.broken();
        let cold_alone = (0..self.drill.routers).map(|router| history.cold_by(router).len()).collect();
        let views =
            self.logs.iter().map(|log| log.iter().filter_map(|line| viewed(line)).collect()).collect();
        DrillRecord {
            outcome,
            greedy: None,
            truth,
            violations,
            cold_alone,
            started,
            views,
            logs: self.logs,
            addresses,
            sent,
            datagram_hits,
            cpu,
            done: self.done,
            settled,
            absences: self.absences,
            alive,
            fallen,
        }
    }

    fn stop_routers(&mut self) -> RouterEnds {
        let (mut cpu, mut alive, mut fallen) = (Vec::new(), Vec::new(), Vec::new());
        for router in 0..self.drill.routers {
            let ended = self.routers[router].as_mut().and_then(Router::ended);
            if let Some(code) = ended.filter(|_| !self.terminating[router]) {
                fallen.push(format!("r{router} ended with {code:?}"));
            }
            alive.push(self.routers[router].is_some() && ended.is_none());
            let running = self.routers[router].as_ref().filter(|_| ended.is_none());
            let used = running.map(|running| running.resource_usage().cpu_seconds);
            cpu.push(used.map_or(0.0, |used| used - self.cpu_before[router]));
            if let Some(running) = self.routers[router].take() {
                self.logs[router].extend(running.stop());
            }
        }
        let panics = self.logs.iter().flatten().filter(|line| line.contains("panicked"));
        fallen.extend(panics.take(MAX_PANIC_LINES).cloned());
        RouterEnds { cpu, alive, fallen }
    }

    /// The links to members, by number in the fault tool: router and member. Each router has a link to each member, and
    /// then one to discovery.
    fn member_links(&self) -> HashMap<usize, (usize, u32)> {
        let members = self.drill.scenario.member_count();
        let links_per_router = members + 1;
        let router_and_member = |link: usize| (link / links_per_router, (link % links_per_router) as u32);
        (0..self.drill.routers * links_per_router)
            .map(|link| (link, router_and_member(link)))
            .filter(|(_, (_, member))| (*member as usize) < members)
            .collect()
    }
}

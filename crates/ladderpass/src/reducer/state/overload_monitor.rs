//! Measures this router's own overload. The measurements go to the overload governor (`ladderpass-overload`), and the
//! governor's state goes to the routing core with each arriving RPC. The monitor also finds clients that do not read
//! their answers, and logs metrics.
//!
//! The monitor is off unless the operator's file has an `overload` section. The monitor rejects no RPC itself, because
//! the routing core decides on rejections.

use super::connections::Connections;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::log_target;
use ladderpass_config::operator::Operator;
use ladderpass_overload::{ClientUsage, Governor, OverloadEvent, ResourceLimits, ResourceSample};
use ladderpass_routing::{Arrival, Router, Span, Time};
use rustc_hash::{FxHashMap, FxHashSet};

/// Monitors the load of this process, if the operator has enabled it.
pub(in crate::reducer) struct OverloadMonitor {
    active: Option<Box<ActiveMonitor>>,
    /// `accepted` is the number of RPCs that were passed to the routing core since the metrics were last logged, and
    /// `rejected` is the number of those that were rejected at arrival.
    accepted: u32,
    rejected: u32,
}

struct ActiveMonitor {
    governor: Governor,
    /// Clients whose sockets accept no more of their answers, with the time since which they have read nothing.
    slow_readers: FxHashMap<ConnectionId, Time>,
    sampled_at: Time,
    metrics_interval: Span,
    metrics_logged_at: Time,
}

impl ActiveMonitor {
    fn new(now: Time, operator: &Operator, limits: ResourceLimits, methods: usize) -> Option<ActiveMonitor> {
        let settings = operator.overload?;
        Some(ActiveMonitor {
            governor: Governor::new(now, settings, limits, methods),
            slow_readers: FxHashMap::default(),
            sampled_at: now,
            metrics_interval: operator.log.metrics_interval,
            metrics_logged_at: now,
        })
    }

    /// Returns the slow readers that must be closed. This prevents clients that send statements and do not read the
    /// answers from filling the memory. Each slow reader has a time limit, which is shorter when memory is short, and a
    /// limit on the bytes of its output. In addition, once the memory of all buffers exceeds
    /// `Governor::unpressured_buffer_bytes` (the most memory that does not raise the overload pressure), the largest
    /// slow readers that have read nothing for a sample interval are closed, before other clients are affected. No
    /// other client is closed to free memory.
    fn overdue_slow_readers(&mut self, now: Time, connections: &Connections) -> Vec<ConnectionId> {
        let timeout = self.governor.slow_reader_timeout();
        let max_bytes = self.governor.slow_reader_max_bytes();
        self.slow_readers.retain(|&id, _| connections.contains(id));
        let largest = self.largest_slow_readers(now, connections);
        let is_overdue = |id: &ConnectionId, since: Time| {
            now - since >= timeout
                || largest.contains(id)
                || connections.get(*id).is_some_and(|connection| connection.output.len() > max_bytes)
        };
        let overdue = self.slow_readers.iter().filter(|(id, since)| is_overdue(id, **since));
        overdue.map(|(&id, _)| id).collect()
    }

    /// Returns the slow readers with the largest buffers, as many as must be closed to reduce the memory of all buffers
    /// to `Governor::unpressured_buffer_bytes`, the most memory that does not raise the overload pressure.
    fn largest_slow_readers(&self, now: Time, connections: &Connections) -> FxHashSet<ConnectionId> {
        let interval = self.governor.sample_interval();
        let mut excess_bytes =
            connections.buffer_bytes().saturating_sub(self.governor.unpressured_buffer_bytes());
        if excess_bytes == 0 {
            return FxHashSet::default();
        }
        let blocked = self.slow_readers.iter().filter(|(_, since)| now - **since >= interval);
        let mut by_size: Vec<(usize, ConnectionId)> =
            blocked.filter_map(|(id, _)| Some((connections.get(*id)?.buffer_bytes(), *id))).collect();
        by_size.sort_unstable_by(|left, right| right.cmp(left));
        let needed = by_size.into_iter().take_while(|(bytes, _)| {
            let is_needed = excess_bytes > 0;
            excess_bytes = excess_bytes.saturating_sub(*bytes);
            is_needed
        });
        needed.map(|(_, id)| id).collect()
    }

    fn log_level_changes(&mut self) {
        for OverloadEvent::LevelChanged { before, after, pressure, dominant } in self.governor.take_events() {
            let (before, after, dominant) = (before.name(), after.name(), dominant.name());
            tracing::info!(
                target: log_target::OVERLOAD, before, after, pressure, dominant, "overload level changed"
            );
        }
    }
}

impl OverloadMonitor {
    pub(in crate::reducer) fn new(
        now: Time,
        operator: &Operator,
        limits: ResourceLimits,
        methods: usize,
    ) -> OverloadMonitor {
        let active = ActiveMonitor::new(now, operator, limits, methods).map(Box::new);
        OverloadMonitor { active, accepted: 0, rejected: 0 }
    }

    /// Applies the settings of the operator's file, which may have changed.
    pub(in crate::reducer) fn reconfigure(
        &mut self,
        now: Time,
        operator: &Operator,
        limits: ResourceLimits,
        methods: usize,
    ) {
        match (&mut self.active, operator.overload) {
            (Some(active), Some(settings)) => {
                active.governor.reconfigure(now, settings, limits);
                active.metrics_interval = operator.log.metrics_interval;
            }
            (None, Some(_)) => {
                self.active = ActiveMonitor::new(now, operator, limits, methods).map(Box::new);
            }
            (Some(_), None) => self.active = None,
            (None, None) => {}
        }
    }

    /// Returns when the process's resource usage must be sampled next, or `None` if the router does not monitor its own
    /// load.
    pub(in crate::reducer) fn next_sample_at(&self) -> Option<Time> {
        let active = self.active.as_ref()?;
        Some(active.sampled_at + active.governor.sample_interval())
    }

    /// Returns how many clients to accept for one event of the listener. This number is `limit` while the router is not
    /// overloaded.
    pub(in crate::reducer) fn accept_budget(&self, limit: usize) -> usize {
        self.active.as_ref().map_or(limit, |active| active.governor.accept_budget(limit))
    }

    /// Returns the clients that must be closed because they do not read their answers.
    pub(in crate::reducer) fn overdue_slow_readers(
        &mut self,
        now: Time,
        connections: &Connections,
    ) -> Vec<ConnectionId> {
        match &mut self.active {
            Some(active) => active.overdue_slow_readers(now, connections),
            None => Vec::new(),
        }
    }

    pub(in crate::reducer) fn record_stall(&mut self, now: Time) {
        if let Some(active) = &mut self.active {
            active.governor.record_stall(now);
        }
    }

    /// Counts a statement, and sets the overload state by which the routing core will assess its RPC. Returns whether
    /// the RPC is certain to be rejected. If so, the caller need not parse the rest of the statement.
    pub(in crate::reducer) fn assess(
        &mut self,
        now: Time,
        router: &Router,
        arrival: &mut Arrival,
        usage: &mut ClientUsage,
        statement: StatementCost,
    ) -> bool {
        let Some(active) = &mut self.active else { return false };
        active.governor.record_statement(now, statement.waited, statement.bytes);
        let state = active.governor.overload_state(now, arrival.method, usage);
        arrival.router_overload = Some(state);
        let priority = router.priority(now, arrival, &state);
        active.governor.record_arrival(now, &state, priority, usage);
        f64::from(priority + 1) <= state.admission_threshold
    }

    pub(in crate::reducer) fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    /// Counts an RPC that was rejected at arrival, for any reason. Returns whether the operator's file has an
    /// `overload` section. Without this section the RPC is not counted.
    pub(in crate::reducer) fn record_rejected_at_arrival(&mut self) -> bool {
        let Some(active) = &mut self.active else { return false };
        active.governor.record_rejected();
        self.rejected += 1;
        true
    }

    /// Records that an RPC that was not rejected at arrival was answered with an error of this router instead of a
    /// member's answer.
    pub(in crate::reducer) fn record_unserved(&mut self) {
        if let Some(active) = &mut self.active {
            active.governor.record_rejected();
        }
    }

    /// Records that an RPC was answered with a member's answer. `bytes` returns the size of the RPC's statement plus
    /// the size of the client's output, in bytes.
    pub(in crate::reducer) fn record_served(
        &mut self,
        now: Time,
        method: u32,
        bytes: impl FnOnce() -> usize,
    ) {
        if let Some(active) = &mut self.active {
            active.governor.record_served(now, method, bytes());
        }
    }

    /// Records that a client's socket accepts no more bytes for now.
    pub(in crate::reducer) fn record_write_blocked(&mut self, now: Time, client: ConnectionId) {
        if let Some(active) = &mut self.active {
            active.slow_readers.entry(client).or_insert(now);
        }
    }

    /// Records that a client has read some of its answers. `has_read_all` means that nothing is left to write to the
    /// client.
    pub(in crate::reducer) fn record_client_read(
        &mut self,
        now: Time,
        client: ConnectionId,
        has_read_all: bool,
    ) {
        let Some(active) = &mut self.active else { return };
        if active.slow_readers.is_empty() {
            return;
        }
        match active.slow_readers.get_mut(&client) {
            Some(_) if has_read_all => {
                active.slow_readers.remove(&client);
            }
            Some(since) => *since = now,
            None => {}
        }
    }

    /// Records the end of an iteration of the event loop. `unread_bytes` is the size in bytes of the input that clients
    /// have sent and that is not consumed yet.
    pub(in crate::reducer) fn end_iteration(
        &mut self,
        now: Time,
        busy: Span,
        unread_sockets: usize,
        unread_bytes: usize,
        connections: &Connections,
    ) {
        let Some(active) = &mut self.active else { return };
        // Input of slow readers does not count as waiting for the router, because it is read only after those clients
        // have read their answers.
        let input_bytes =
            |&id: &ConnectionId| connections.get(id).map_or(0, |connection| connection.input.len());
        let slow_reader_bytes: usize = active.slow_readers.keys().map(input_bytes).sum();
        let bytes = unread_bytes.saturating_sub(slow_reader_bytes);
        active.governor.end_iteration(now, busy, unread_sockets, bytes);
        active.log_level_changes();
    }

    pub(in crate::reducer) fn record_sample(&mut self, now: Time, sample: ResourceSample) {
        if let Some(active) = &mut self.active {
            active.sampled_at = now;
            active.governor.record_sample(now, sample);
            active.log_level_changes();
        }
    }

    pub(in crate::reducer) fn log_metrics(&mut self, now: Time, clients: usize, rpcs: usize) {
        let Some(active) = &mut self.active else { return };
        if now - active.metrics_logged_at < active.metrics_interval {
            return;
        }
        active.metrics_logged_at = now;
        let mut metrics = active.governor.take_metrics();
        metrics.extend([
            ("clients", clients as f64),
            ("slow_readers", active.slow_readers.len() as f64),
            ("rpcs", rpcs as f64),
            ("accepted", f64::from(std::mem::take(&mut self.accepted))),
            ("shed", f64::from(std::mem::take(&mut self.rejected))),
        ]);
        let pairs: Vec<String> =
            metrics.iter().map(|(name, value)| format!("\"{name}\":{value:.4}")).collect();
        tracing::info!(target: "ladderpass::figures", "metrics {{{}}}", pairs.join(","));
    }
}

/// What a statement has cost the router until the decision whether the statement's RPC is accepted: waiting time and
/// bytes.
pub(in crate::reducer) struct StatementCost {
    /// How long the router kept the statement waiting.
    pub(in crate::reducer) waited: Span,
    pub(in crate::reducer) bytes: usize,
}

//! The router's own state: what it measures of itself, handed to the governor; clients that read nothing; figures.
//!
//! It owns these invariants: without the operator's word none of it acts; a client stands among the slow ones while
//! something that it is owed could not be written, and no longer. It must never refuse an RPC: the core does.

use super::*;
use ladderpass_config::operator::Operator;
use ladderpass_overload::{Governor, OverloadEvent, ResourceLimits, ResourceSample};

pub(super) struct OverloadMonitor {
    pub(super) governor: Governor,
    /// Clients whose sockets take no more of their answers, and since when they took nothing.
    slow: FxHashMap<ConnectionId, Time>,
    scheduled_at: Time,
    figures_every: Span,
    figures_at: Time,
}

impl OverloadMonitor {
    pub(super) fn new(
        now: Time,
        operator: &Operator,
        allowance: ResourceLimits,
        methods: usize,
    ) -> Option<OverloadMonitor> {
        let settings = operator.overload?;
        Some(OverloadMonitor {
            governor: Governor::new(now, settings, allowance, methods),
            slow: FxHashMap::default(),
            scheduled_at: now,
            figures_every: operator.log.metrics_interval,
            figures_at: now,
        })
    }
}

impl Reducer {
    /// When the process is to be looked at next; None where the router does not watch itself.
    pub fn next_sample_at(&self) -> Option<Time> {
        self.overload.as_ref().map(|own| own.scheduled_at + own.governor.sample_interval())
    }

    /// How many connections to accept in one go.
    pub fn accept_budget(&self) -> usize {
        self.overload.as_ref().map_or(self.limits.accepts_per_event, |own| {
            own.governor.accept_budget(self.limits.accepts_per_event)
        })
    }

    /// Other settings of the operator hold from now on.
    pub(super) fn reconfigure_overload(&mut self, now: Time, operator: &Operator, allowance: ResourceLimits) {
        match (&mut self.overload, operator.overload) {
            (Some(own), Some(settings)) => {
                own.governor.reconfigure(now, settings, allowance);
                own.figures_every = operator.log.metrics_interval;
            }
            (None, Some(_)) => {
                self.overload =
                    OverloadMonitor::new(now, operator, allowance, self.bounds_staleness.len()).map(Box::new);
            }
            (Some(_), None) => self.overload = None,
            (None, None) => {}
        }
    }

    pub(super) fn on_resources_sampled(&mut self, now: Time, mut sample: ResourceSample) {
        self.close_slow_readers(now);
        let buffer_bytes = self.buffer_bytes;
        let Some(own) = &mut self.overload else { return };
        own.scheduled_at = now;
        sample.buffer_bytes = buffer_bytes;
        own.governor.record_sample(now, sample);
        self.log_level_changes();
        self.log_overload_metrics(now);
    }

    /// A turn of the loop is over.
    pub(super) fn on_iteration_worked(&mut self, now: Time, busy: Span, waiting: usize) {
        let Some(own) = &mut self.overload else { return };
        // What those have sent that read nothing is not looked at, however long it stands.
        let input = |id| self.connections.get(id).map_or(0, |connection| connection.input.len());
        let not_wanted: usize = own.slow.keys().map(input).sum();
        own.governor.end_iteration(now, busy, waiting, self.unread_client_bytes.saturating_sub(not_wanted));
        self.log_level_changes();
    }

    fn log_level_changes(&mut self) {
        let Some(own) = &mut self.overload else { return };
        for OverloadEvent::LevelChanged { before, after: now, pressure, dominant: foremost } in
            own.governor.take_events()
        {
            let (before, now, foremost) = (before.name(), now.name(), foremost.name());
            tracing::info!(target: "ladderpass::overload", before, now, pressure, foremost, "own load");
        }
    }

    fn log_overload_metrics(&mut self, now: Time) {
        let (clients, calls) = (self.clients, self.rpcs.len());
        let Some(own) = &mut self.overload else { return };
        if now - own.figures_at < own.figures_every {
            return;
        }
        own.figures_at = now;
        let mut figures = own.governor.take_metrics();
        figures.extend([
            ("clients", clients as f64),
            ("slow_readers", own.slow.len() as f64),
            ("rpcs", calls as f64),
            ("taken", f64::from(std::mem::take(&mut self.overload_counts.taken))),
            ("shed", f64::from(std::mem::take(&mut self.overload_counts.shed))),
        ]);
        let text: Vec<String> =
            figures.iter().map(|(name, value)| format!("\"{name}\":{value:.4}")).collect();
        tracing::info!(target: "ladderpass::figures", "figures {{{}}}", text.join(","));
    }

    /// The socket of a client takes no more for now.
    pub(super) fn on_client_write_blocked(&mut self, now: Time, id: ConnectionId) {
        if let Some(Connection { remote: Remote::Client(_), .. }) = self.connections.get(&id)
            && let Some(own) = &mut self.overload
        {
            own.slow.entry(id).or_insert(now);
        }
    }

    /// A client has taken something of what it is owed; `done`: all of it.
    pub(super) fn on_client_wrote(&mut self, now: Time, id: ConnectionId, done: bool) {
        let Some(own) = &mut self.overload else { return };
        if own.slow.is_empty() {
            return;
        }
        match own.slow.get_mut(&id) {
            Some(_) if done => {
                own.slow.remove(&id);
            }
            Some(since) => *since = now,
            None => {}
        }
    }

    /// Guards memory against clients that ask and don't read: each is waited for, shorter where memory is short, and
    /// holds so much at most. Before rings press on anyone else the largest of them go, once they have taken nothing for
    /// a look. Their answers were given; nobody else is closed for memory.
    fn close_slow_readers(&mut self, now: Time) {
        let Some(own) = &mut self.overload else { return };
        let (wait, most) = (own.governor.slow_reader_timeout(), own.governor.slow_reader_max_bytes());
        let look = own.governor.sample_interval();
        let connections = &self.connections;
        own.slow.retain(|id, _| connections.contains_key(id));
        let mut excess = self.buffer_bytes.saturating_sub(own.governor.unpressured_buffer_bytes());
        let mut largest: Vec<(usize, ConnectionId)> = Vec::new();
        if excess > 0 {
            let still = own.slow.iter().filter(|(_, since)| now - **since >= look);
            largest.extend(still.filter_map(|(id, _)| Some((connections.get(id)?.held, *id))));
            largest.sort_unstable_by(|one, two| two.cmp(one));
        }
        let crowding = largest.into_iter().take_while(|(held, _)| {
            let needed = excess > 0;
            excess = excess.saturating_sub(*held);
            needed
        });
        let crowding: FxHashSet<ConnectionId> = crowding.map(|(_, id)| id).collect();
        let over = |id: &ConnectionId, since: Time| {
            now - since >= wait
                || crowding.contains(id)
                || connections.get(id).is_some_and(|connection| connection.output.len() > most)
        };
        let gone: Vec<ConnectionId> =
            own.slow.iter().filter(|(id, since)| over(id, **since)).map(|(&id, _)| id).collect();
        for id in gone {
            tracing::debug!(target: "ladderpass::overload", "a client that reads nothing is closed");
            self.stats.slow += 1;
            self.on_client_closed(now, id);
        }
    }
}

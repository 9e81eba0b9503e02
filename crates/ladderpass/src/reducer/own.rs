//! The router's own state: what it measures of itself, handed to the governor; clients that read nothing; figures.
//!
//! It owns these invariants: without the operator's word none of it acts; a client stands among the slow ones while
//! something that it is owed could not be written, and no longer. It must never refuse an RPC: the core does.

use super::*;
use ladderpass_config::operator::Operator;
use ladderpass_overload::{Governor, OverloadEvent, ResourceLimits, ResourceSample};

pub(super) struct Own {
    pub(super) governor: Governor,
    /// Clients whose sockets take no more of their answers, and since when they took nothing.
    slow: FxHashMap<ConnectionId, Time>,
    looked_at: Time,
    figures_every: Span,
    figures_at: Time,
}

impl Own {
    pub(super) fn new(
        now: Time,
        operator: &Operator,
        allowance: ResourceLimits,
        methods: usize,
    ) -> Option<Own> {
        let settings = operator.overload?;
        Some(Own {
            governor: Governor::new(now, settings, allowance, methods),
            slow: FxHashMap::default(),
            looked_at: now,
            figures_every: operator.log.metrics_interval,
            figures_at: now,
        })
    }
}

impl Reducer {
    /// When the process is to be looked at next; None where the router does not watch itself.
    pub fn next_sample_at(&self) -> Option<Time> {
        self.own.as_ref().map(|own| own.looked_at + own.governor.sample_interval())
    }

    /// How many connections to accept in one go.
    pub fn accept_budget(&self) -> usize {
        self.own.as_ref().map_or(self.limits.accepts_per_event, |own| {
            own.governor.accept_budget(self.limits.accepts_per_event)
        })
    }

    /// Other settings of the operator hold from now on.
    pub(super) fn govern(&mut self, now: Time, operator: &Operator, allowance: ResourceLimits) {
        match (&mut self.own, operator.overload) {
            (Some(own), Some(settings)) => {
                own.governor.reconfigure(now, settings, allowance);
                own.figures_every = operator.log.metrics_interval;
            }
            (None, Some(_)) => {
                self.own = Own::new(now, operator, allowance, self.bounded.len()).map(Box::new);
            }
            (Some(_), None) => self.own = None,
            (None, None) => {}
        }
    }

    pub(super) fn looked(&mut self, now: Time, mut sample: ResourceSample) {
        self.let_slow_go(now);
        let rings = self.rings;
        let Some(own) = &mut self.own else { return };
        own.looked_at = now;
        sample.buffer_bytes = rings;
        own.governor.record_sample(now, sample);
        self.tell_notes();
        self.tell_figures(now);
    }

    /// A turn of the loop is over.
    pub(super) fn worked(&mut self, now: Time, busy: Span, waiting: usize) {
        let Some(own) = &mut self.own else { return };
        // What those have sent that read nothing is not looked at, however long it stands.
        let input = |id| self.conns.get(id).map_or(0, |conn| conn.input.len());
        let not_wanted: usize = own.slow.keys().map(input).sum();
        own.governor.end_iteration(now, busy, waiting, self.unlooked.saturating_sub(not_wanted));
        self.tell_notes();
    }

    fn tell_notes(&mut self) {
        let Some(own) = &mut self.own else { return };
        for OverloadEvent::LevelChanged { before, after: now, pressure, dominant: foremost } in
            own.governor.take_events()
        {
            let (before, now, foremost) = (before.name(), now.name(), foremost.name());
            tracing::info!(target: "ladderpass::overload", before, now, pressure, foremost, "own load");
        }
    }

    fn tell_figures(&mut self, now: Time) {
        let (clients, calls) = (self.clients, self.calls.len());
        let Some(own) = &mut self.own else { return };
        if now - own.figures_at < own.figures_every {
            return;
        }
        own.figures_at = now;
        let mut figures = own.governor.take_metrics();
        figures.extend([
            ("clients", clients as f64),
            ("slow_readers", own.slow.len() as f64),
            ("rpcs", calls as f64),
            ("taken", f64::from(std::mem::take(&mut self.figured.taken))),
            ("shed", f64::from(std::mem::take(&mut self.figured.shed))),
        ]);
        let text: Vec<String> =
            figures.iter().map(|(name, value)| format!("\"{name}\":{value:.4}")).collect();
        tracing::info!(target: "ladderpass::figures", "figures {{{}}}", text.join(","));
    }

    /// The socket of a client takes no more for now.
    pub(super) fn stuck(&mut self, now: Time, id: ConnectionId) {
        if let Some(Conn { peer: Peer::Client(_), .. }) = self.conns.get(&id)
            && let Some(own) = &mut self.own
        {
            own.slow.entry(id).or_insert(now);
        }
    }

    /// A client has taken something of what it is owed; `done`: all of it.
    pub(super) fn took_some(&mut self, now: Time, id: ConnectionId, done: bool) {
        let Some(own) = &mut self.own else { return };
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
    fn let_slow_go(&mut self, now: Time) {
        let Some(own) = &mut self.own else { return };
        let (wait, most) = (own.governor.slow_reader_timeout(), own.governor.slow_reader_max_bytes());
        let look = own.governor.sample_interval();
        let conns = &self.conns;
        own.slow.retain(|id, _| conns.contains_key(id));
        let mut excess = self.rings.saturating_sub(own.governor.unpressured_buffer_bytes());
        let mut largest: Vec<(usize, ConnectionId)> = Vec::new();
        if excess > 0 {
            let still = own.slow.iter().filter(|(_, since)| now - **since >= look);
            largest.extend(still.filter_map(|(id, _)| Some((conns.get(id)?.held, *id))));
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
                || conns.get(id).is_some_and(|conn| conn.output.len() > most)
        };
        let gone: Vec<ConnectionId> =
            own.slow.iter().filter(|(id, since)| over(id, **since)).map(|(&id, _)| id).collect();
        for id in gone {
            tracing::debug!(target: "ladderpass::overload", "a client that reads nothing is closed");
            self.tally.slow += 1;
            self.client_gone(now, id);
        }
    }
}

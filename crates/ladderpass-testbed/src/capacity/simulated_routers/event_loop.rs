//! Event loop of a simulation: passes events to the reducers of routers, and executes the effects that these return.

use super::counts::{Subject, thread_cpu_time};
use super::settings::{AddressOwner, address_owner, read_launch, router_address};
use super::simulation::{Connection, ConnectionKey, Simulation, SimulationEvent};
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_routing::{Span, Time};
use rand::Rng;
use std::collections::VecDeque;
use std::io;

/// Maximum time from a tick to the next one. The event loop of a router process has the same maximum.
const MAX_TICK_INTERVAL: Span = Span::from_millis(50);
/// Minimum time from a tick to the next tick that a timer causes.
const MIN_TICK_INTERVAL: Span = Span::from_nanos(20_000);
/// Minimum time from the start of a router to the first statement of its clients.
const FIRST_STATEMENT_DELAY: Span = Span::from_millis(300);
/// Factor on the simulation's latency, drawn at random for each datagram.
const LATENCY_FACTOR: std::ops::Range<f64> = 0.8..1.2;

impl Simulation {
    pub(super) fn handle_event(&mut self, event: SimulationEvent) -> io::Result<()> {
        match event {
            SimulationEvent::StartRouter { router } => self.start_router(router)?,
            SimulationEvent::Tick { router } => {
                self.routers[router].tick_scheduled = false;
                self.tick(router);
            }
            SimulationEvent::Wake { router } if self.routers[router].wake_at <= self.now => {
                self.routers[router].wake_at = Time::from_nanos(i64::MAX);
                self.tick(router);
            }
            SimulationEvent::ClientStatement { router, incarnation }
                if self.is_current(router, incarnation) =>
            {
                self.send_random_statement(router);
                let gap = self.rng.random_range(0.5..1.5) / self.shape.rate;
                let at = self.now + Span::from_secs_f64(gap);
                self.schedule(at, SimulationEvent::ClientStatement { router, incarnation });
            }
            SimulationEvent::Datagram { to, from, bytes } => {
                self.datagrams_in_flight -= 1;
                if self.routers[to].reducer.is_none() {
                    self.counts[to].lost += 1;
                    return Ok(());
                }
                self.counts[to].received += 1;
                let subject = if is_membership(&bytes) { Subject::Membership } else { Subject::Gossip };
                self.apply(to, Event::DatagramReceived(from, bytes), subject);
            }
            SimulationEvent::Bytes(key, bytes) if self.is_current(key.router, key.incarnation) => {
                self.deliver(key.router, key.id, &bytes);
            }
            SimulationEvent::Connected(key) if self.is_open(key) => {
                self.apply(key.router, Event::Connected(key.id), Subject::Connections);
            }
            SimulationEvent::Closed(key) if self.is_open(key) => {
                self.routers[key.router].connections.remove(&key.id);
                self.apply(key.router, Event::Closed(key.id), Subject::Connections);
            }
            SimulationEvent::WatchHeartbeat(key) if self.is_open(key) => self.send_watch_heartbeat(key),
            _ => {}
        }
        Ok(())
    }

    fn start_router(&mut self, router: usize) -> io::Result<()> {
        if self.routers[router].reducer.is_some() {
            return Ok(());
        }
        let launch =
            read_launch(&self.config, router, self.shape.routers, self.shape.fleet, self.shape.peers)?;
        let started = &mut self.routers[router];
        started.incarnation += 1;
        started.reducer = Some(Reducer::start(self.now, launch));
        let incarnation = started.incarnation;
        if self.shape.rate > 0.0 {
            let gap = self.rng.random_range(0.0..1.0) / self.shape.rate;
            let at = self.now + FIRST_STATEMENT_DELAY + Span::from_secs_f64(gap);
            self.schedule(at, SimulationEvent::ClientStatement { router, incarnation });
        }
        self.tick(router);
        Ok(())
    }

    /// Passes an event to a router, executes its effects, and schedules the tick that follows all events of the same
    /// simulated time.
    pub(super) fn apply(&mut self, router: usize, event: Event, subject: Subject) {
        let is_observed = router < self.shape.observed;
        let Some(reducer) = &mut self.routers[router].reducer else { return };
        let began = is_observed.then(thread_cpu_time);
        let effects = reducer.handle(self.now, event);
        if let Some(began) = began {
            self.cost.add_event(subject, (thread_cpu_time() - began).nanos() - self.clock_overhead_ns);
        }
        self.execute_effects(router, effects);
        if matches!(subject, Subject::IdleTick | Subject::DataTick) {
            return;
        }
        let applied = &mut self.routers[router];
        applied.has_data |= subject == Subject::Connections;
        if !std::mem::replace(&mut applied.tick_scheduled, true) {
            self.schedule(self.now, SimulationEvent::Tick { router });
        }
    }

    pub(super) fn tick(&mut self, router: usize) {
        let has_data = std::mem::take(&mut self.routers[router].has_data);
        self.counts[router].ticks += 1;
        self.apply(router, Event::Tick, if has_data { Subject::DataTick } else { Subject::IdleTick });
        let Some(reducer) = &self.routers[router].reducer else { return };
        let latest = self.now + MAX_TICK_INTERVAL;
        let at = reducer.wake_at().unwrap_or(latest).min(latest).max(self.now + MIN_TICK_INTERVAL);
        if at < self.routers[router].wake_at {
            self.routers[router].wake_at = at;
            self.schedule(at, SimulationEvent::Wake { router });
        }
    }

    fn execute_effects(&mut self, router: usize, effects: Vec<Effect>) {
        let mut effects: VecDeque<Effect> = effects.into();
        while let Some(effect) = effects.pop_front() {
            let incarnation = self.routers[router].incarnation;
            match effect {
                Effect::Connect(id, address) => {
                    self.connect(ConnectionKey { router, incarnation, id }, address);
                }
                Effect::Write(id) => {
                    let Some(reducer) = &mut self.routers[router].reducer else { return };
                    let bytes = reducer.outgoing(id).to_vec();
                    if bytes.is_empty() {
                        continue;
                    }
                    effects.extend(reducer.handle(self.now, Event::Written(id, bytes.len())));
                    effects.push_back(Effect::Write(id));
                    self.receive_from_router(ConnectionKey { router, incarnation, id }, &bytes);
                }
                Effect::Read(id) => {
                    if self.has_unread(router, id) {
                        let key = ConnectionKey { router, incarnation, id };
                        self.schedule(self.now, SimulationEvent::Bytes(key, Vec::new()));
                    }
                }
                Effect::CloseIfQuiet(id) => {
                    let is_quiet = !self.has_unread(router, id);
                    let Some(reducer) = &mut self.routers[router].reducer else { return };
                    if is_quiet {
                        effects.extend(reducer.handle(self.now, Event::ReadToEnd(id)));
                    }
                }
                Effect::Close(id) => {
                    self.routers[router].connections.remove(&id);
                    self.routers[router].idle_clients.retain(|&idle| idle != id);
                }
                Effect::SendDatagrams => self.send_datagrams(router),
                Effect::StopListening => {
                    let Some(reducer) = &mut self.routers[router].reducer else { return };
                    effects.extend(reducer.handle(self.now, Event::ListenerClosed));
                }
                Effect::Exit => return self.kill(router),
                Effect::Accept(_) => {}
            }
        }
    }

    fn has_unread(&self, router: usize, id: ConnectionId) -> bool {
        let has_unread = |connection: &Connection| !connection.unread.is_empty();
        self.routers[router].connections.get(&id).is_some_and(has_unread)
    }

    fn send_datagrams(&mut self, router: usize) {
        let Some(reducer) = &mut self.routers[router].reducer else { return };
        let from = router_address(router);
        for (to, bytes) in reducer.take_datagrams() {
            let counts = &mut self.counts[router];
            let flow = if is_membership(&bytes) { &mut counts.membership } else { &mut counts.gossip };
            flow.add(bytes.len());
            let Some(AddressOwner::Router(to)) = address_owner(to) else { continue };
            if to >= self.shape.routers {
                continue;
            }
            let is_lost = self.shape.loss > 0.0 && self.rng.random_range(0.0..1.0) < self.shape.loss;
            if is_lost || !self.is_reachable(self.zone(router), self.zone(to)) {
                self.counts[to].lost += 1;
                continue;
            }
            self.datagrams_in_flight += 1;
            let latency = self.shape.latency * self.rng.random_range(LATENCY_FACTOR);
            self.schedule(self.now + latency, SimulationEvent::Datagram { to, from, bytes });
        }
    }
}

/// Returns whether a datagram belongs to the membership protocol, and not to gossip about members.
fn is_membership(datagram: &[u8]) -> bool {
    datagram.first() == Some(&ladderpass_membership::FIRST_BYTE)
}

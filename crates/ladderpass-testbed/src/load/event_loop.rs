//! The event loop of a load. Each pass handles due arrivals, retries and reconnects, then writes, then the poller's
//! events.

use super::generator::{ANSWER_GRACE, ClientKind, LoadGenerator};
use super::outcome::{Outcome, SLICE};
use ladderpass_emulator::now;
use ladderpass_routing::{Span, Time};
use mio::{Events, Token};
use rand::Rng;
use rand_distr::Exp1;
use std::io::{self, ErrorKind};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time from when the connections are opened until the first RPC can be due.
const CONNECT_BEFORE_START: Span = Span::from_millis(100);
const MAX_POLL_WAIT: Span = Span::from_millis(5);
const EVENT_CAPACITY: usize = 4096;
/// The last check for expired RPCs takes the current time, plus twice the plan's deadline, plus this time as the present, so
/// that all RPCs still in flight are counted as unanswered.
const ABANDON_ALL_AFTER: Span = Span::from_millis(60_000);

impl LoadGenerator<'_> {
    /// Runs the plan to its end, or until its `stop` flag is set.
    pub fn run(mut self, mut on_progress: impl FnMut(f64)) -> io::Result<Outcome> {
        self.open_connections()?;
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut progress_at = self.set_start(now() + CONNECT_BEFORE_START);
        loop {
            let now = now();
            self.queue_arrivals(now);
            self.queue_due_retries(now);
            self.reconnect_due(now)?;
            self.check_closed_connections(now);
            self.send_queued(now);
            self.send_self_paced(now);
            self.write_pending();
            if now - progress_at >= SLICE {
                progress_at = now;
                on_progress((now - self.began).secs());
                self.abandon_expired(now);
            }
            if self.is_over(now) {
                break;
            }
            match self.poll.poll(&mut events, Some(self.poll_wait(now))) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                polled => polled?,
            }
            for event in &events {
                let Token(index) = event.token();
                if event.is_writable() {
                    self.write(index);
                }
                if event.is_readable() || event.is_read_closed() {
                    self.read(index, event.is_read_closed());
                }
            }
        }
        self.abandon_expired(now() + self.plan.deadline * 2.0 + ABANDON_ALL_AFTER);
        Ok(self.outcome)
    }

    fn open_connections(&mut self) -> io::Result<()> {
        let kinds = [
            (ClientKind::Normal, self.plan.connections),
            (ClientKind::Flood, self.plan.floods),
            (ClientKind::SlowReader, self.plan.slow_readers),
        ];
        for (kind, count) in kinds {
            for _ in 0..count {
                let client = self.connect(kind, self.clients.len())?;
                self.clients.push(Some(client));
            }
        }
        Ok(())
    }

    /// Sets and returns the start of the load, which is when the first RPC can be due.
    fn set_start(&mut self, start: Time) -> Time {
        (self.began, self.outcome.began) = (start, start);
        self.ends = start + self.outcome.duration;
        (self.next_arrival.phase_ends, self.next_arrival.next_due) = (start, start);
        start
    }

    /// Queues all open arrivals that are due by now, with the times at which they were due.
    fn queue_arrivals(&mut self, now: Time) {
        while self.next_arrival.next_due <= now {
            let due = self.next_arrival.next_due;
            if due >= self.next_arrival.phase_ends {
                let Some(phase) = self.next_arrival.phases.pop() else {
                    self.next_arrival.next_due = Time::from_nanos(i64::MAX);
                    break;
                };
                self.next_arrival.rate_per_second = phase.rate_per_second;
                self.next_arrival.phase_ends = self.next_arrival.phase_ends + phase.duration();
            } else {
                let rpc = self.draw_rpc(due);
                self.queue.push_back(rpc);
            }
            let gap: f64 = self.rng.sample(Exp1);
            let rate = self.next_arrival.rate_per_second;
            self.next_arrival.next_due =
                if rate > 0.0 { due + Span::from_secs_f64(gap / rate) } else { self.next_arrival.phase_ends };
        }
    }

    /// Queues due retries, before RPCs that were not sent yet.
    fn queue_due_retries(&mut self, now: Time) {
        while let Some(first) = self.retries.first_entry()
            && first.key().0 <= now
        {
            self.queue.push_front(first.remove());
        }
    }

    /// Writes the output of all connections that have some.
    fn write_pending(&mut self) {
        for index in 0..self.clients.len() {
            if self.clients[index].as_ref().is_some_and(|client| client.has_output) {
                self.write(index);
            }
        }
    }

    /// Returns whether the load was stopped, or is past its end with nothing left to wait for.
    fn is_over(&self, now: Time) -> bool {
        if self.plan.stop.as_ref().is_some_and(|stop| stop.load(Ordering::Relaxed)) {
            return true;
        }
        if now < self.ends {
            return false;
        }
        let waits = self.in_flight > 0
            || !self.queue.is_empty()
            || !self.retries.is_empty()
            || !self.closed_connections.is_empty();
        !waits || now >= self.ends + self.plan.deadline + ANSWER_GRACE * 2.0
    }

    /// Returns how long to poll. The time is rounded down to whole milliseconds, the poller's unit, so that the wait
    /// ends before the next arrival.
    fn poll_wait(&self, now: Time) -> Duration {
        let wait = self.next_arrival.next_due.min(now + MAX_POLL_WAIT) - now;
        Duration::from_millis((wait.nanos() / 1_000_000).max(0) as u64)
    }

    /// Counts RPCs in flight whose deadline has passed as unanswered. After the last deadline, counts queued RPCs as
    /// unsent and waiting retries as rejected.
    fn abandon_expired(&mut self, now: Time) {
        for index in 0..self.clients.len() {
            let Some(client) = self.clients[index].as_mut() else { continue };
            let expired = client
                .in_flight
                .iter_mut()
                .filter(|rpc| !rpc.background && !rpc.abandoned && now > rpc.deadline + ANSWER_GRACE);
            let abandoned: Vec<(Time, usize)> = expired
                .map(|rpc| {
                    rpc.abandoned = true;
                    (rpc.due, rpc.method)
                })
                .collect();
            for (due, method) in abandoned {
                self.count(due, method, |counts| counts.unanswered += 1);
            }
        }
        if now > self.ends + self.plan.deadline {
            for rpc in std::mem::take(&mut self.queue) {
                self.count(rpc.due, rpc.method, |counts| counts.unsent += 1);
            }
            for (_, rpc) in std::mem::take(&mut self.retries) {
                self.count(rpc.due, rpc.method, |counts| counts.rejected += 1);
            }
        }
    }
}

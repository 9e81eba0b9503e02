//! Fair shares of the router's work among connections. Finds connections that recently sent much more work than the
//! other active connections did on average.

use ladderpass_routing::{Span, Time};

/// Recorded work decays by a factor e in this time. Active connections are counted in intervals of this length.
const DECAY_TIME: Span = Span::from_millis(500);
/// Recorded work decays for at most this many seconds at once. A longer time without work decays the work no further.
const MAX_DECAY_SECS: f64 = 60.0;
/// A connection counts as exceeding its fair share only while at least this many other connections are active.
const MIN_OTHER_CLIENTS: f64 = 4.0;

/// Recent work that one connection has sent, in the unit of [`FairShares::record`]. The caller stores the usage with
/// the connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientUsage {
    work: f64,
    updated_at: Time,
    /// The number of the last interval (see `DECAY_TIME`) in which the connection was counted as active.
    last_active_interval: i64,
}

/// Recent work that all connections have sent, and how many connections are active.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    total_work: f64,
    updated_at: Time,
    /// The number of the current interval. The interval begins at this number times `DECAY_TIME`.
    interval: i64,
    /// Number of connections that have sent work in the current interval.
    active: f64,
    active_in_previous_interval: f64,
}

/// Returns what is left at time `to`, after exponential decay, of the work recorded at time `from`.
fn decayed(work: f64, from: Time, to: Time) -> f64 {
    work * (-(to - from).secs().clamp(0.0, MAX_DECAY_SECS) / DECAY_TIME.secs()).exp()
}

impl FairShares {
    /// Records work that a connection has sent, in RPCs of mean cost, whether the work is admitted or not.
    pub fn record(&mut self, now: Time, client: &mut ClientUsage, work: f64) {
        let work = if work.is_finite() { work.max(0.0) } else { 0.0 };
        let interval = now.nanos().div_euclid(DECAY_TIME.nanos());
        if interval != self.interval {
            let is_next = interval == self.interval + 1;
            self.active_in_previous_interval = if is_next { self.active } else { 0.0 };
            self.active = 0.0;
            self.interval = interval;
        }
        if client.last_active_interval != interval {
            client.last_active_interval = interval;
            self.active += 1.0;
        }
        self.total_work = decayed(self.total_work, self.updated_at, now) + work;
        client.work = decayed(client.work, client.updated_at, now) + work;
        self.updated_at = now;
        client.updated_at = now;
    }

    /// The number of connections that are active: the greater of the counts of the current and the previous interval.
    pub fn active_clients(&self) -> f64 {
        self.active.max(self.active_in_previous_interval)
    }

    /// True if the connection has recently sent more than `multiple` times the work that the other active connections
    /// sent on average. That average counts as at least one RPC of mean cost.
    pub fn exceeds_fair_share(&self, client: &ClientUsage, multiple: f64) -> bool {
        let others = self.active_clients() - 1.0;
        let work_of_others = (self.total_work - client.work).max(0.0);
        others >= MIN_OTHER_CLIENTS && client.work > multiple * (work_of_others / others).max(1.0)
    }
}

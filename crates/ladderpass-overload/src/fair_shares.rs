//! How much of the front each connection takes, against a fair share: one that floods stands behind the others.

use ladderpass_routing::{Span, Time};

/// What a connection took lately; it fades. The front keeps it with the connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientUsage {
    work: f64,
    at: Time,
    /// The last bucket in which it counted as active.
    bucket: i64,
}

/// Work fades by a factor e in this time; connections count as active in steps of it.
const FADE: Span = Span::from_millis(500);
/// With fewer active connections there is nothing to be fair among.
const ENOUGH: f64 = 4.0;

#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// All work, fading like each connection's.
    work: f64,
    at: Time,
    bucket: i64,
    active: f64,
    active_before: f64,
}

fn faded(work: f64, from: Time, to: Time) -> f64 {
    work * (-(to - from).secs().clamp(0.0, 60.0) / FADE.secs()).exp()
}

impl FairShares {
    /// A connection has sent work; it counts whether it is taken or refused.
    pub fn record(&mut self, now: Time, spent: &mut ClientUsage, work: f64) {
        let work = if work.is_finite() { work.max(0.0) } else { 0.0 };
        let number = now.nanos().div_euclid(FADE.nanos());
        if number != self.bucket {
            self.active_before = if number == self.bucket + 1 { self.active } else { 0.0 };
            (self.active, self.bucket) = (0.0, number);
        }
        if spent.bucket != number {
            spent.bucket = number;
            self.active += 1.0;
        }
        self.work = faded(self.work, self.at, now) + work;
        spent.work = faded(spent.work, spent.at, now) + work;
        (self.at, spent.at) = (now, now);
    }

    /// Connections that sent something lately.
    pub fn active_clients(&self) -> f64 {
        self.active.max(self.active_before)
    }

    /// Does it take more than `times` what the others have on average?
    pub fn exceeds_fair_share(&self, spent: &ClientUsage, times: f64) -> bool {
        let others = self.active_clients() - 1.0;
        let left = (self.work - spent.work).max(0.0);
        others >= ENOUGH && spent.work > times * (left / others).max(1.0)
    }
}

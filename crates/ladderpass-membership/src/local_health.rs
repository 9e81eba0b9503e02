//! Lifeguard's local health: how much this router distrusts its own findings, and whether it is isolated.
//!
//! The score grows with missed acks and nacks, refuted suspicions of itself and stalls; it multiplies the timeouts of
//! this router's probes. A router that no other has acknowledged for a while is isolated.

use ladderpass_routing::{Span, Time};

/// The worst health score.
const MAX_SCORE: u32 = 8;

/// The health score and the last acknowledgement.
pub(crate) struct LocalHealth {
    score: u32,
    last_acknowledged_at: Time,
    isolation_timeout: Span,
}

impl LocalHealth {
    pub fn new(now: Time, isolation_timeout: Span) -> LocalHealth {
        LocalHealth { score: 0, last_acknowledged_at: now, isolation_timeout }
    }

    /// 0 when healthy, up to 8.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Factor on the timeouts of this router's probes.
    pub fn timeout_multiplier(&self) -> f64 {
        f64::from(self.score + 1)
    }

    /// A probe of this router was acked: its findings count for more.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Something speaks against this router's own health, by so many steps.
    pub fn degrade(&mut self, steps: u32) {
        self.score = (self.score + steps).min(MAX_SCORE);
    }

    /// Another router has shown that it receives this one's datagrams.
    pub fn record_acknowledgement(&mut self, now: Time) {
        self.last_acknowledged_at = now;
    }

    /// Has no router acknowledged this one for so long that it may be the one that is cut off?
    pub fn is_isolated(&self, now: Time) -> bool {
        now - self.last_acknowledged_at > self.isolation_timeout
    }

    /// This router did not run for so long: missing acknowledgements in that time prove nothing.
    pub fn record_stall(&mut self, stall: Span) {
        self.degrade(1);
        self.last_acknowledged_at = self.last_acknowledged_at + stall;
    }
}

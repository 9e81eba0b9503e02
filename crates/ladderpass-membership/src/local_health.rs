//! Lifeguard's local health score, which tells how unreliable this router's own findings are, and whether the router
//! is isolated.
//!
//! The score grows with missing acks and nacks, with refutations of suspicions about this router, and with stalls. The
//! timeouts of this router's probes are multiplied by the score plus one. A router is isolated if no other router has
//! acknowledged a datagram of this router for `Settings::isolation_timeout`.

use ladderpass_routing::{Span, Time};

/// The worst health score.
const MAX_SCORE: u32 = 8;

/// The health score, and when another router last acknowledged a datagram of this router.
pub(crate) struct LocalHealth {
    score: u32,
    last_acknowledged_at: Time,
    isolation_timeout: Span,
}

impl LocalHealth {
    pub fn new(now: Time, isolation_timeout: Span) -> LocalHealth {
        LocalHealth { score: 0, last_acknowledged_at: now, isolation_timeout }
    }

    /// This router's health score, from 0 (healthy) to 8 (worst).
    pub fn score(&self) -> u32 {
        self.score
    }

    /// The factor by which the timeouts of this router's probes are multiplied.
    pub fn timeout_multiplier(&self) -> f64 {
        f64::from(self.score + 1)
    }

    /// Improves this router's health score by one step. Called when a probe that this router sent was acked.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Worsens this router's health score by this many steps. Called on signs that this router itself is slow or cut
    /// off.
    pub fn degrade(&mut self, steps: u32) {
        self.score = (self.score + steps).min(MAX_SCORE);
    }

    /// Records that another router has received a datagram of this router.
    pub fn record_acknowledgement(&mut self, now: Time) {
        self.last_acknowledged_at = now;
    }

    /// Whether no other router has acknowledged a datagram of this router for so long that this router may be the one
    /// that is cut off.
    pub fn is_isolated(&self, now: Time) -> bool {
        now - self.last_acknowledged_at > self.isolation_timeout
    }

    /// Records that this router did not run for this long, which worsens the score by one step. Acknowledgements that
    /// are missing from that time prove nothing, so the time without running does not count towards isolation.
    pub fn record_stall(&mut self, stall: Span) {
        self.degrade(1);
        self.last_acknowledged_at = self.last_acknowledged_at + stall;
    }
}

//! A suspicion of one router: who has it, and until when the suspected router may refute it.
//!
//! The timeout (Lifeguard) grows with the logarithm of the number of routers, since a refutation needs time to spread,
//! and shrinks with independent confirmations: a router whose finding nobody confirms is more often at fault itself.

use crate::settings::Settings;
use ladderpass_routing::{Span, Time};

/// A suspicion that may still be refuted.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    started_at: Time,
    /// Ids of the routers that have it, the first at the front.
    suspected_by: Vec<u16>,
    deadline: Time,
}

impl Suspicion {
    /// A suspicion that nobody is recorded for yet; its timeout is set with the first confirmation.
    pub fn start(now: Time) -> Suspicion {
        Suspicion { started_at: now, suspected_by: Vec::new(), deadline: now }
    }

    /// Records a router that suspects as well, each once and no more than `max`.
    pub fn add_suspecting_router(&mut self, router_id: u16, max: usize) {
        if !self.suspected_by.contains(&router_id) && self.suspected_by.len() < max {
            self.suspected_by.push(router_id);
        }
    }

    /// How many routers suspect it.
    pub fn suspecting_router_count(&self) -> usize {
        self.suspected_by.len()
    }

    /// The id of the router that suspected it first.
    pub fn first_suspecting_router(&self) -> Option<u16> {
        self.suspected_by.first().copied()
    }

    /// Sets the time to refute, counted from the start of the suspicion.
    pub fn set_timeout(&mut self, timeout: Span) {
        self.deadline = self.started_at + timeout;
    }

    /// When the router is dead unless it has refuted.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Moves the suspicion by a time in which this router did not run.
    pub fn postpone(&mut self, by: Span) {
        self.started_at = self.started_at + by;
        self.deadline = self.deadline + by;
    }

    /// Grants the full time to refute once more, from now on.
    pub fn restart(&mut self, now: Time) {
        self.deadline = now + (self.deadline - self.started_at);
        self.started_at = now;
    }
}

/// How long a router may refute the suspicion of `suspecting_router_count` routers, among `cluster_size` routers.
///
/// From `min_suspicion_timeout` times the decimal logarithm of the cluster size, once enough routers have confirmed it, up to
/// `max_suspicion_factor` times that, while none has.
pub(crate) fn suspicion_timeout(
    settings: &Settings,
    cluster_size: usize,
    suspecting_router_count: usize,
) -> Span {
    let min = settings.min_suspicion_timeout * (cluster_size as f64).log10().max(1.0);
    let max = min * settings.max_suspicion_factor;
    // Neither this router nor the suspected one can confirm it.
    let required = settings.required_confirmations.min(cluster_size.saturating_sub(2)).max(1);
    let confirmations = suspecting_router_count.saturating_sub(1).min(required);
    let confirmed_share = ((confirmations + 1) as f64).ln() / ((required + 1) as f64).ln();
    max - (max - min) * confirmed_share
}

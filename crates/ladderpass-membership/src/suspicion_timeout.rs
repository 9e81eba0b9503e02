//! A suspicion about one router: which routers have it, and until when the suspected router may refute it.
//!
//! The timeout (Lifeguard) grows with the logarithm of the number of routers, since a refutation needs time to spread.
//! The timeout shrinks with independent confirmations, since a router whose suspicion no other router confirms is more
//! likely to be at fault itself.

use crate::settings::Settings;
use ladderpass_routing::{Span, Time};

/// A suspicion that may still be refuted.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    started_at: Time,
    /// Ids of the routers that have the suspicion, in the order in which they were recorded.
    suspected_by: Vec<u16>,
    deadline: Time,
}

impl Suspicion {
    /// Creates a suspicion without any suspecting router. The caller then records the first suspecting router and sets
    /// the timeout.
    pub fn start(now: Time) -> Suspicion {
        Suspicion { started_at: now, suspected_by: Vec::new(), deadline: now }
    }

    /// Records a router that has the suspicion. Each router is recorded once, and no more than `max` are recorded.
    pub fn add_suspecting_router(&mut self, router_id: u16, max: usize) {
        if !self.suspected_by.contains(&router_id) && self.suspected_by.len() < max {
            self.suspected_by.push(router_id);
        }
    }

    /// How many routers are recorded as having the suspicion.
    pub fn suspecting_router_count(&self) -> usize {
        self.suspected_by.len()
    }

    /// The id of the router that had the suspicion first.
    pub fn first_suspecting_router(&self) -> Option<u16> {
        self.suspected_by.first().copied()
    }

    /// Sets the time that the suspected router has to refute, counted from the start of the suspicion.
    pub fn set_timeout(&mut self, timeout: Span) {
        self.deadline = self.started_at + timeout;
    }

    /// When the suspected router is confirmed dead unless it has refuted.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Postpones the start and the deadline by a time for which this router did not run.
    pub fn postpone(&mut self, by: Span) {
        self.started_at = self.started_at + by;
        self.deadline = self.deadline + by;
    }

    /// Gives the suspected router its full time to refute once more, counted from `now`.
    pub fn restart(&mut self, now: Time) {
        self.deadline = now + (self.deadline - self.started_at);
        self.started_at = now;
    }
}

/// How long a router may refute a suspicion that `suspecting_router_count` of `cluster_size` routers have.
///
/// The shortest timeout is `min_suspicion_timeout` times the decimal logarithm of the cluster size, or
/// `min_suspicion_timeout` itself with up to ten routers. The shortest timeout applies once enough routers have
/// confirmed the suspicion. The longest timeout is `max_suspicion_factor` times the shortest. The longest timeout
/// applies as long as no router has confirmed the suspicion.
pub(crate) fn suspicion_timeout(
    settings: &Settings,
    cluster_size: usize,
    suspecting_router_count: usize,
) -> Span {
    let min = settings.min_suspicion_timeout * (cluster_size as f64).log10().max(1.0);
    let max = min * settings.max_suspicion_factor;
    // Neither the router that had the suspicion first nor the suspected router can confirm the suspicion.
    let required = settings.required_confirmations.min(cluster_size.saturating_sub(2)).max(1);
    let confirmations = suspecting_router_count.saturating_sub(1).min(required);
    let confirmed_share = ((confirmations + 1) as f64).ln() / ((required + 1) as f64).ln();
    max - (max - min) * confirmed_share
}

//! The load balancer of the clients, which chooses the router of each new connection.

use ladderpass_emulator::now;
use ladderpass_routing::{Span, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A load balancer in front of one or several routers. It distributes connections by weight, and detects with a delay
/// that a router is down.
pub struct LoadBalancer {
    /// Addresses of the routers. Other types refer to a router by its index in this list.
    pub routers: Vec<SocketAddr>,
    /// Weight of each router for new connections. Routers beyond the end of the list have weight 1.
    pub weights: Vec<f64>,
    /// Fraction of the connections that move to another router from time to time.
    pub roaming: f64,
    /// Mean time for which a connection that moves between routers (see `roaming`) stays at one of them.
    pub mean_stay: Span,
    /// Time until the balancer detects that a router is down. Until then, new connections still go to that router.
    pub down_detection: Span,
    /// The routers that are down, whether or not the balancer has detected that they are.
    pub down: Arc<DownRouters>,
}

/// The routers that are down, each with the time at which it went down. The code that ends and restarts routers updates this
/// record.
#[derive(Default)]
pub struct DownRouters(Mutex<HashMap<usize, Time>>);

impl DownRouters {
    fn lock(&self) -> MutexGuard<'_, HashMap<usize, Time>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a router is down from now on, unless it was recorded as down before.
    pub fn mark_down(&self, router: usize) {
        self.lock().entry(router).or_insert_with(now);
    }

    /// Records that a router is up again.
    pub fn mark_up(&self, router: usize) {
        self.lock().remove(&router);
    }

    /// Returns since when a router is down, or `None` if it is up.
    fn since(&self, router: usize) -> Option<Time> {
        self.lock().get(&router).copied()
    }
}

impl LoadBalancer {
    /// Creates a balancer that sends all connections to one router, whether or not it is up.
    pub fn single(router: SocketAddr) -> LoadBalancer {
        LoadBalancer {
            routers: vec![router],
            weights: vec![1.0],
            roaming: 0.0,
            mean_stay: Span::MAX,
            down_detection: Span::MAX,
            down: Arc::default(),
        }
    }

    /// Returns whether there is only one router.
    pub(super) fn is_single(&self) -> bool {
        self.routers.len() == 1
    }

    /// Draws a router for a new connection, by weight, among those that are not detected as down. Returns router 0 if
    /// all routers are detected as down.
    pub(super) fn draw_router(&self, rng: &mut SmallRng) -> usize {
        let now = now();
        let believed_up =
            |&router: &usize| self.down.since(router).is_none_or(|since| now - since < self.down_detection);
        let candidates: Vec<usize> = (0..self.routers.len()).filter(believed_up).collect();
        let weight = |router: usize| self.weights.get(router).copied().unwrap_or(1.0);
        let total_weight = candidates.iter().map(|&router| weight(router)).sum::<f64>();
        let mut remaining = rng.random::<f64>() * total_weight;
        let drawn = candidates.iter().find(|&&router| {
            remaining -= weight(router);
            remaining < 0.0
        });
        drawn.or(candidates.last()).copied().unwrap_or(0)
    }
}

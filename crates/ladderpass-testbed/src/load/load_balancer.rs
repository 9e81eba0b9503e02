//! The load balancer of the clients: to which router each new connection goes.

use ladderpass_emulator::now;
use ladderpass_routing::{Span, Time};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A load balancer before several routers. It spreads connections unevenly, and notices late that a router has ended.
pub struct LoadBalancer {
    /// Addresses of the routers; elsewhere a router is its index here.
    pub routers: Vec<SocketAddr>,
    /// Weight of each router for new connections.
    pub weights: Vec<f64>,
    /// Fraction of the connections that move to another router again and again.
    pub roaming: f64,
    /// Mean time that a roaming connection stays at a router.
    pub mean_stay: Span,
    /// How long new connections still go to a router that is down.
    pub down_detection: Span,
    /// Which routers are down.
    pub down: Arc<DownRouters>,
}

/// Which routers are down, and since when. Whoever ends and starts routers reports it here.
#[derive(Default)]
pub struct DownRouters(Mutex<HashMap<usize, Time>>);

impl DownRouters {
    fn lock(&self) -> MutexGuard<'_, HashMap<usize, Time>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A router has gone down now.
    pub fn mark_down(&self, router: usize) {
        self.lock().entry(router).or_insert_with(now);
    }

    /// A router is up again.
    pub fn mark_up(&self, router: usize) {
        self.lock().remove(&router);
    }

    fn since(&self, router: usize) -> Option<Time> {
        self.lock().get(&router).copied()
    }
}

impl LoadBalancer {
    /// All connections go to one router, whether it is up or not.
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

    /// Is there only one router?
    pub(super) fn is_single(&self) -> bool {
        self.routers.len() == 1
    }

    /// Draws a router for a new connection, by weight, among those that are believed to be up.
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

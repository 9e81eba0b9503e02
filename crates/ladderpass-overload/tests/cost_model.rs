//! Tests of the cost model, which learns the costs of serving and rejecting from iterations of the event loop.

use ladderpass_overload::{CostModel, Work};
use ladderpass_routing::Span;

#[test]
fn learns_the_costs_of_serving_and_rejecting_from_any_mix_of_work() {
    let mut costs = CostModel::default();
    for iteration in 0..3000u32 {
        let (served, rejected) = (f64::from(iteration * 7 % 20), f64::from(iteration * 3 % 50));
        let work = Work { served, rejected, kib: served };
        costs.learn(work, Span::from_secs_f64(served * 100e-6 + rejected * 10e-6));
    }
    assert!((80e-6..120e-6).contains(&costs.mean_serve_secs()), "{}", costs.mean_serve_secs());
    assert!((5e-6..15e-6).contains(&costs.reject_secs()), "{}", costs.reject_secs());
}

#[test]
fn costs_stay_positive_and_bounded_after_implausible_iterations() {
    let mut costs = CostModel::default();
    for (served, busy_secs) in
        [(0.0, 0.5), (f64::NAN, 0.1), (1.0, f64::INFINITY), (1e300, 0.9), (1.0, -1.0), (3.0, 0.9)]
    {
        costs.learn(Work { served, rejected: 1.0, kib: served }, Span::from_secs_f64(busy_secs));
        assert!(costs.mean_serve_secs() > 0.0 && costs.mean_serve_secs() < 0.1 && costs.reject_secs() > 0.0);
    }
}

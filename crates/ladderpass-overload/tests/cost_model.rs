//! What serving and refusing cost, learnt from turns.

use ladderpass_overload::{CostModel, Work};
use ladderpass_routing::Span;

#[test]
fn it_tells_what_serving_and_refusing_cost_whatever_the_mix() {
    let mut costs = CostModel::default();
    for turn in 0..3000u32 {
        let (served, refused) = (f64::from(turn * 7 % 20), f64::from(turn * 3 % 50));
        let work = Work { served, rejected: refused, kib: served };
        costs.learn(work, Span::from_secs_f64(served * 100e-6 + refused * 10e-6));
    }
    assert!((80e-6..120e-6).contains(&costs.mean_serve_secs()), "{}", costs.mean_serve_secs());
    assert!((5e-6..15e-6).contains(&costs.reject_secs()), "{}", costs.reject_secs());
}

#[test]
fn nothing_that_a_turn_says_makes_a_cost_absurd() {
    let mut costs = CostModel::default();
    for (served, busy) in
        [(0.0, 0.5), (f64::NAN, 0.1), (1.0, f64::INFINITY), (1e300, 0.9), (1.0, -1.0), (3.0, 0.9)]
    {
        costs.learn(Work { served, rejected: 1.0, kib: served }, Span::from_secs_f64(busy));
        assert!(costs.mean_serve_secs() > 0.0 && costs.mean_serve_secs() < 0.1 && costs.reject_secs() > 0.0);
    }
}

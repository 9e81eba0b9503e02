//! Tests of the capacity of members and of a router's quota of that capacity.

use crate::simulation::{GROUP, LOW, START, STEP, Simulation, uneven_overload};
use ladderpass_admission::{AdmissionController, Faulty};
use ladderpass_routing::{MemberId, MemberLoad};

#[test]
fn the_quota_does_not_grow_after_reports_stop_arriving() {
    let mut sim = Simulation::new(6, uneven_overload(4, 300.0), 300.0, |_| Faulty::NotFaulty);
    sim.run(30);
    let quota = |sim: &Simulation| sim.routers[0].metrics().map(|group| group.quota).sum::<f64>();
    let before = quota(&sim);
    sim.report_loss = 1.0;
    sim.run(40);
    assert!(quota(&sim) <= before * 1.2, "quota {}, before the loss {before}", quota(&sim));
}

/// Guards against a fault that was found in drills with short queues at the members: a member that rejects RPCs answers
/// quickly, so the member's capacity stayed high.
#[test]
fn failed_rpcs_reduce_the_limit_at_a_member() {
    let limit_after = |failure_share: f64| {
        let mut controller = AdmissionController::start(START, 1, Faulty::NotFaulty);
        let mut limit = 0.0;
        for step in 1..20 {
            (0..75).for_each(|_| controller.record_offered(GROUP, LOW));
            let load = MemberLoad {
                member: MemberId(0),
                id_hash: 3,
                group: GROUP,
                latency_ratio: 1.0,
                in_flight: 8.0,
                failure_share,
            };
            let limits = controller.tick(START + STEP * f64::from(step), &[load]).expect("a step is due");
            limit = limits.members[0].max_in_flight;
        }
        limit
    };
    assert!(
        limit_after(0.4) < limit_after(0.0) * 0.6,
        "limit {} with failures, {} without",
        limit_after(0.4),
        limit_after(0.0)
    );
}

//! Slow start: a member that has just started gets a growing share of the traffic.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn a_member_in_slow_start_gets_no_more_than_its_share() {
    let mut router = router_with_replicas(3, |_| {});
    serve_rpcs(&mut router, 0, 1, 60, 20);
    let mut newcomer = endpoint(4, false);
    newcomer.started_at = Some(at(1300));
    router.on_endpoint_update(at(1300), EndpointUpdate::Changes(&[newcomer]));
    let got = serve_rpcs(&mut router, 0, 1300, 80, 20);
    assert!(got[4] >= 1 && f64::from(got[4]) <= 0.5 * f64::from(got[1]), "{got:?}");
}

#[test]
fn queued_writes_are_not_all_sent_at_once_to_a_primary_in_slow_start() {
    let mut router = router_with_replicas(2, |d| d.methods[1].late_utility_share = 0.5);
    router.on_endpoint_update(
        at(1000),
        EndpointUpdate::Changes(&[Endpoint { state: EndpointState::Draining, ..endpoint(0, false) }]),
    );
    let mut newcomer = endpoint(1, false);
    newcomer.started_at = Some(at(1000));
    router.on_endpoint_update(at(1000), EndpointUpdate::Changes(&[newcomer]));
    (0..60).for_each(|_| assert_eq!(router.accept(at(1000), arrival(1, 1000)).1, Decision::Queue));
    answer_health_check(&mut router, 1500, 1, 1500, true);
    let first = router.tick(at(1500)).decisions.iter().filter(|(_, d)| sent_to(*d).is_some()).count();
    assert!(first <= 2, "{first} of 60 writes were sent at once");
}

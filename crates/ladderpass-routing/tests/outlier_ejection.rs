//! A member that fails several times in a row is ejected: it gets no attempts until it answers again.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn a_member_readmitted_after_a_long_absence_goes_through_slow_start() {
    let mut router = router_with_replicas(3, |_| {});
    for ms in [1, 600, 1200, 1800] {
        router.on_health_check_ended(
            at(ms),
            MemberId(3),
            AttemptOutcome::Unreachable,
            Span::ZERO,
            LoadReport::default(),
        );
    }
    let messages = router.tick(at(1800)).log_messages;
    assert!(
        messages.iter().any(|message| message.contains("#3 ejected after 3 consecutive failures")),
        "{messages:?}"
    );
    let got = serve_rpcs(&mut router, 0, 2000, 80, 20);
    assert!(f64::from(got[3]) <= 0.6 * f64::from(got[1]), "{got:?}");
}

/// Guards against a router that, where health checks are not allowed, never sends attempts again to a primary that
/// was unreachable once.
#[test]
fn without_health_checks_an_unreachable_primary_is_tried_again_after_a_delay() {
    let mut router =
        router_with_replicas(1, |d| (d.health_checks, d.health_checks_report_position) = (false, false));
    let (rpc, decision) = router.accept(at(0), arrival(1, 0));
    assert_eq!(sent_to(decision), Some(0));
    rpc.abandon(&mut router);
    rpc.on_attempt_ended(&mut router, at(0), result(0, AttemptOutcome::Unreachable, 1));
    let mut sent = |ms| {
        router.tick(at(ms));
        let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
        rpc.abandon(&mut router);
        sent_to(decision)
    };
    assert_eq!(sent(200), None, "the primary was tried again too soon");
    assert_eq!(sent(1000), Some(0));
}

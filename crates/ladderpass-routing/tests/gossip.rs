//! Updates about members that routers exchange.

mod common;

use common::*;
use ladderpass_routing::*;

/// A router that has had no answer from a replica within the staleness bound sends its reads to the primary, or
/// delays them until a health check. With gossip, the answers that other routers had are enough.
#[test]
fn a_position_received_by_gossip_is_valid_until_the_staleness_bound() {
    let mut router = router_with_gossip(|_| ());
    assert_eq!(
        sent_to(router.accept(at(10), arrival(0, 10)).1),
        Some(0),
        "no replica has proven a position yet"
    );
    router.on_peer_update(at(20), peer_update(1, MemberObservation::Replica, 15));
    assert_eq!(sent_to(router.accept(at(30), arrival(0, 30)).1), Some(1));
    // An update that is older than a known position does not lower the position. An update with a time in the
    // future is ignored.
    router.on_peer_update(at(40), peer_update(1, MemberObservation::Replica, 3));
    router.on_peer_update(at(40), peer_update(2, MemberObservation::Replica, 500));
    assert_eq!(sent_to(router.accept(at(200), arrival(0, 200)).1), Some(1));
    assert_ne!(
        sent_to(router.accept(at(815), arrival(0, 815)).1),
        Some(1),
        "the position is older than the bound of 800 ms"
    );
}

#[test]
fn gossip_about_a_member_that_no_list_has_named_is_ignored() {
    let mut router = router_with_gossip(|_| ());
    router.on_peer_update(at(20), peer_update(7, MemberObservation::Primary, 15));
    router.on_peer_update(at(20), peer_update(7, MemberObservation::Replica, 15));
    assert_eq!(sent_to(router.accept(at(30), arrival(1, 30)).1), Some(0));
}

/// Guards against every router having to discover a new primary for itself where the endpoint list always names the
/// first primary.
#[test]
fn writes_go_to_a_new_primary_learned_by_gossip() {
    let mut router = router_with_gossip(|deployment| deployment.primary_in_list = PrimaryInList::AtStart);
    router.on_peer_update(at(20), peer_update(2, MemberObservation::Primary, 15));
    assert_eq!(sent_to(router.accept(at(30), arrival(1, 30)).1), Some(2));
    router.on_peer_update(at(40), peer_update(0, MemberObservation::Primary, 5));
    assert_eq!(
        sent_to(router.accept(at(50), arrival(1, 50)).1),
        Some(2),
        "an older update must not change the primary"
    );
}

#[test]
fn a_report_is_published_only_if_no_router_published_one_recently() {
    let mut router = router_with_gossip(|_| ());
    router.on_peer_update(at(1), peer_update(1, MemberObservation::Replica, 0));
    let mut published = 0;
    for ms in (400..1400).step_by(10) {
        router.on_peer_update(
            at(ms),
            MemberUpdate { same_zone: false, ..peer_update(1, MemberObservation::Replica, ms - 5) },
        );
        let (rpc, _) = router.accept(at(ms), arrival(0, ms));
        let position = Some(at(ms + 4));
        let answer =
            AttemptResult { role: Some(Role::Replica), position, ..result(1, AttemptOutcome::Ok, 5) };
        rpc.on_attempt_ended(&mut router, at(ms + 5), answer);
        published += router.tick(at(ms + 5)).gossip.len();
    }
    assert_eq!(published, 0, "other routers have just published it");
    let (rpc, _) = router.accept(at(2000), arrival(0, 2000));
    let answer = AttemptResult {
        role: Some(Role::Replica),
        position: Some(at(2003)),
        ..result(1, AttemptOutcome::Ok, 5)
    };
    rpc.on_attempt_ended(&mut router, at(2005), answer);
    let published = router.tick(at(2005)).gossip;
    let positions: Vec<_> =
        published.iter().filter(|update| update.observation == MemberObservation::Replica).collect();
    assert!(
        matches!(positions[..], [MemberUpdate { latency_ratio, .. }] if *latency_ratio > 0.0),
        "{published:?}"
    );
}

/// Guards against every router of a zone losing RPCs to the same unreachable member. Three updates from the router's
/// own zone eject the member, and updates from other zones do not count.
#[test]
fn gossip_from_the_same_zone_ejects_and_readmits_a_member() {
    let mut router = router_with_gossip(|_| ());
    let report_position = |router: &mut Router, ms| {
        router.on_peer_update(at(ms), peer_update(1, MemberObservation::Replica, ms - 1))
    };
    report_position(&mut router, 10);
    for ms in [20, 30, 40] {
        router.on_peer_update(
            at(ms),
            MemberUpdate { same_zone: false, ..peer_update(1, MemberObservation::Unreachable, ms - 1) },
        );
    }
    assert_eq!(
        sent_to(router.accept(at(50), arrival(0, 50)).1),
        Some(1),
        "updates from other zones ejected the member"
    );
    for ms in [60, 70, 80] {
        router.on_peer_update(at(ms), peer_update(1, MemberObservation::Unreachable, ms - 1));
    }
    assert_ne!(sent_to(router.accept(at(90), arrival(0, 90)).1), Some(1));
    report_position(&mut router, 100);
    let served = (0..20).filter(|n| sent_to(router.accept(at(110 + n), arrival(0, 110 + n)).1) == Some(1));
    assert!(served.count() > 0, "the member was not readmitted");
}

/// Guards against a member having dozens of RPCs in flight while each router has at most one RPC in flight at the
/// member, so that no router's own concurrency limit binds.
#[test]
fn an_overloaded_member_gets_fewer_reads_until_it_recovers() {
    let mut router = router_with_gossip(|deployment| deployment.health_checks_report_position = true);
    let reads = |router: &mut Router, from: i64, in_flight: f64| {
        let mut sent = 0;
        for step in 0..40 {
            let ms = from + step * 100;
            let update = MemberUpdate {
                in_flight: Some(in_flight),
                ..peer_update(1, MemberObservation::Replica, ms - 1)
            };
            router.on_peer_update(at(ms), update);
            router.tick(at(ms));
            let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
            match sent_to(decision) {
                Some(1) => {
                    sent += 1;
                    rpc.on_attempt_ended(router, at(ms + 10), result(1, AttemptOutcome::Ok, 10));
                }
                _ => rpc.abandon(router),
            }
        }
        sent
    };
    let (before, overloaded) = (reads(&mut router, 100, 0.0), reads(&mut router, 5000, 30.0));
    (0..4).for_each(|nth| _ = reads(&mut router, 10_000 + nth * 5000, 0.0));
    let after = reads(&mut router, 30_000, 0.0);
    assert!(
        before >= 30 && overloaded <= before / 3 && after >= 25,
        "reads sent: {before} before the overload, {overloaded} during it, {after} after it"
    );
}

/// Without gossip, a router gets load reports only from its own infrequent health checks. With so few reports,
/// a member's share of reads that was reduced during congestion would take a quarter of a minute to recover, so
/// the router does not reduce it.
#[test]
fn without_gossip_load_reports_do_not_reduce_the_share_of_reads() {
    let mut router = router_with_gossip(|deployment| deployment.gossip = false);
    for ms in (0..3000).step_by(100) {
        let report = LoadReport { position: Some(at(ms)), is_primary: Some(false), in_flight: Some(50.0) };
        (1..3).for_each(|m| {
            router.on_health_check_ended(at(ms), MemberId(m), AttemptOutcome::Ok, Span::ZERO, report)
        });
    }
    for ms in (3000..3700).step_by(20) {
        let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
        let Some(member) = sent_to(decision) else { panic!("{decision:?} at {ms}") };
        rpc.on_attempt_ended(&mut router, at(ms + 5), result(member, AttemptOutcome::Ok, 5));
    }
}

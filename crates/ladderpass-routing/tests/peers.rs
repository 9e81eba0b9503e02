//! What routers tell each other, and what stands in where a deployment lacks a signal.

mod common;
use common::*;
use ladderpass_routing::*;

fn news(member: u32, word: MemberObservation, ms: i64) -> MemberUpdate {
    MemberUpdate {
        member: MemberId(member),
        observation: word,
        at: at(ms),
        same_zone: true,
        latency_ratio: 0.0,
        in_flight: None,
    }
}

/// A primary and two replicas, of which nothing is known; probes tell life alone.
fn started(change: impl Fn(&mut Deployment)) -> Router {
    let mut told = Deployment { gossip: true, health_checks_report_position: false, ..deployment() };
    change(&mut told);
    let mut router = Router::start(at(0), 1, told);
    let list: Vec<Endpoint> =
        (0..3).map(|m| Endpoint { concurrency: Some(2.0), ..entry(m, m == 0) }).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    router
}

/// Guards reads that would go to the primary, or be held for a probe that tells nothing, at each router that has not
/// met a replica within the bound.
#[test]
fn a_position_told_by_another_router_serves_until_the_bound() {
    let mut router = started(|_| ());
    assert_eq!(sent_to(router.accept(at(10), arrival(0, 10)).1), Some(0), "nothing is known of the replicas");
    router.on_peer_update(at(20), news(1, MemberObservation::Replica, 15));
    assert_eq!(sent_to(router.accept(at(30), arrival(0, 30)).1), Some(1));
    // Late, doubled and older news take nothing back; news of the future is none.
    router.on_peer_update(at(40), news(1, MemberObservation::Replica, 3));
    router.on_peer_update(at(40), news(2, MemberObservation::Replica, 500));
    assert_eq!(sent_to(router.accept(at(200), arrival(0, 200)).1), Some(1));
    assert_ne!(sent_to(router.accept(at(815), arrival(0, 815)).1), Some(1), "800 ms are over");
}

#[test]
fn a_member_heard_of_from_another_router_alone_is_sent_nothing() {
    let mut router = started(|_| ());
    router.on_peer_update(at(20), news(7, MemberObservation::Primary, 15));
    router.on_peer_update(at(20), news(7, MemberObservation::Replica, 15));
    assert_eq!(sent_to(router.accept(at(30), arrival(1, 30)).1), Some(0));
}

/// Guards against each router finding out for itself, where the list names the morning's primary for ever.
#[test]
fn a_new_primary_told_by_another_router_gets_the_writes() {
    let mut router = started(|told| told.primary_in_list = PrimaryInList::AtStart);
    router.on_peer_update(at(20), news(2, MemberObservation::Primary, 15));
    assert_eq!(sent_to(router.accept(at(30), arrival(1, 30)).1), Some(2));
    router.on_peer_update(at(40), news(0, MemberObservation::Primary, 5));
    assert_eq!(sent_to(router.accept(at(50), arrival(1, 50)).1), Some(2), "an older claim");
}

#[test]
fn what_a_member_told_is_passed_on_once_in_a_part_of_the_bound() {
    let mut router = started(|_| ());
    router.on_peer_update(at(1), news(1, MemberObservation::Replica, 0));
    let mut told = 0;
    for ms in (400..1400).step_by(10) {
        router.on_peer_update(
            at(ms),
            MemberUpdate { same_zone: false, ..news(1, MemberObservation::Replica, ms - 5) },
        );
        let (rpc, _) = router.accept(at(ms), arrival(0, ms));
        let position = Some(at(ms + 4));
        let seen = AttemptResult { role: Some(Role::Replica), position, ..outcome(1, AttemptOutcome::Ok, 5) };
        rpc.on_attempt_ended(&mut router, at(ms + 5), seen);
        told += router.tick(at(ms + 5)).gossip.len();
    }
    assert_eq!(told, 0, "others have just told it");
    let (rpc, _) = router.accept(at(2000), arrival(0, 2000));
    let seen = AttemptResult {
        role: Some(Role::Replica),
        position: Some(at(2003)),
        ..outcome(1, AttemptOutcome::Ok, 5)
    };
    rpc.on_attempt_ended(&mut router, at(2005), seen);
    let told = router.tick(at(2005)).gossip;
    let positions: Vec<_> =
        told.iter().filter(|news| news.observation == MemberObservation::Replica).collect();
    assert!(
        matches!(positions[..], [MemberUpdate { latency_ratio: stretch, .. }] if *stretch > 0.0),
        "{told:?}"
    );
}

/// Guards the routers of a zone that would each lose RPCs to the same dead member; three words of near ones count.
#[test]
fn words_of_near_routers_leave_a_lost_member_out_and_one_brings_it_back() {
    let mut router = started(|_| ());
    let fresh =
        |router: &mut Router, ms| router.on_peer_update(at(ms), news(1, MemberObservation::Replica, ms - 1));
    fresh(&mut router, 10);
    for ms in [20, 30, 40] {
        router.on_peer_update(
            at(ms),
            MemberUpdate { same_zone: false, ..news(1, MemberObservation::Unreachable, ms - 1) },
        );
    }
    assert_eq!(sent_to(router.accept(at(50), arrival(0, 50)).1), Some(1), "words from other zones");
    for ms in [60, 70, 80] {
        router.on_peer_update(at(ms), news(1, MemberObservation::Unreachable, ms - 1));
    }
    assert_ne!(sent_to(router.accept(at(90), arrival(0, 90)).1), Some(1));
    fresh(&mut router, 100);
    let served = (0..20).filter(|n| sent_to(router.accept(at(110 + n), arrival(0, 110 + n)).1) == Some(1));
    assert!(served.count() > 0, "it is back");
}

/// Guards members that hold dozens of RPCs while no router has two in flight there.
#[test]
fn all_routers_take_reads_from_a_member_that_holds_too_many_and_give_them_back() {
    let mut router = started(|told| told.health_checks_report_position = true);
    let reads = |router: &mut Router, from: i64, holds: f64| {
        let mut sent = 0;
        for step in 0..40 {
            let ms = from + step * 100;
            let told = MemberUpdate { in_flight: Some(holds), ..news(1, MemberObservation::Replica, ms - 1) };
            router.on_peer_update(at(ms), told);
            router.tick(at(ms));
            let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
            match sent_to(decision) {
                Some(1) => {
                    sent += 1;
                    rpc.on_attempt_ended(router, at(ms + 10), outcome(1, AttemptOutcome::Ok, 10));
                }
                _ => rpc.abandon(router),
            }
        }
        sent
    };
    let (calm, crowded) = (reads(&mut router, 100, 0.0), reads(&mut router, 5000, 30.0));
    (0..4).for_each(|nth| _ = reads(&mut router, 10_000 + nth * 5000, 0.0));
    let after = reads(&mut router, 30_000, 0.0);
    assert!(calm >= 30 && crowded <= calm / 3 && after >= 25, "{calm}, {crowded}, {after}");
}

/// Guards work spent on RPCs that fail wherever they go, and members blamed for them.
#[test]
fn two_errors_end_an_rpc_and_blame_nobody() {
    let mut router = started(|_| ());
    for ms in (10..400).step_by(10) {
        router.on_peer_update(at(ms), news(1, MemberObservation::Replica, ms - 1));
        router.on_peer_update(at(ms), news(2, MemberObservation::Replica, ms - 1));
        let (rpc, first) = router.accept(at(ms), arrival(0, ms));
        let Some(one) = sent_to(first) else { panic!("{first:?} at {ms}") };
        let second = rpc.on_attempt_ended(&mut router, at(ms + 1), outcome(one, AttemptOutcome::Failed, 1));
        let Some(other) = sent_to(second) else { panic!("{second:?} at {ms}") };
        assert_ne!(one, other);
        let end = rpc.on_attempt_ended(&mut router, at(ms + 2), outcome(other, AttemptOutcome::Failed, 1));
        assert!(matches!(end, Decision::Reject { .. }), "{end:?}");
    }
}

/// Guards RPCs that wait two seconds for an answer lost on a slow and lossy way between halls.
#[test]
fn a_call_out_over_a_troubled_way_has_a_limit_and_others_have_none() {
    let mut told = Deployment { gossip: true, ..deployment() };
    told.methods[0].soft_deadline = Span::from_millis(1000);
    let mut router = Router::start(at(0), 1, told);
    let list: Vec<Endpoint> =
        (0..4).map(|m| Endpoint { zone: u32::from(m > 1), ..entry(m, m == 0) }).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    let limits = |router: &mut Router, from: i64| -> Vec<(u32, Option<Span>)> {
        (0..60)
            .filter_map(|n| {
                let ms = from + n * 10;
                (1..4)
                    .for_each(|m| router.on_peer_update(at(ms), news(m, MemberObservation::Replica, ms - 1)));
                let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
                let Decision::Attempt { member, timeout: limit } = decision else { return None };
                rpc.on_attempt_ended(router, at(ms + 5), outcome(member.0, AttemptOutcome::Ok, 20));
                Some((member.0, limit))
            })
            .collect()
    };
    assert!(limits(&mut router, 100).iter().all(|(_, limit)| limit.is_none()));
    for n in 0..40 {
        let member = MemberId(2 + (n % 2));
        router.on_health_check_ended(
            at(1000 + i64::from(n)),
            member,
            AttemptOutcome::TimedOut,
            Span::ZERO,
            LoadReport::default(),
        );
        let back = LoadReport { position: Some(at(1000)), is_primary: Some(false), in_flight: None };
        router.on_health_check_ended(at(1000 + i64::from(n)), member, AttemptOutcome::Ok, Span::ZERO, back);
    }
    let later = limits(&mut router, 1100);
    assert!(later.iter().all(|&(member, limit)| (member > 1) == limit.is_some()), "{later:?}");
}

/// A router by itself learns by its own few probes alone: a part taken in a jam would stay for a quarter of a minute.
#[test]
fn a_router_that_hears_no_other_takes_no_part_of_the_reads() {
    let mut router = started(|told| told.gossip = false);
    for ms in (0..3000).step_by(100) {
        let report = LoadReport { position: Some(at(ms)), is_primary: Some(false), in_flight: Some(50.0) };
        (1..3).for_each(|m| {
            router.on_health_check_ended(at(ms), MemberId(m), AttemptOutcome::Ok, Span::ZERO, report)
        });
    }
    for ms in (3000..3700).step_by(20) {
        let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
        let Some(member) = sent_to(decision) else { panic!("{decision:?} at {ms}") };
        rpc.on_attempt_ended(&mut router, at(ms + 5), outcome(member, AttemptOutcome::Ok, 5));
    }
}

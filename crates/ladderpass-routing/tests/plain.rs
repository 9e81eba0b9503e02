//! Plain cases of the mechanism.

mod common;

use common::*;
use ladderpass_routing::*;

fn started() -> Router {
    let mut router = Router::start(at(0), 7, deployment());
    router.on_endpoint_update(
        at(0),
        EndpointUpdate::Cached(&[entry(0, true), entry(1, false), entry(2, false)]),
    );
    assert_eq!(router.tick(at(0)).health_checks.len(), 3);
    router
}

#[test]
fn a_fresh_router_holds_until_the_first_answers() {
    let mut router = started();
    let (_, decision) = router.accept(at(1), arrival(0, 1));
    assert_eq!(decision, Decision::Queue);
    probe(&mut router, 5, 1, 0, false);
    assert_eq!(sent_to(router.tick(at(5)).decisions[0].1), Some(1));
}

#[test]
fn a_read_leaves_out_a_lagging_replica_and_spills_to_the_primary() {
    let mut router = started();
    probe(&mut router, 5, 0, 4, true);
    probe(&mut router, 5, 1, 0, false);
    probe(&mut router, 5, 2, -2000, false);
    for ms in 10..14 {
        let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
        assert_eq!(sent_to(decision), Some(1));
        rpc.on_attempt_ended(&mut router, at(ms), outcome(1, AttemptOutcome::Ok, 0));
    }
    probe(&mut router, 900, 1, 50, false);
    probe(&mut router, 900, 2, -2000, false);
    assert_eq!(sent_to(router.accept(at(900), arrival(0, 900)).1), Some(0));
}

#[test]
fn a_write_that_may_have_run_is_never_sent_again_nor_pushed_back() {
    let mut router = started();
    probe(&mut router, 5, 0, 4, true);
    let (rpc, decision) = router.accept(at(10), arrival(1, 10));
    assert_eq!(sent_to(decision), Some(0));
    assert_eq!(
        rpc.on_attempt_ended(&mut router, at(15), outcome(0, AttemptOutcome::ConnectionLost, 5)),
        Decision::Fail
    );
}

/// What all routers may spend on further call-outs is spent: the answer goes at once, as its method allows.
#[test]
fn an_rpc_whose_further_call_out_is_not_paid_for_is_answered_at_once() {
    let fresh = || {
        let mut router = started();
        probe(&mut router, 5, 0, 4, true);
        probe(&mut router, 5, 1, 4, false);
        router
    };
    for (method, unpaid) in [(0, false), (0, true), (1, true)] {
        let mut router = fresh();
        let (rpc, decision) = router.accept(at(10), arrival(method, 10));
        let member = sent_to(decision).expect("one has room");
        let broken =
            AttemptResult { retry_denied: unpaid, ..outcome(member, AttemptOutcome::ConnectionLost, 5) };
        let next = rpc.on_attempt_ended(&mut router, at(15), broken);
        let fits = match (method, unpaid) {
            (0, false) => matches!(next, Decision::Attempt { .. } | Decision::Queue),
            (0, true) => matches!(next, Decision::Reject { .. }),
            _ => next == Decision::Fail,
        };
        assert!(fits, "{method} {unpaid}: {next:?}");
    }
}

#[test]
fn a_write_turned_away_waits_for_the_new_primary() {
    let mut router = started();
    probe(&mut router, 5, 0, 4, true);
    let (rpc, _) = router.accept(at(10), arrival(1, 10));
    let turned_away = AttemptResult {
        role: Some(Role::Replica),
        position: Some(at(9)),
        ..outcome(0, AttemptOutcome::NotServedHere, 1)
    };
    assert_eq!(rpc.on_attempt_ended(&mut router, at(11), turned_away), Decision::Queue);
    probe(&mut router, 20, 2, 18, true);
    assert_eq!(sent_to(router.tick(at(20)).decisions[0].1), Some(2));
}

/// On a day on which nodes are replaced all the time the tables, and the passes over them, stay those of the
/// members that are there; an index given back never stands for its earlier member.
#[test]
fn members_that_left_long_ago_are_forgotten_and_their_indices_used_again() {
    let mut router = started();
    let (mut now, mut free, mut next) = (5, Vec::new(), 3);
    let mut present = [0, 1, 2];
    let mut most = 0;
    for generation in 0..300 {
        for &member in &present {
            probe(&mut router, now, member, now - 1, member == present[0]);
        }
        let (rpc, decision) = router.accept(at(now), arrival(1, now));
        let called = sent_to(decision);
        assert!(called.is_none_or(|member| present.contains(&member)), "{called:?} has left");
        if let Some(called) = called {
            rpc.on_attempt_ended(&mut router, at(now), outcome(called, AttemptOutcome::Ok, 1));
        }
        let member = free.pop().unwrap_or(next);
        next = next.max(member + 1);
        let nth = generation % 3;
        let gone = Endpoint { state: EndpointState::Removed, ..entry(present[nth], false) };
        present[nth] = member;
        let entries = [entry(member, nth == 0), gone];
        router.on_endpoint_update(at(now), EndpointUpdate::Changes(&entries));
        for step in 0..5 {
            let upkeep = router.tick(at(now + step * 400));
            assert!(upkeep.health_checks.iter().all(|id| present.contains(&id.0)));
            assert!(upkeep.retired_members.iter().all(|id| !present.contains(&id.0)));
            free.extend(upkeep.retired_members.iter().map(|id| id.0));
            upkeep.health_checks.iter().for_each(|id| probe(&mut router, now + step * 400, id.0, now, false));
        }
        now += 2000;
        most = most.max(next);
    }
    assert!(most < 30, "{most} indices for three members at a time");
}

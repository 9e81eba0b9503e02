//! Plain cases of the mechanism.

mod common;

use common::*;
use ladderpass_routing::*;

fn started() -> Router {
    let mut router = Router::start(at(0), 7, deployment());
    router.list_news(at(0), ListNews::Remembered(&[entry(0, true), entry(1, false), entry(2, false)]));
    assert_eq!(router.tend(at(0)).probes.len(), 3);
    router
}

#[test]
fn a_fresh_router_holds_until_the_first_answers() {
    let mut router = started();
    let (_, decision) = router.take(at(1), arrival(0, 1));
    assert_eq!(decision, Decision::Hold);
    probe(&mut router, 5, 1, 0, false);
    assert_eq!(sent_to(router.tend(at(5)).decisions[0].1), Some(1));
}

#[test]
fn a_read_leaves_out_a_lagging_replica_and_spills_to_the_primary() {
    let mut router = started();
    probe(&mut router, 5, 0, 4, true);
    probe(&mut router, 5, 1, 0, false);
    probe(&mut router, 5, 2, -2000, false);
    for ms in 10..14 {
        let (rpc, decision) = router.take(at(ms), arrival(0, ms));
        assert_eq!(sent_to(decision), Some(1));
        rpc.ended(&mut router, at(ms), outcome(1, Ended::Ok, 0));
    }
    probe(&mut router, 900, 1, 50, false);
    probe(&mut router, 900, 2, -2000, false);
    assert_eq!(sent_to(router.take(at(900), arrival(0, 900)).1), Some(0));
}

#[test]
fn a_write_that_may_have_run_is_never_sent_again_nor_pushed_back() {
    let mut router = started();
    probe(&mut router, 5, 0, 4, true);
    let (rpc, decision) = router.take(at(10), arrival(1, 10));
    assert_eq!(sent_to(decision), Some(0));
    assert_eq!(rpc.ended(&mut router, at(15), outcome(0, Ended::Broken, 5)), Decision::Abort);
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
        let (rpc, decision) = router.take(at(10), arrival(method, 10));
        let member = sent_to(decision).expect("one has room");
        let broken = Outcome { unpaid, ..outcome(member, Ended::Broken, 5) };
        let next = rpc.ended(&mut router, at(15), broken);
        let fits = match (method, unpaid) {
            (0, false) => matches!(next, Decision::CallOut { .. } | Decision::Hold),
            (0, true) => matches!(next, Decision::PushBack { .. }),
            _ => next == Decision::Abort,
        };
        assert!(fits, "{method} {unpaid}: {next:?}");
    }
}

#[test]
fn a_write_turned_away_waits_for_the_new_primary() {
    let mut router = started();
    probe(&mut router, 5, 0, 4, true);
    let (rpc, _) = router.take(at(10), arrival(1, 10));
    let turned_away =
        Outcome { role: Some(Role::Replica), position: Some(at(9)), ..outcome(0, Ended::Absent, 1) };
    assert_eq!(rpc.ended(&mut router, at(11), turned_away), Decision::Hold);
    probe(&mut router, 20, 2, 18, true);
    assert_eq!(sent_to(router.tend(at(20)).decisions[0].1), Some(2));
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
        let (rpc, decision) = router.take(at(now), arrival(1, now));
        let called = sent_to(decision);
        assert!(called.is_none_or(|member| present.contains(&member)), "{called:?} has left");
        if let Some(called) = called {
            rpc.ended(&mut router, at(now), outcome(called, Ended::Ok, 1));
        }
        let member = free.pop().unwrap_or(next);
        next = next.max(member + 1);
        let nth = generation % 3;
        let gone = Entry { standing: Standing::Off, ..entry(present[nth], false) };
        present[nth] = member;
        let entries = [entry(member, nth == 0), gone];
        router.list_news(at(now), ListNews::Changes(&entries));
        for step in 0..5 {
            let upkeep = router.tend(at(now + step * 400));
            assert!(upkeep.probes.iter().all(|id| present.contains(&id.0)));
            assert!(upkeep.forgotten.iter().all(|id| !present.contains(&id.0)));
            free.extend(upkeep.forgotten.iter().map(|id| id.0));
            upkeep.probes.iter().for_each(|id| probe(&mut router, now + step * 400, id.0, now, false));
        }
        now += 2000;
        most = most.max(next);
    }
    assert!(most < 30, "{most} indices for three members at a time");
}

//! Each exception to the ordinary path, by what it guards against.

mod common;

use common::*;
use ladderpass_routing::*;

/// Methods: 0 bounded read, 1 write, 2 `any` read, 3 long `any` read.
fn group_of(replicas: u32, change: impl Fn(&mut Deployment)) -> Router {
    let mut deployment = deployment();
    deployment.methods.push(method(Consistency::Any, Idempotency::Idempotent));
    let mut long = method(Consistency::Any, Idempotency::Idempotent);
    long.soft_deadline = Span::from_millis(6000);
    deployment.methods.push(long);
    change(&mut deployment);
    let mut router = Router::start(at(0), 7, deployment);
    let list: Vec<Endpoint> = (0..=replicas).map(|m| entry(m, m == 0)).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    fresh(&mut router, replicas, 0);
    router
}

/// Every member answers a probe and is up to date.
fn fresh(router: &mut Router, replicas: u32, ms: i64) {
    for member in 0..=replicas {
        probe(router, ms, member, ms, member == 0);
    }
}

/// Sends `count` RPCs of a method, each answered after `took_ms`; returns how many each member got.
fn served(router: &mut Router, method: u32, from: i64, count: i64, took_ms: i64) -> Vec<u32> {
    let mut got = vec![0; 5];
    for n in 0..count {
        let ms = from + n * (took_ms + 1);
        fresh(router, 4, ms);
        let first = router.accept(at(ms), arrival(method, ms));
        let later = router.tick(at(ms)).decisions;
        for (rpc, decision) in std::iter::once(first).chain(later) {
            if let Some(member) = sent_to(decision) {
                got[member as usize] += 1;
                rpc.on_attempt_ended(router, at(ms + took_ms), outcome(member, AttemptOutcome::Ok, took_ms));
            }
        }
    }
    got
}

/// How many of nine, all at once, are sent.
fn burst(router: &mut Router, method: u32, ms: i64) -> usize {
    fresh(router, 4, ms);
    (0..9).filter(|_| sent_to(router.accept(at(ms), arrival(method, ms)).1).is_some()).count()
}

/// Eight at a time for a second, all answered at once: limits grow from where they start.
fn grown(router: &mut Router, method: u32, from: i64) {
    for ms in (from..from + 1000).step_by(25) {
        fresh(router, 4, ms);
        let sent: Vec<_> = (0..8).map(|_| router.accept(at(ms), arrival(method, ms))).collect();
        for (rpc, decision) in sent {
            match sent_to(decision) {
                Some(member) => {
                    _ = rpc.on_attempt_ended(router, at(ms + 20), outcome(member, AttemptOutcome::Ok, 20))
                }
                None => rpc.abandon(router),
            }
        }
        router.tick(at(ms + 20));
    }
}

#[test]
fn ties_are_served_in_turn() {
    let mut router = group_of(4, |_| {});
    let got = served(&mut router, 0, 1, 40, 20);
    assert!(got[0] == 0 && got[1..].iter().all(|n| (7..=13).contains(n)), "{got:?}");
}

#[test]
fn a_member_that_fails_fast_does_not_look_idle() {
    let mut router = group_of(2, |_| {});
    let mut failed = 0;
    for ms in 1..40 {
        fresh(&mut router, 2, ms);
        let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
        let Some(member) = sent_to(decision) else { continue };
        let ended = if member == 1 { AttemptOutcome::Failed } else { AttemptOutcome::Ok };
        failed += u32::from(member == 1);
        let second = rpc.on_attempt_ended(&mut router, at(ms), outcome(member, ended, 1));
        if let Some(member) = sent_to(second) {
            rpc.on_attempt_ended(&mut router, at(ms), outcome(member, AttemptOutcome::Ok, 1));
        }
    }
    assert!(failed <= 3, "{failed} of 39 went to the member that fails");
}

#[test]
fn a_cold_member_gets_no_more_than_its_ramp() {
    let mut router = group_of(3, |_| {});
    served(&mut router, 0, 1, 60, 20);
    let mut newcomer = entry(4, false);
    newcomer.started_at = Some(at(1300));
    router.on_endpoint_update(at(1300), EndpointUpdate::Changes(&[newcomer]));
    let got = served(&mut router, 0, 1300, 80, 20);
    assert!(got[4] >= 1 && f64::from(got[4]) <= 0.5 * f64::from(got[1]), "{got:?}");
}

#[test]
fn a_member_back_from_a_long_absence_is_cold() {
    let mut router = group_of(3, |_| {});
    for ms in [1, 600, 1200, 1800] {
        router.on_health_check_ended(
            at(ms),
            MemberId(3),
            AttemptOutcome::Unreachable,
            Span::ZERO,
            LoadReport::default(),
        );
    }
    let notes = router.tick(at(1800)).log_messages;
    assert!(notes.iter().any(|note| note.contains("#3 ejected after 3 consecutive failures")), "{notes:?}");
    let got = served(&mut router, 0, 2000, 80, 20);
    assert!(f64::from(got[3]) <= 0.6 * f64::from(got[1]), "{got:?}");
}

#[test]
fn the_limit_holds_work_back_from_a_jam_and_lets_it_grow_again() {
    let mut router = group_of(1, |d| d.methods[1].late_utility_share = 0.5);
    served(&mut router, 1, 1, 40, 20);
    let burst = |router: &mut Router, ms: i64| {
        fresh(router, 4, ms);
        let mut sent = Vec::new();
        for _ in 0..40 {
            let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
            sent.extend(sent_to(decision).map(|_| rpc));
        }
        sent
    };
    let before = burst(&mut router, 1000);
    let count = before.len();
    assert!(count < 40, "all of a burst went out");
    for rpc in before {
        rpc.on_attempt_ended(&mut router, at(1900), outcome(0, AttemptOutcome::TimedOut, 900));
    }
    router.tick(at(4999));
    let after = burst(&mut router, 4001);
    assert!(after.len() < count, "{} after a jam, {count} before", after.len());
    for rpc in after {
        rpc.on_attempt_ended(&mut router, at(4020), outcome(0, AttemptOutcome::Ok, 19));
    }
    served(&mut router, 1, 7000, 60, 20);
    assert!(burst(&mut router, 9000).len() >= 2, "the limit stayed down");
}

#[test]
fn lost_call_outs_take_no_room() {
    let mut router = group_of(1, |d| d.methods[1].late_utility_share = 0.5);
    grown(&mut router, 1, 0);
    fresh(&mut router, 4, 1000);
    let lost: Vec<RpcId> = (0..3).map(|_| router.accept(at(1000), arrival(1, 1000)).0).collect();
    served(&mut router, 1, 1001, 1, 20);
    assert!(burst(&mut router, 1, 2500) >= 3, "lost call-outs fill the limit");
    for rpc in lost {
        assert_eq!(
            rpc.on_attempt_ended(&mut router, at(2990), outcome(0, AttemptOutcome::TimedOut, 1990)),
            Decision::Fail
        );
    }
}

#[test]
fn being_turned_away_cuts_the_limit() {
    let room = |turned_away: usize| {
        let mut router = group_of(1, |d| d.methods[1].late_utility_share = 0.5);
        served(&mut router, 1, 1, 40, 20);
        for _ in 0..turned_away {
            fresh(&mut router, 4, 1000);
            let (rpc, _) = router.accept(at(1000), arrival(1, 1000));
            rpc.on_attempt_ended(&mut router, at(1000), outcome(0, AttemptOutcome::Rejected, 1));
            rpc.abandon(&mut router);
            router.tick(at(1000));
        }
        burst(&mut router, 1, 5000)
    };
    assert!(room(3) < room(0), "{} after, {} before", room(3), room(0));
}

#[test]
fn a_member_that_turned_an_rpc_away_does_not_get_it_again_at_once() {
    let mut router = group_of(1, |_| {});
    let (rpc, decision) = router.accept(at(10), arrival(0, 10));
    assert_eq!(sent_to(decision), Some(1));
    assert_eq!(
        sent_to(rpc.on_attempt_ended(&mut router, at(11), outcome(1, AttemptOutcome::Rejected, 1))),
        Some(0)
    );
}

#[test]
fn reads_leave_writes_their_place_on_the_primary() {
    let ms = 2000;
    let sent = |method: u32| {
        let mut router = group_of(1, |_| {});
        grown(&mut router, 1, 0);
        probe(&mut router, ms, 0, ms, true);
        probe(&mut router, ms, 1, 0, false);
        let to = (0..20).map(|_| sent_to(router.accept(at(ms), arrival(method, ms)).1));
        let count = to.filter(|to| *to == Some(0)).count();
        let (write, _) = router.accept(at(ms), arrival(1, ms));
        let decisions = router.tick(at(ms)).decisions;
        (count, decisions.iter().find(|(rpc, _)| *rpc == write).and_then(|(_, d)| sent_to(*d)))
    };
    let ((reads, next), (writes, _)) = (sent(0), sent(1));
    assert!(reads >= 1 && reads * 2 < writes, "{reads} reads spilled, {writes} writes");
    assert_eq!(next, Some(0), "a write after the reads");
}

#[test]
fn a_marked_repeat_is_not_held() {
    let mut router = group_of(1, |_| {});
    let ms = 2000;
    probe(&mut router, ms, 0, ms - 1, true);
    probe(&mut router, ms, 1, 0, false);
    router.on_endpoint_update(
        at(ms),
        EndpointUpdate::Changes(&[Endpoint { state: EndpointState::Draining, ..entry(0, true) }]),
    );
    let mut repeat = arrival(0, ms);
    repeat.is_client_retry = true;
    assert!(matches!(router.accept(at(ms), repeat).1, Decision::Reject { .. }));
    assert_eq!(router.accept(at(ms), arrival(0, ms)).1, Decision::Queue);
}

#[test]
fn the_list_never_undoes_what_a_member_has_shown() {
    let mut router = group_of(2, |_| {});
    let to = |router: &mut Router, ms: i64| {
        let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
        rpc.on_attempt_ended(router, at(ms), outcome(sent_to(decision)?, AttemptOutcome::Ok, 5));
        sent_to(decision)
    };
    probe(&mut router, 100, 2, 100, true);
    router.on_endpoint_update(
        at(200),
        EndpointUpdate::Complete(&[entry(0, true), entry(1, false), entry(2, false)]),
    );
    assert_eq!(to(&mut router, 200), Some(2));
    // A report from before a claim is no change of role; a later claim wins.
    probe(&mut router, 210, 2, 50, false);
    assert_eq!(to(&mut router, 210), Some(2));
    probe(&mut router, 220, 1, 215, true);
    assert_eq!(to(&mut router, 220), Some(1));
}

#[test]
fn a_failed_list_call_is_made_again_well_within_its_time() {
    let mut router = group_of(1, |d| d.endpoint_poll_interval = Some(Span::from_millis(10_000)));
    assert!(router.tick(at(0)).poll_endpoints);
    router.on_endpoint_update(at(100), EndpointUpdate::Failed { silent: false });
    assert!(!router.tick(at(100)).poll_endpoints, "at once would load the service");
    let asked = (1..50).find(|n| router.tick(at(100 + n * 100)).poll_endpoints);
    assert!(asked.is_some_and(|n| n <= 40), "asked again after {asked:?} tenths of a second");
    router.on_endpoint_update(at(6000), EndpointUpdate::Changes(&[]));
    assert!((0..200).all(|n| !router.tick(at(6000 + n * 100)).poll_endpoints), "a subscription stands");
}

#[test]
fn a_replica_near_its_bound_gets_less() {
    let sent = |lag: i64| {
        let mut router = group_of(1, |_| {});
        grown(&mut router, 0, 0);
        probe(&mut router, 3000, 0, 3000, true);
        probe(&mut router, 3000, 1, 3000 - lag, false);
        let to = (0..20).map(|_| sent_to(router.accept(at(3000), arrival(0, 3000)).1));
        to.filter(|to| *to == Some(1)).count()
    };
    assert!(sent(700) >= 1 && sent(700) < sent(0), "{} near the bound, {} without lag", sent(700), sent(0));
}

#[test]
fn nothing_goes_where_the_answer_would_come_too_late() {
    let mut router = group_of(2, |_| {});
    served(&mut router, 0, 1, 60, 20);
    let ms = 2000;
    fresh(&mut router, 4, ms);
    let short = Arrival { deadline: at(ms + 25), ..arrival(0, ms) };
    assert_eq!(router.accept(at(ms), short).1, Decision::Queue);
    let given_up = router.tick(at(ms + 5)).decisions;
    assert!(
        matches!(given_up[0].1, Decision::Reject { retry_after: come_back } if come_back == Span::from_millis(500))
    );
    assert!(sent_to(router.accept(at(ms + 5), arrival(0, ms + 5)).1).is_some());
}

#[test]
fn a_slow_machine_gets_fewer_turns() {
    let mut router = group_of(2, |_| {});
    let mut got = [0; 3];
    for n in 0..60 {
        let ms = 1 + n * 61;
        fresh(&mut router, 2, ms);
        let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
        let member = sent_to(decision).expect("nothing else is in flight");
        got[member as usize] += 1;
        let took = if member == 1 { 60 } else { 20 };
        rpc.on_attempt_ended(&mut router, at(ms + took), outcome(member, AttemptOutcome::Ok, took));
    }
    assert!(got[1] * 4 < got[2] * 3, "{got:?}");
}

#[test]
fn a_jam_cuts_a_limit_that_is_hardly_used() {
    let mut router = group_of(1, |d| d.methods[1].late_utility_share = 0.5);
    served(&mut router, 1, 1, 40, 20);
    served(&mut router, 1, 6000, 4, 150);
    let sent = burst(&mut router, 1, 6700);
    assert!(sent <= 2, "{sent} at once into a jam");
}

#[test]
fn routers_that_send_little_do_not_all_begin_with_the_same_member() {
    let mut got = [0; 4];
    for seed in 0..60 {
        let mut router = Router::start(at(0), seed, deployment());
        router.on_endpoint_update(at(0), EndpointUpdate::Cached(&[0, 1, 2, 3].map(|m| entry(m, m == 0))));
        fresh(&mut router, 3, 0);
        got[sent_to(router.accept(at(1), arrival(0, 1)).1).expect("all are fresh") as usize] += 1;
    }
    assert!(got[0] == 0 && got[1..].iter().all(|&n| n > 8), "{got:?}");
}

#[test]
fn a_read_without_news_waits_for_a_probe_of_its_next_pick() {
    let mut router = group_of(4, |_| {});
    router.tick(at(4999));
    let (rpc, decision) = router.accept(at(5000), arrival(0, 5000));
    assert_eq!(decision, Decision::Queue);
    let asked = router.tick(at(5000)).health_checks;
    assert_eq!(asked.len(), 1, "one of four replicas");
    probe(&mut router, 5001, asked[0].0, 5000, false);
    let decisions = router.tick(at(5001)).decisions;
    assert_eq!(decisions, [(rpc, Decision::Attempt { member: asked[0], timeout: None })]);
}

/// All replicas are full, and turn probes away too: no news, so a read asked one after the other until its time was over,
/// before a primary with nothing to do.
#[test]
fn a_read_spills_when_its_replicas_turn_probes_away() {
    let mut router = group_of(3, |_| {});
    router.tick(at(4999));
    probe(&mut router, 4999, 0, 4999, true);
    let (rpc, decision) = router.accept(at(5000), arrival(0, 5000));
    assert_eq!(decision, Decision::Queue);
    for ms in 5000..5100 {
        let upkeep = router.tick(at(ms));
        if let Some(&(of, decision)) = upkeep.decisions.first() {
            assert_eq!((of, sent_to(decision)), (rpc, Some(0)), "at {ms}");
            return;
        }
        for id in upkeep.health_checks {
            router.on_health_check_ended(
                at(ms + 1),
                id,
                AttemptOutcome::Rejected,
                Span::from_millis(1),
                LoadReport::default(),
            );
        }
    }
    panic!("it waits for replicas that have nothing to say");
}

#[test]
fn probes_follow_what_a_router_sends() {
    let probes = |every: i64| {
        let mut router = group_of(4, |d| d.methods[1].late_utility_share = 0.5);
        let mut count = 0;
        for ms in (10..80_000).step_by(10) {
            if ms % every == 0 {
                let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
                if sent_to(decision).is_some() {
                    rpc.on_attempt_ended(&mut router, at(ms), outcome(0, AttemptOutcome::Ok, 5));
                }
            }
            let asked = router.tick(at(ms)).health_checks;
            count += asked.len();
            asked.iter().for_each(|id| probe(&mut router, ms, id.0, ms, id.0 == 0));
        }
        count
    };
    let (busy, idle) = (probes(10), probes(5000));
    assert!(busy > 200 && idle > 0 && idle < 20, "{busy} when busy, {idle} when idle");
}

#[test]
fn what_waited_for_a_cold_primary_does_not_come_all_at_once() {
    let mut router = group_of(2, |d| d.methods[1].late_utility_share = 0.5);
    router.on_endpoint_update(
        at(1000),
        EndpointUpdate::Changes(&[Endpoint { state: EndpointState::Draining, ..entry(0, false) }]),
    );
    let mut cold = entry(1, false);
    cold.started_at = Some(at(1000));
    router.on_endpoint_update(at(1000), EndpointUpdate::Changes(&[cold]));
    (0..60).for_each(|_| assert_eq!(router.accept(at(1000), arrival(1, 1000)).1, Decision::Queue));
    probe(&mut router, 1500, 1, 1500, true);
    let first = router.tick(at(1500)).decisions.iter().filter(|(_, d)| sent_to(*d).is_some()).count();
    assert!(first <= 2, "{first} of 60 writes at once");
}

#[test]
fn a_router_whose_list_names_nobody_answers_in_time_and_follows_the_next_news() {
    let mut router = Router::start(at(0), 7, deployment());
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&[]));
    let rpcs = [0, 1].map(|method| router.accept(at(0), arrival(method, 0)));
    assert!(rpcs.iter().all(|(_, decision)| *decision == Decision::Queue));
    let mut waiting = 2;
    for ms in (10..2000).step_by(10) {
        waiting -= router.tick(at(ms)).decisions.len();
    }
    assert_eq!(waiting, 0, "pushed back before their clients give up");
    router.on_endpoint_update(at(3000), EndpointUpdate::Complete(&[entry(0, true)]));
    probe(&mut router, 3000, 0, 3000, true);
    assert_eq!(sent_to(router.accept(at(3000), arrival(1, 3000)).1), Some(0));
}

#[test]
fn a_silent_member_does_not_look_least_loaded() {
    let mut router = group_of(2, |_| {});
    served(&mut router, 0, 1, 40, 20);
    fresh(&mut router, 4, 900);
    let take = |router: &mut Router| sent_to(router.accept(at(1500), arrival(0, 1500)).1);
    let first = [0, 1].map(|_| router.accept(at(900), arrival(0, 900)));
    let (heard, member) = first.iter().find_map(|(rpc, d)| Some((*rpc, sent_to(*d)?))).expect("one went out");
    heard.on_attempt_ended(&mut router, at(1500), outcome(member, AttemptOutcome::Ok, 20));
    assert_eq!(take(&mut router), Some(member));
    assert_eq!(take(&mut router), Some(member), "one in flight at each, the other silent");
}

/// Guards against an RPC that nothing can serve being kept until its client has no time left to turn elsewhere.
#[test]
fn what_could_be_sent_nowhere_is_pushed_back_by_half_of_its_time() {
    let mut router = group_of(2, |_| ());
    for member in 0..=2 {
        (0..3).for_each(|_| {
            router.on_health_check_ended(
                at(10),
                MemberId(member),
                AttemptOutcome::TimedOut,
                Span::ZERO,
                LoadReport::default(),
            );
        });
    }
    let mut write = arrival(1, 20);
    write.deadline = at(420);
    let (rpc, first) = router.accept(at(20), write);
    assert_eq!(first, Decision::Queue);
    assert!(router.tick(at(100)).decisions.is_empty());
    let decided = router.tick(at(220)).decisions;
    assert!(matches!(decided[..], [(it, Decision::Reject { .. })] if it == rpc), "{decided:?}");
}

/// Guards against a first answer that tells nothing being taken for news of a replica that is far behind.
#[test]
fn a_member_with_nothing_to_report_yet_is_asked_again_soon() {
    let mut router = Router::start(at(0), 7, deployment());
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&[entry(0, true), entry(1, false)]));
    let (_, first) = router.accept(at(0), arrival(0, 0));
    assert_eq!((first, router.tick(at(0)).health_checks.len()), (Decision::Queue, 2));
    (0..2).for_each(|m| {
        router.on_health_check_ended(
            at(1),
            MemberId(m),
            AttemptOutcome::Ok,
            Span::ZERO,
            LoadReport::default(),
        )
    });
    assert!(router.tick(at(1)).decisions.is_empty());
    assert_eq!(router.tick(at(210)).health_checks.len(), 2);
    probe(&mut router, 211, 1, 200, false);
    assert_eq!(router.tick(at(211)).decisions.iter().find_map(|(_, decision)| sent_to(*decision)), Some(1));
}

/// Guards against data that is within the bound at the decision and past it at the last byte of the send.
#[test]
fn a_tick_of_the_bound_is_kept_for_the_send() {
    for (ms, wanted) in [(790, true), (798, false)] {
        let mut router = group_of(1, |_| ());
        let (_, decision) = router.accept(at(ms), arrival(0, ms));
        assert_eq!(sent_to(decision) == Some(1), wanted, "{ms}");
    }
}

/// A member that stood still answers all it had at once, late: one event, not a jam for each of them, nor one that
/// goes on once it is as quick as ever.
#[test]
fn a_standstill_does_not_pass_for_a_jam_that_goes_on() {
    let mut router = group_of(1, |d| d.methods[1].late_utility_share = 0.5);
    grown(&mut router, 1, 0);
    served(&mut router, 1, 4000, 10, 20);
    fresh(&mut router, 4, 4500);
    let held_up: Vec<RpcId> = (0..8).map(|_| router.accept(at(4500), arrival(1, 4500)).0).collect();
    for rpc in held_up {
        rpc.on_attempt_ended(&mut router, at(5000), outcome(0, AttemptOutcome::Ok, 500));
    }
    router.tick(at(5000));
    fresh(&mut router, 4, 5010);
    // One at a time, as quick as ever: each goes at once.
    let at_once = (0..40).filter(|round| {
        let ms = 5010 + round * 25;
        fresh(&mut router, 4, ms);
        let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
        if sent_to(decision).is_some() {
            rpc.on_attempt_ended(&mut router, at(ms + 20), outcome(0, AttemptOutcome::Ok, 20));
        } else {
            rpc.abandon(&mut router);
        }
        router.tick(at(ms + 20));
        sent_to(decision).is_some()
    });
    let at_once = at_once.count();
    assert!(at_once >= 38, "{at_once} of 40");
}

/// An impatient client's time is up before its answer could be late: that is no jam.
#[test]
fn time_outs_within_a_few_answer_times_cut_no_limit() {
    let room = |took: i64| {
        let mut router = group_of(1, |d| d.methods[1].late_utility_share = 0.5);
        grown(&mut router, 1, 0);
        for n in 0..6 {
            let ms = 1000 + n * 100;
            fresh(&mut router, 4, ms);
            let (rpc, _) = router.accept(at(ms), arrival(1, ms));
            rpc.on_attempt_ended(&mut router, at(ms + took), outcome(0, AttemptOutcome::TimedOut, took));
            router.tick(at(ms + took));
        }
        burst(&mut router, 1, 1700)
    };
    assert!(room(50) > room(90), "{} after hasty clients, {} after slow answers", room(50), room(90));
}

/// Where more is held than there is room for, the newest goes first: it has most of its client's patience left.
#[test]
fn what_is_held_goes_newest_first() {
    let mut router = group_of(1, |d| d.methods[1].late_utility_share = 0.5);
    fresh(&mut router, 4, 1000);
    let taken: Vec<_> = (0..30).map(|n| router.accept(at(1000 + n), arrival(1, 1000 + n))).collect();
    let (out, held): (Vec<_>, Vec<_>) = taken.into_iter().partition(|(_, d)| sent_to(*d).is_some());
    assert!(!out.is_empty() && held.len() > 1, "{} of 30 are held", held.len());
    out[0].0.on_attempt_ended(&mut router, at(1040), outcome(0, AttemptOutcome::Ok, 20));
    let next = router.tick(at(1040)).decisions;
    assert_eq!(next.first().map(|(rpc, _)| *rpc), held.last().map(|(rpc, _)| *rpc));
}

/// Probes whose connection breaks, or whose answer is spoilt, are no sign that the member is gone.
#[test]
fn broken_probes_are_made_again_and_leave_nobody_out() {
    let mut router = group_of(1, |_| {});
    for n in 0..5 {
        router.on_health_check_ended(
            at(100 + n),
            MemberId(1),
            AttemptOutcome::ConnectionLost,
            Span::ZERO,
            LoadReport::default(),
        );
    }
    assert!(router.tick(at(400)).health_checks.contains(&MemberId(1)), "asked again soon");
    probe(&mut router, 401, 1, 400, false);
    assert_eq!(sent_to(router.accept(at(402), arrival(0, 402)).1), Some(1));
}

/// The router itself had no descriptor for them: that tells nothing of the member, which is asked again soon.
#[test]
fn probes_that_were_never_made_leave_nobody_out() {
    let mut router = group_of(1, |_| {});
    for n in 0..5 {
        router.on_health_check_ended(
            at(100 + n),
            MemberId(0),
            AttemptOutcome::NeverSent,
            Span::ZERO,
            LoadReport::default(),
        );
        router.on_health_check_ended(
            at(100 + n),
            MemberId(1),
            AttemptOutcome::NeverSent,
            Span::ZERO,
            LoadReport::default(),
        );
    }
    let notes = router.tick(at(104)).log_messages;
    assert!(!notes.iter().any(|note| note.contains("ejected")), "{notes:?}");
    assert_eq!(sent_to(router.accept(at(105), arrival(1, 105)).1), Some(0), "the primary is still one");
    assert_eq!(sent_to(router.accept(at(105), arrival(0, 105)).1), Some(1));
    assert!(router.tick(at(700)).health_checks.contains(&MemberId(1)), "asked again soon");
}

/// A member with nothing out can't show that its jam is over: it is tried again after a second.
#[test]
fn an_idle_member_is_not_left_out_for_its_last_jam_as_long_as_a_busy_one() {
    let mut router = group_of(1, |_| {});
    grown(&mut router, 1, 0);
    fresh(&mut router, 4, 4500);
    let slow: Vec<RpcId> = (0..8).map(|_| router.accept(at(4500), arrival(1, 4500)).0).collect();
    for rpc in slow {
        rpc.on_attempt_ended(&mut router, at(5000), outcome(0, AttemptOutcome::Ok, 500));
    }
    for (ms, sent) in [(5100, false), (6050, true)] {
        fresh(&mut router, 4, ms);
        let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
        assert_eq!(sent_to(decision).is_some(), sent, "{ms}");
        rpc.abandon(&mut router);
        router.tick(at(ms));
    }
}

/// Where nobody may be probed, a primary that could not be reached once was never asked again.
#[test]
fn without_probes_a_lost_member_is_tried_again_now_and_then() {
    let mut router = group_of(1, |d| (d.health_checks, d.health_checks_report_position) = (false, false));
    let (rpc, decision) = router.accept(at(0), arrival(1, 0));
    assert_eq!(sent_to(decision), Some(0));
    rpc.abandon(&mut router);
    rpc.on_attempt_ended(&mut router, at(0), outcome(0, AttemptOutcome::Unreachable, 1));
    let mut sent = |ms| {
        router.tick(at(ms));
        let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
        rpc.abandon(&mut router);
        sent_to(decision)
    };
    assert_eq!(sent(200), None, "left out");
    assert_eq!(sent(1000), Some(0));
}

/// A write's answer that is late or lost on the way: the member may have committed it, and its session must see that.
#[test]
fn a_session_sees_a_write_whose_answer_is_late_or_lost() {
    for ended in [
        AttemptOutcome::Ok,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Rejected,
    ] {
        let mut router = group_of(2, |d| {
            d.session_write_age_carried = false;
            d.methods.push(method(Consistency::Session, Idempotency::Idempotent));
        });
        let of = |session, method, ms| Arrival { session: Some(session), ..arrival(method, ms) };
        // Replicas tell how far they are, all the time and 40 ms behind.
        let tell = |router: &mut Router, ms: i64| {
            router.tick(at(ms));
            probe(router, ms, 0, ms, true);
            [1, 2].into_iter().for_each(|member| probe(router, ms, member, ms - 40, false));
        };
        tell(&mut router, 1000);
        let (write, decision) = router.accept(at(1000), of(5, 1, 1000));
        assert_eq!(sent_to(decision), Some(0));
        let read = |router: &mut Router, ms, session| {
            let (rpc, decision) = router.accept(at(ms), of(session, 4, ms));
            rpc.abandon(router);
            router.tick(at(ms));
            matches!(sent_to(decision), Some(1 | 2))
        };
        tell(&mut router, 1050);
        assert!(read(&mut router, 1050, 5), "{ended:?}: no answer to it can be known yet");
        assert!(!read(&mut router, 1130, 5), "{ended:?}: it may be committed at 1030, and they are at 1010");
        assert!(read(&mut router, 1130, 6), "{ended:?}: another session's");
        // The answer broke off behind its row: it tells no position.
        write.on_attempt_ended(&mut router, at(1140), outcome(0, ended, 140));
        write.abandon(&mut router);
        tell(&mut router, 1150);
        assert_eq!(
            read(&mut router, 1150, 5),
            ended == AttemptOutcome::Rejected,
            "{ended:?}: may have run by 1140"
        );
        tell(&mut router, 2000);
        assert!(read(&mut router, 2000, 5), "{ended:?}: they have reached 1960");
    }
}

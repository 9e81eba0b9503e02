//! Updates and polls of the endpoint list.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn a_failed_poll_is_retried_after_a_backoff_shorter_than_the_poll_interval() {
    let mut router = router_with_replicas(1, |d| d.endpoint_poll_interval = Some(Span::from_millis(10_000)));
    assert!(router.tick(at(0)).poll_endpoints);
    let failed = EndpointUpdate::Failed { poll_immediately: false, notified_by: None };
    router.on_endpoint_update(at(100), failed);
    assert!(
        !router.tick(at(100)).poll_endpoints,
        "polled again without a backoff, which would load the discovery service"
    );
    let polled = (1..50).find(|n| router.tick(at(100 + n * 100)).poll_endpoints);
    assert!(
        polled.is_some_and(|n| n <= 40),
        "not retried within 4 s, but after {polled:?} tenths of a second"
    );
    router.on_endpoint_update(at(6000), EndpointUpdate::Changes(&[]));
    assert!(
        (0..200).all(|n| !router.tick(at(6000 + n * 100)).poll_endpoints),
        "polled although the watch is open"
    );
}

/// Guards against a late list after an outage of discovery: a change has to be known within 6 s, of which a poll that is
/// answered late takes up to 2 s, but the next poll could be made up to 4 s after the last.
#[test]
fn polls_that_fail_follow_each_other_within_three_and_a_half_seconds() {
    for seed in 1..=200 {
        let deployment =
            Deployment { endpoint_poll_interval: Some(Span::from_millis(60_000)), ..deployment() };
        let mut router = Router::start(at(0), seed, deployment);
        let mut polled_at: Option<i64> = None;
        for ms in (0..60_000).step_by(10) {
            if router.tick(at(ms)).poll_endpoints {
                let pause = polled_at.map_or(0, |polled_at| ms - polled_at);
                assert!(pause <= 3510, "polled {pause} ms after the last poll, seed {seed}");
                polled_at = Some(ms);
            }
            if polled_at == Some(ms - 1000) {
                let failed = EndpointUpdate::Failed { poll_immediately: false, notified_by: None };
                router.on_endpoint_update(at(ms), failed);
            }
        }
    }
}

#[test]
fn with_an_empty_list_rpcs_are_rejected_in_time_and_the_next_update_is_applied() {
    let mut router = Router::start(at(0), 7, deployment());
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&[]));
    let rpcs = [0, 1].map(|method| router.accept(at(0), arrival(method, 0)));
    assert!(rpcs.iter().all(|(_, decision)| *decision == Decision::Queue));
    let mut waiting = 2;
    for ms in (10..2000).step_by(10) {
        waiting -= router.tick(at(ms)).decisions.len();
    }
    assert_eq!(waiting, 0, "some RPCs were not rejected before their deadline");
    router.on_endpoint_update(at(3000), EndpointUpdate::Complete(&[endpoint(0, true)]));
    answer_health_check(&mut router, 3000, 0, 3000, true);
    assert_eq!(sent_to(router.accept(at(3000), arrival(1, 3000)).1), Some(0));
}

/// Guards against tables of members that grow with every member ever listed, and with them the time of loops
/// over all members, where members are replaced all the time. A reused index must never refer to the member
/// that had the index before.
#[test]
fn removed_members_are_retired_and_their_indexes_reused() {
    let mut router = new_router();
    let (mut now, mut retired, mut next_unused) = (5, Vec::new(), 3);
    let mut present = [0, 1, 2];
    let mut max_indexes = 0;
    for generation in 0..300 {
        for &member in &present {
            answer_health_check(&mut router, now, member, now - 1, member == present[0]);
        }
        let (rpc, decision) = router.accept(at(now), arrival(1, now));
        let attempted = sent_to(decision);
        assert!(
            attempted.is_none_or(|member| present.contains(&member)),
            "an attempt was sent to {attempted:?}, which was removed"
        );
        if let Some(attempted) = attempted {
            rpc.on_attempt_ended(&mut router, at(now), result(attempted, AttemptOutcome::Ok, 1));
        }
        let member = retired.pop().unwrap_or(next_unused);
        next_unused = next_unused.max(member + 1);
        let nth = generation % 3;
        let removed = Endpoint { state: EndpointState::Removed, ..endpoint(present[nth], false) };
        present[nth] = member;
        let entries = [endpoint(member, nth == 0), removed];
        router.on_endpoint_update(at(now), EndpointUpdate::Changes(&entries));
        for step in 0..5 {
            let output = router.tick(at(now + step * 400));
            assert!(output.health_checks.iter().all(|id| present.contains(&id.0)));
            assert!(output.retired_members.iter().all(|id| !present.contains(&id.0)));
            retired.extend(output.retired_members.iter().map(|id| id.0));
            output
                .health_checks
                .iter()
                .for_each(|id| answer_health_check(&mut router, now + step * 400, id.0, now, false));
        }
        now += 2000;
        max_indexes = max_indexes.max(next_unused);
    }
    assert!(max_indexes < 30, "{max_indexes} indexes were in use for three members at a time");
}

/// Guards against a late first health check: a member that the list adds right after the router has looked for due checks
/// waited for a whole second until the router looked again.
#[test]
fn a_member_added_right_after_a_round_of_health_checks_is_checked_within_a_second() {
    let mut router = router_with_replicas(1, |d| d.gossip = false);
    router.tick(at(0));
    router.on_endpoint_update(at(1), EndpointUpdate::Changes(&[endpoint(2, false)]));
    let is_checked = |ms: i64, router: &mut Router| router.tick(at(ms)).health_checks.contains(&MemberId(2));
    let checked_at = (1..2000).find(|&ms| is_checked(ms, &mut router));
    assert!(checked_at.is_some_and(|ms| ms <= 901), "first checked at {checked_at:?} ms");
}

//! Shared fixtures of the tests: a small deployment, routers for it, and functions that call the routers.
#![allow(dead_code)]

use ladderpass_routing::*;

/// The time that is `ms` milliseconds after the start of a test.
pub fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000 + ms * 1_000_000)
}

pub fn method(consistency: Consistency, idempotency: Idempotency) -> Method {
    Method {
        consistency,
        idempotency,
        soft_deadline: Span::from_millis(500),
        utility: 1.0,
        late_utility_share: 0.0,
    }
}

/// A deployment with two methods: 0 is a read with a staleness bound, 1 is a write.
pub fn deployment() -> Deployment {
    Deployment {
        methods: vec![
            method(Consistency::BoundedStaleness(Span::from_millis(800)), Idempotency::Idempotent),
            method(Consistency::Write, Idempotency::NonIdempotent),
        ],
        primary_in_list: PrimaryInList::Delayed,
        session_write_age_carried: true,
        endpoint_poll_interval: None,
        health_checks: true,
        health_checks_report_position: true,
        router_count: 4,
        router_index: 0,
        gossip: false,
        max_attempts: 6,
        max_retry_after: Span::from_millis(500),
        tick: Span::from_millis(5),
        slow_start_capacity: 0.2,
        slow_start_duration: Span::from_millis(10_000),
        overload_window: Span::from_millis(2000),
        overload_multiple: 1.0,
        removal_is_advisory: false,
    }
}

pub fn endpoint(member: u32, primary: bool) -> Endpoint {
    Endpoint {
        member: MemberId(member),
        group: 0,
        primary,
        state: EndpointState::Active,
        started_at: None,
        machine_kind: 0,
        concurrency: None,
        zone: 0,
        id_hash: member,
    }
}

/// Ends a health check of a member. The member's answer reports its position and role.
pub fn answer_health_check(router: &mut Router, ms: i64, member: u32, position_ms: i64, primary: bool) {
    let report = LoadReport { position: Some(at(position_ms)), is_primary: Some(primary), in_flight: None };
    router.on_health_check_ended(at(ms), MemberId(member), AttemptOutcome::Ok, Span::from_millis(1), report);
}

pub fn arrival(method: u32, ms: i64) -> Arrival {
    Arrival {
        method,
        group: 0,
        deadline: at(ms + 2000),
        is_client_retry: false,
        session: None,
        last_write_age: None,
        router_overload: None,
        fleet_overload: None,
        admission_draw: None,
    }
}

/// Returns the member that an attempt is sent to, or none if the decision is no attempt.
pub fn sent_to(decision: Decision) -> Option<u32> {
    match decision {
        Decision::Attempt { member, .. } => Some(member.0),
        _ => None,
    }
}

pub fn result(member: u32, outcome: AttemptOutcome, latency_ms: i64) -> AttemptResult {
    AttemptResult {
        member: MemberId(member),
        outcome,
        latency: Span::from_millis(latency_ms),
        rpc_complete: outcome == AttemptOutcome::Ok,
        retry_denied: false,
        role: None,
        position: None,
    }
}

/// Starts a router for a primary and two replicas. Their first health checks are in flight.
pub fn new_router() -> Router {
    let mut router = Router::start(at(0), 7, deployment());
    router.on_endpoint_update(
        at(0),
        EndpointUpdate::Cached(&[endpoint(0, true), endpoint(1, false), endpoint(2, false)]),
    );
    assert_eq!(router.tick(at(0)).health_checks.len(), 3);
    router
}

/// Starts a router for a primary and replicas that have all answered a health check.
///
/// Methods: 0 is a read with a staleness bound, 1 is a write, 2 is an `any` read, and 3 is an `any` read with a soft
/// deadline of 6 s.
pub fn router_with_replicas(replicas: u32, change: impl Fn(&mut Deployment)) -> Router {
    let mut deployment = deployment();
    deployment.methods.push(method(Consistency::Any, Idempotency::Idempotent));
    let mut long = method(Consistency::Any, Idempotency::Idempotent);
    long.soft_deadline = Span::from_millis(6000);
    deployment.methods.push(long);
    change(&mut deployment);
    let mut router = Router::start(at(0), 7, deployment);
    let list: Vec<Endpoint> = (0..=replicas).map(|m| endpoint(m, m == 0)).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    answer_all_health_checks(&mut router, replicas, 0);
    router
}

/// Ends a health check of every member. All members report that they are up to date.
pub fn answer_all_health_checks(router: &mut Router, replicas: u32, ms: i64) {
    for member in 0..=replicas {
        answer_health_check(router, ms, member, ms, member == 0);
    }
}

/// Sends `count` RPCs of a method, one after the other. Each RPC is answered after `latency_ms`. Returns how many
/// attempts each member got.
pub fn serve_rpcs(router: &mut Router, method: u32, from: i64, count: i64, latency_ms: i64) -> Vec<u32> {
    let mut got = vec![0; 5];
    for n in 0..count {
        let ms = from + n * (latency_ms + 1);
        answer_all_health_checks(router, 4, ms);
        let first = router.accept(at(ms), arrival(method, ms));
        let later = router.tick(at(ms)).decisions;
        for (rpc, decision) in std::iter::once(first).chain(later) {
            if let Some(member) = sent_to(decision) {
                got[member as usize] += 1;
                rpc.on_attempt_ended(
                    router,
                    at(ms + latency_ms),
                    result(member, AttemptOutcome::Ok, latency_ms),
                );
            }
        }
    }
    got
}

/// Accepts nine RPCs at once, and returns how many of them are sent to a member immediately.
pub fn count_sent_of_burst(router: &mut Router, method: u32, ms: i64) -> usize {
    answer_all_health_checks(router, 4, ms);
    (0..9).filter(|_| sent_to(router.accept(at(ms), arrival(method, ms)).1).is_some()).count()
}

/// Accepts eight RPCs every 25 ms for one second, and answers those that are sent after 20 ms, so that the concurrency
/// limits grow from their initial values.
pub fn grow_limits(router: &mut Router, method: u32, from: i64) {
    for ms in (from..from + 1000).step_by(25) {
        answer_all_health_checks(router, 4, ms);
        let sent: Vec<_> = (0..8).map(|_| router.accept(at(ms), arrival(method, ms))).collect();
        for (rpc, decision) in sent {
            match sent_to(decision) {
                Some(member) => {
                    _ = rpc.on_attempt_ended(router, at(ms + 20), result(member, AttemptOutcome::Ok, 20))
                }
                None => rpc.abandon(router),
            }
        }
        router.tick(at(ms + 20));
    }
}

/// An update that another router of the same zone sends about a member.
pub fn peer_update(member: u32, observation: MemberObservation, ms: i64) -> MemberUpdate {
    MemberUpdate {
        member: MemberId(member),
        observation,
        at: at(ms),
        same_zone: true,
        latency_ratio: 0.0,
        in_flight: None,
    }
}

/// Starts a router with gossip for a primary and two replicas. No member has reported anything yet, and health checks
/// report no positions.
pub fn router_with_gossip(change: impl Fn(&mut Deployment)) -> Router {
    let mut deployment =
        Deployment { gossip: true, health_checks_report_position: false, ..self::deployment() };
    change(&mut deployment);
    let mut router = Router::start(at(0), 1, deployment);
    let list: Vec<Endpoint> =
        (0..3).map(|m| Endpoint { concurrency: Some(2.0), ..endpoint(m, m == 0) }).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    router
}

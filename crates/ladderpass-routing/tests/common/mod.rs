//! What the tests share: a small deployment and short ways to call the module.
#![allow(dead_code)]

use ladderpass_routing::*;

pub fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000 + ms * 1_000_000)
}

pub fn method(level: Consistency, effect: Idempotency) -> Method {
    Method {
        consistency: level,
        idempotency: effect,
        soft_deadline: Span::from_millis(500),
        utility: 1.0,
        late_utility_share: 0.0,
    }
}

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

pub fn entry(member: u32, primary: bool) -> Endpoint {
    let (standing, born) = (EndpointState::Active, None);
    Endpoint {
        member: MemberId(member),
        group: 0,
        primary,
        state: standing,
        started_at: born,
        machine_kind: 0,
        concurrency: None,
        zone: 0,
        id_hash: member,
    }
}

pub fn probe(router: &mut Router, ms: i64, member: u32, position_ms: i64, primary: bool) {
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

pub fn sent_to(decision: Decision) -> Option<u32> {
    match decision {
        Decision::Attempt { member, .. } => Some(member.0),
        _ => None,
    }
}

pub fn outcome(member: u32, ended: AttemptOutcome, took_ms: i64) -> AttemptResult {
    AttemptResult {
        member: MemberId(member),
        outcome: ended,
        latency: Span::from_millis(took_ms),
        rpc_complete: ended == AttemptOutcome::Ok,
        retry_denied: false,
        role: None,
        position: None,
    }
}

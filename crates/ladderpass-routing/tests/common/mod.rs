//! What the tests share: a small deployment and short ways to call the module.
#![allow(dead_code)]

use ladderpass_routing::*;

pub fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000 + ms * 1_000_000)
}

pub fn method(level: Level, effect: Effect) -> Method {
    Method { level, effect, soft_deadline: Span::from_millis(500), utility: 1.0, late: 0.0 }
}

pub fn deployment() -> Deployment {
    Deployment {
        methods: vec![
            method(Level::Bounded(Span::from_millis(800)), Effect::Idempotent),
            method(Level::Write, Effect::NonIdempotent),
        ],
        role_in_list: RoleInList::Late,
        carried: true,
        must_ask: None,
        probes: true,
        probes_tell: true,
        routers: 4,
        me: 0,
        peers: false,
        callouts_cap: 6,
        longest_come_back: Span::from_millis(500),
        tick: Span::from_millis(5),
        cold_from: 0.2,
        warm_within: Span::from_millis(10_000),
        overload_for: Span::from_millis(2000),
        tip_multiple: 1.0,
        soft_removal: false,
    }
}

pub fn entry(member: u32, primary: bool) -> Entry {
    let (standing, born) = (Standing::On, None);
    Entry {
        member: MemberId(member),
        group: 0,
        primary,
        standing,
        born,
        kind: 0,
        size: None,
        zone: 0,
        mark: member,
    }
}

pub fn probe(router: &mut Router, ms: i64, member: u32, position_ms: i64, primary: bool) {
    let report = Report { position: Some(at(position_ms)), primary: Some(primary), holds: None };
    router.probed(at(ms), MemberId(member), Ended::Ok, Span::from_millis(1), report);
}

pub fn arrival(method: u32, ms: i64) -> Arrival {
    Arrival {
        method,
        group: 0,
        due: at(ms + 2000),
        resent: false,
        session: None,
        last_write: None,
        strain: None,
        fleet: None,
        lot: None,
    }
}

pub fn sent_to(decision: Decision) -> Option<u32> {
    match decision {
        Decision::CallOut { member, .. } => Some(member.0),
        _ => None,
    }
}

pub fn outcome(member: u32, ended: Ended, took_ms: i64) -> Outcome {
    Outcome {
        member: MemberId(member),
        ended,
        took: Span::from_millis(took_ms),
        complete: ended == Ended::Ok,
        unpaid: false,
        role: None,
        position: None,
    }
}

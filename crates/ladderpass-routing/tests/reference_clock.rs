//! The difference between a router's clock and the members' clock, estimated from the positions that members report.

mod common;

use common::at;
use ladderpass_routing::reference_clock::{PositionReport, ReferenceClock};
use ladderpass_routing::{MemberId, Role, Span};

fn ms(ms: i64) -> Span {
    Span::from_millis(ms)
}

const PRIMARY: u32 = 0;
const REPLICA: u32 = 1;

/// A member answers at `now` that it has reached the position `now + lead`, all in milliseconds. The query was sent
/// 5 ms before. Returns whether the position may be used.
fn report(clock: &mut ReferenceClock, member: u32, now: i64, lead: i64) -> bool {
    let role = if member == PRIMARY { Role::Primary } else { Role::Replica };
    let report = PositionReport {
        member: MemberId(member),
        role: Some(role),
        sent_at: at(now - 5),
        position: at(now + lead),
    };
    clock.record_position(at(now), &report)
}

/// The primary reports the present time of a clock that is `lead` milliseconds ahead of the router's. A replica reports
/// a position that is 3 s behind that of the primary.
fn report_positions(clock: &mut ReferenceClock, now: i64, lead: i64) {
    report(clock, PRIMARY, now, lead);
    report(clock, REPLICA, now, lead - 3000);
}

#[test]
fn clocks_that_agree_have_no_difference() {
    let mut clock = ReferenceClock::new(true);
    for now in (0..10_000).step_by(100) {
        report_positions(&mut clock, now, -20);
        assert_eq!(clock.difference(at(now)), Default::default());
    }
}

#[test]
fn a_clock_that_is_behind_is_detected_at_the_first_position_and_confirmed_by_three() {
    for lead in [500, 5000, 3_600_000] {
        let mut clock = ReferenceClock::new(true);
        report(&mut clock, PRIMARY, 0, lead);
        assert_eq!(
            clock.difference(at(0)).behind,
            ms(lead),
            "the first position is enough to require newer ones"
        );
        for now in [100, 200, 300] {
            report_positions(&mut clock, now, lead);
        }
        assert_eq!(
            clock.difference(at(60_000)).behind,
            ms(lead),
            "three positions that agree confirm it, so it does not expire"
        );
        assert_eq!(clock.confirmed(), ms(lead));
    }
}

/// A single position ahead of the router's clock that no other positions confirm may be corrupt, so this position
/// counts only for a few seconds.
#[test]
fn a_position_ahead_of_the_clock_expires_if_no_others_confirm_it() {
    let mut clock = ReferenceClock::new(true);
    report_positions(&mut clock, 0, -20);
    report(&mut clock, REPLICA, 100, 6900);
    assert_eq!(clock.difference(at(100)).behind, ms(6900));
    for now in (200..5000).step_by(100) {
        report_positions(&mut clock, now, -20);
    }
    assert_eq!(clock.difference(at(5000)).behind, ms(0));
    report(&mut clock, REPLICA, 5000, 400 * 86_400_000);
    assert_eq!(
        clock.difference(at(5000)).behind,
        ms(0),
        "a position more than a day ahead is corrupt and ignored"
    );
}

#[test]
fn the_clock_may_be_ahead_by_any_time_until_a_position_is_reported() {
    let mut clock = ReferenceClock::new(true);
    assert_eq!(clock.difference(at(0)).ahead, Span::MAX);
    report_positions(&mut clock, 0, -20_000);
    assert_eq!(clock.difference(at(0)).ahead, ms(20_000));
    report(&mut clock, REPLICA, 10, -100);
    assert_eq!(
        clock.difference(at(10)).ahead,
        ms(0),
        "a report may be delayed by 100 ms without the clock being ahead"
    );
    assert_eq!(ReferenceClock::new(false).difference(at(0)), Default::default());
}

/// Guards against stale reads: a position ten minutes ahead in an otherwise valid answer was taken for its member's, as
/// the clock difference that the plausibility of the position was checked with came from the same position.
#[test]
fn a_position_does_not_show_by_itself_that_it_is_plausible() {
    for lead in [1100, 5000, 600_000, 86_000_000] {
        let mut clock = ReferenceClock::new(true);
        assert!(!report(&mut clock, REPLICA, 0, lead), "{lead} ms ahead as the first position of all");
        assert_eq!(
            clock.difference(at(0)).behind,
            ms(lead),
            "the clock may be behind, so newer ones are required"
        );
        assert!(report(&mut clock, REPLICA, 10, -20));
        assert_eq!(
            clock.difference(at(10)).behind,
            ms(0),
            "the member's next position refutes the one before"
        );
        for now in (100..1000).step_by(100) {
            report_positions(&mut clock, now, -20);
        }
        assert!(!report(&mut clock, REPLICA, 1000, lead));
        assert_eq!(clock.difference(at(1000)), Default::default(), "{lead} ms contradict the primary");
    }
}

/// Guards against replicas that get no reads any more: any three positions ahead of the clock, however far apart in
/// span, time and member, moved the clock for good by the least of them.
#[test]
fn positions_ahead_of_the_clock_that_do_not_agree_or_are_refuted_confirm_nothing() {
    for leads in [[600_000, 900_000, 400_000], [5000, 5000, 5000], [400, 900, 700]] {
        let mut clock = ReferenceClock::new(true);
        for (nth, lead) in (0..30).zip(leads.into_iter().cycle()) {
            let now = nth * 1000;
            (0..3).for_each(|member| {
                report(&mut clock, member, now, lead);
            });
            for member in [PRIMARY, REPLICA, 2] {
                report(&mut clock, member, now + 10, -20);
            }
            assert_eq!(clock.confirmed(), ms(0), "{leads:?}, {now} ms");
            assert_eq!(clock.difference(at(now + 10)), Default::default(), "{leads:?}, {now} ms");
        }
    }
}

/// Guards against stale reads after the opposite error: the members' clock is stepped while the router runs.
#[test]
fn a_step_of_the_members_clock_is_confirmed_by_other_members_or_by_the_primary_alone() {
    for members in [&[PRIMARY, REPLICA][..], &[PRIMARY]] {
        let mut clock = ReferenceClock::new(true);
        for now in (0..1000).step_by(100) {
            members.iter().for_each(|&member| {
                report(&mut clock, member, now, -20);
            });
        }
        for now in (1000..3000).step_by(100) {
            for &member in members {
                report(&mut clock, member, now, 3_600_000);
            }
        }
        assert_eq!(clock.confirmed(), ms(3_600_000), "{members:?}");
        assert!(report(&mut clock, PRIMARY, 3000, 3_600_000));
    }
}

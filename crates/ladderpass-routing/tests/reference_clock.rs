//! The difference between a router's clock and the members' clock, estimated from the positions that members report.

mod common;

use common::at;
use ladderpass_routing::Span;
use ladderpass_routing::reference_clock::ReferenceClock;

fn ms(ms: i64) -> Span {
    Span::from_millis(ms)
}

/// The primary reports the present time of a clock that is `lead` milliseconds ahead of the router's. A replica reports
/// a position that is 3 s behind that of the primary.
fn report_positions(clock: &mut ReferenceClock, now: i64, lead: i64) {
    clock.record_position(at(now), at(now + lead));
    clock.record_position(at(now), at(now + lead - 3000));
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
        clock.record_position(at(0), at(lead));
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
    clock.record_position(at(100), at(7000));
    assert_eq!(clock.difference(at(100)).behind, ms(6900));
    for now in (200..5000).step_by(100) {
        report_positions(&mut clock, now, -20);
    }
    assert_eq!(clock.difference(at(5000)).behind, ms(0));
    clock.record_position(at(5000), at(400 * 86_400_000));
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
    clock.record_position(at(10), at(-90));
    assert_eq!(
        clock.difference(at(10)).ahead,
        ms(0),
        "a report may be delayed by 100 ms without the clock being ahead"
    );
    assert_eq!(ReferenceClock::new(false).difference(at(0)), Default::default());
}

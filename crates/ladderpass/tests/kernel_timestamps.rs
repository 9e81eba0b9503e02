//! `WallClock::time_in_kernel`: how long bytes waited in the kernel, computed from timestamps of a wall clock that may
//! be stepped while they wait.

use ladderpass::wall_clock::WallClock;
use std::time::Duration;

const HOUR: u64 = 3_600_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The wall clock's time at the time `monotonic_ms` of the monotonic clock, in milliseconds. The wall clock shows noon
/// when the monotonic clock is at zero.
fn wall(monotonic_ms: u64) -> Duration {
    ms(12 * HOUR + monotonic_ms)
}

#[test]
fn the_time_in_the_kernel_follows_the_timestamp_while_the_clock_is_not_stepped() {
    let mut clock = WallClock::default();
    clock.record_reading(ms(1000), wall(1000));
    assert_eq!(clock.time_in_kernel(ms(1000), wall(970), ms(50)), ms(30));
    assert_eq!(clock.time_in_kernel(ms(9000), wall(7500), ms(2000)), ms(1500));
}

#[test]
fn the_time_in_the_kernel_is_between_zero_and_its_maximum() {
    let mut clock = WallClock::default();
    clock.record_reading(ms(1000), wall(1000));
    assert_eq!(clock.time_in_kernel(ms(1000), wall(1001), ms(50)), ms(0));
    // No recorded offset between the two clocks fits these timestamps, so the result is the maximum.
    assert_eq!(clock.time_in_kernel(ms(1000), wall(100), ms(50)), ms(50));
    assert_eq!(clock.time_in_kernel(ms(1000), wall(60_000), ms(50)), ms(50));
    assert_eq!(WallClock::default().time_in_kernel(ms(1000), wall(1000), ms(50)), ms(50));
}

/// Covers steps of the wall clock forward and back, from half a second to an hour, and timestamps from before and after
/// the step that are read after the step.
#[test]
fn a_clock_step_does_not_change_the_time_in_the_kernel() {
    for step_ms in [500, 5000, 40_000, HOUR] {
        for is_forward in [true, false] {
            let stepped =
                |after: u64| if is_forward { wall(after) + ms(step_ms) } else { wall(after) - ms(step_ms) };
            let mut clock = WallClock::default();
            clock.record_reading(ms(1000), wall(1000));
            clock.record_reading(ms(1400), stepped(1400));
            assert_eq!(
                clock.time_in_kernel(ms(1400), wall(1100), ms(400)),
                ms(300),
                "sent before the step of {step_ms} ms, ahead: {is_forward}"
            );
            assert_eq!(
                clock.time_in_kernel(ms(1400), stepped(1390), ms(400)),
                ms(10),
                "sent after the step of {step_ms} ms, ahead: {is_forward}"
            );
            // The wall clock is set back to the correct time while more bytes wait in the kernel.
            clock.record_reading(ms(1800), wall(1800));
            assert_eq!(
                clock.time_in_kernel(ms(1800), stepped(1500), ms(400)),
                ms(300),
                "sent before the correction of {step_ms} ms, ahead: {is_forward}"
            );
            assert_eq!(
                clock.time_in_kernel(ms(1800), wall(1790), ms(400)),
                ms(10),
                "sent after the correction of {step_ms} ms, ahead: {is_forward}"
            );
        }
    }
}

/// The offset between the clocks from before a step is used only while bytes from before that step may still be unread.
#[test]
fn the_offset_from_before_an_old_clock_step_is_not_used() {
    let mut clock = WallClock::default();
    clock.record_reading(ms(0), wall(0));
    clock.record_reading(ms(10), wall(1010));
    clock.record_reading(ms(11_000), wall(12_000));
    // The bytes waited for 1.5 s. The offset between the clocks from before the step would give 0.5 s.
    assert_eq!(clock.time_in_kernel(ms(11_000), wall(10_500), ms(2000)), ms(1500));
}

//! Tests of a router that shares its core with another process, and of a router whose memory runs short.

use crate::simulation::{READ, SERVE_SECS, Simulation, WRITE, at, mixed_request};
use ladderpass_overload::{Governor, Level, ResourceLimits, ResourceSample, Settings};
use ladderpass_routing::Span;

#[test]
fn writes_are_served_in_time_while_another_process_slows_the_router_down() {
    let mut sim = Simulation::new(true, 200, 7);
    sim.slowdown = |now_secs| if (3.0..8.0).contains(&now_secs) { 3.0 } else { 1.0 };
    sim.run(12.0, |_| 0.8 / SERVE_SECS, mixed_request);
    let writes = sim.sum(WRITE, 3, 8);
    assert!(f64::from(writes.served_in_time) > 0.99 * f64::from(writes.sent), "writes: {writes:?}");
    assert_eq!(sim.served_late, 0);
    assert!(sim.wait_p999_secs(3.0, 8.0) < 0.06, "{}", sim.wait_p999_secs(3.0, 8.0));
    let reads = sim.sum(READ, 10, 12);
    assert_eq!(reads.sent, reads.served_in_time, "all reads are served again two seconds after the slowdown");
}

#[test]
fn memory_use_alone_raises_the_pressure_and_shortens_the_slow_reader_timeout() {
    let limits =
        ResourceLimits { cores: 1.0, memory_bytes: 100 << 20, buffer_bytes: 25 << 20, descriptors: 1000 };
    let mut governor = Governor::new(at(0.0), Settings::default(), limits, 2);
    let sample = |resident_bytes| ResourceSample {
        wall: Span::from_millis(50),
        resident_bytes,
        ..ResourceSample::default()
    };
    for index in 0..100 {
        governor.record_sample(at(f64::from(index) * 0.05), sample(50 << 20));
    }
    assert_eq!((governor.pressure(), governor.accept_budget(64)), (0.0, 64));
    let calm_timeout = governor.slow_reader_timeout();
    for index in 100..200 {
        governor.record_sample(at(f64::from(index) * 0.05), sample(90 << 20));
    }
    assert!(governor.pressure() > 0.5, "{}", governor.pressure());
    assert!(governor.slow_reader_timeout() < calm_timeout && governor.accept_budget(64) < 32);
    for index in 200..300 {
        governor.record_sample(at(f64::from(index) * 0.05), sample(50 << 20));
    }
    assert!(governor.pressure() < 0.01 && governor.level() == Level::Calm);
}

/// The pressure is the share of the offered work to shed. It must be shed at each time, also while the router learns
/// that its work costs less or more than before: the learnt costs are part of the priorities.
#[test]
fn the_shed_share_follows_the_pressure_while_the_learnt_costs_change() {
    let mut sim = Simulation::new(true, 200, 8);
    sim.slowdown = |now_secs| match now_secs {
        ..2.0 => 2.0,
        2.0..4.0 => 4.0 - now_secs,
        4.0..6.0 => now_secs - 3.0,
        _ => 3.0,
    };
    let sample = ResourceSample {
        wall: Span::from_millis(50),
        resident_bytes: 805 << 20,
        ..ResourceSample::default()
    };
    let governor = sim.governor.as_mut().expect("the simulation has a governor");
    (0..20).for_each(|index| governor.record_sample(at(f64::from(index) * 0.001), sample));
    sim.run(8.0, |_| 500.0, mixed_request);
    let pressure = sim.governor.as_ref().expect("the simulation has a governor").pressure();
    assert!((0.15..0.2).contains(&pressure), "{pressure}");
    for second in 1..8 {
        let (reads, writes) = (sim.sum(READ, second, second + 1), sim.sum(WRITE, second, second + 1));
        let share = f64::from(reads.rejected) / f64::from(reads.sent + writes.sent);
        assert!(
            (0.5..1.5).contains(&(share / pressure)),
            "second {second}: {share:.3} of {pressure:.3} shed"
        );
        assert_eq!(writes.rejected, 0, "second {second}");
    }
}

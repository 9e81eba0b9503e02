//! Whatever traffic each router has, all of them together must not overload a starting member. In every window
//! as long as `Deployment::overload_window`, the routers together may send the member at most as many RPCs as
//! it can serve in that window, plus a margin of 2 square roots of that number and 2 RPCs. The checker of rule
//! 4 (`ladderpass_invariants::SlowStart`) examines all windows.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use simulation::{Case, STARTS_AT_MS, run};

fn assert_never_overloaded(scenario: &str, case: Case, seeds: std::ops::Range<u64>) {
    let (mut violations, mut to_starting, mut served_shares) = (Vec::new(), 0, 0.0);
    let count = (seeds.end - seeds.start) as f64;
    for seed in seeds {
        let outcome = run(case.clone(), seed);
        let found = outcome.violations.iter();
        violations.extend(found.map(|violation| format!("seed {seed}: {violation}")));
        to_starting += outcome.to_starting;
        served_shares += outcome.served_share;
    }
    println!(
        "{scenario}: {} violations, {:.1} attempts per run at starting members, {:.4} of all RPCs served",
        violations.len(),
        to_starting as f64 / count,
        served_shares / count
    );
    assert!(to_starting > 0, "{scenario}: no attempt was sent to the starting members");
    assert!(violations.is_empty(), "{scenario}: {violations:#?}");
}

/// Clients send two thirds of what the members can serve at full capacity, and 1.5 times that during the burst.
#[test]
fn a_starting_member_is_not_overloaded_by_eight_routers() {
    assert_never_overloaded("8 routers", Case { routers: 8, ..Case::default() }, 0..10);
}

#[test]
fn a_starting_member_of_any_capacity_is_not_overloaded_by_thirty_routers() {
    for n in [2.0, 5.0, 20.0, 100.0, 400.0] {
        assert_never_overloaded(
            &format!("30 routers, {n} RPCs per window at the start"),
            Case::with_initial_capacity(n),
            0..10,
        );
    }
    assert_never_overloaded(
        "30 routers, 2000 RPCs per window at the start",
        Case { duration_ms: 9500, ..Case::with_initial_capacity(2000.0) },
        0..2,
    );
}

/// Clients send only reads, always as many as the members can serve at full capacity. Only the margin by which
/// routers reduce the mean traffic of a starting member leaves slack for random variation.
#[test]
fn a_starting_member_is_not_overloaded_at_constant_full_load() {
    for n in [2.0, 5.0, 20.0, 100.0] {
        for routers in [8, 24, 30] {
            let case = Case {
                routers,
                rate: Case::with_initial_capacity(n).rate * 1.5,
                write_share: 0.0,
                ..Case::with_initial_capacity(n)
            };
            // The run ends with the members' slow start.
            let case = Case { burst: (0, 0), duration_ms: STARTS_AT_MS + 9_995, ..case };
            assert_never_overloaded(
                &format!("{routers} routers, full load, {n} RPCs per window at the start"),
                case,
                0..6,
            );
        }
    }
}

#[test]
fn a_starting_member_is_not_overloaded_by_routers_with_uneven_traffic() {
    for n in [6.0, 100.0] {
        assert_never_overloaded(
            &format!("uneven, {n} RPCs per window at the start"),
            Case { traffic_ratio: 10.0, ..Case::with_initial_capacity(n) },
            0..10,
        );
    }
}

#[test]
fn several_members_that_start_at_once_are_not_overloaded() {
    for n in [10.0, 180.0] {
        let five = Case {
            members: 5,
            starting: vec![3, 4],
            rate: Case::with_initial_capacity(n).capacity * 5.0 / 1.5,
            ..Case::with_initial_capacity(n)
        };
        assert_never_overloaded(
            &format!("two starting of five, {n} RPCs per window at the start"),
            five,
            0..10,
        );
        let case = Case { starting: vec![1, 2], ..Case::with_initial_capacity(n) };
        assert_never_overloaded(
            &format!("two starting of three, {n} RPCs per window at the start"),
            case,
            0..10,
        );
    }
}

#[test]
fn a_starting_member_is_not_overloaded_when_a_third_of_the_routers_restart() {
    for n in [10.0, 400.0] {
        let case = Case { restart: Some((8000, 10)), ..Case::with_initial_capacity(n) };
        assert_never_overloaded(&format!("ten restart, {n} RPCs per window at the start"), case, 0..10);
    }
}

/// All writes wait while there is no primary, and a starting member becomes the next primary. During the burst,
/// clients send as many writes as the primary can serve at full capacity.
#[test]
fn a_starting_primary_is_not_overloaded_by_queued_writes() {
    for n in [10.0, 100.0] {
        let case =
            Case { without_primary: Some((4000, 4900)), write_share: 0.33, ..Case::with_initial_capacity(n) };
        assert_never_overloaded(
            &format!("queued writes, {n} RPCs per window at the start"),
            case.clone(),
            0..10,
        );
        let late = Case { burst: (10_500, 13_500), ..case };
        assert_never_overloaded(
            &format!("queued writes, a late burst, {n} RPCs per window at the start"),
            late,
            0..10,
        );
    }
}

/// If the settings allow a starting member a multiple of its present capacity, the member gets more RPCs than
/// with a multiple of 1, but never more than the allowed multiple. No member gets more than two fair shares, so
/// a multiple of 4 changes little compared with a multiple of 2.
#[test]
fn a_starting_member_gets_more_if_the_settings_allow_a_multiple_of_its_capacity() {
    let got = [1.0, 1.5, 2.0, 4.0].map(|overload_multiple| {
        let case = Case {
            overload_multiple,
            write_share: 0.0,
            burst: (0, 0),
            starting: vec![1, 2],
            ..Case::with_initial_capacity(100.0)
        };
        let case = Case { rate: case.rate * 1.5, duration_ms: STARTS_AT_MS + 9_995, ..case };
        assert_never_overloaded(&format!("the settings allow {overload_multiple} times"), case.clone(), 0..6);
        run(case, 7).to_starting as f64
    });
    assert!(got[1] > got[0] * 1.3 && got[2] > got[1] * 1.2 && got[3] < got[2] * 1.1, "{got:?}");
}

/// Whatever the capacity of a starting member is, and even with queued writes, a small number of routers does
/// not overload the member.
#[test]
fn a_starting_member_is_not_overloaded_by_one_to_three_routers() {
    for routers in [1, 2, 3] {
        for n in [1.0, 2.0, 5.0, 20.0, 100.0, 400.0] {
            assert_never_overloaded(
                &format!("{routers} routers, {n} RPCs per window at the start"),
                Case { routers, ..Case::with_initial_capacity(n) },
                0..10,
            );
            let writes = Case {
                routers,
                without_primary: Some((4000, 4900)),
                write_share: 0.33,
                ..Case::with_initial_capacity(n)
            };
            assert_never_overloaded(
                &format!("{routers} routers, queued writes, {n} RPCs per window at the start"),
                writes,
                0..10,
            );
        }
    }
}

//! Tests of the straight line that is fitted to points, of its error, and of claims that are parsed from the capacity page.

use ladderpass_testbed::capacity::slope::{Claim, Slope};

fn slope(points: &[(f64, f64)]) -> Slope {
    Slope { name: "s", x: "x", y: "y", points: points.to_vec() }
}

#[test]
fn points_on_a_straight_line_are_fitted_without_error() {
    let slope = slope(&[(500.0, 12.0), (1000.0, 22.0), (4000.0, 82.0)]);
    let fit = slope.fit();
    assert!((fit.slope - 0.02).abs() < 1e-12 && (fit.base - 2.0).abs() < 1e-9, "{fit:?}");
    assert!(fit.error < 1e-9, "{fit:?}");
    assert!((fit.at(5900.0) - 120.0).abs() < 1e-9);
    assert_eq!(slope.range(), (500.0, 4000.0));
}

#[test]
fn the_error_is_the_greatest_relative_residual_at_a_point() {
    // Computed by hand: the means are 2 and 3, the slope is 1.5 and the base is 0. The line has the values 1.5, 3 and 4.5 where
    // the points have 2, 2 and 5.
    let fit = slope(&[(1.0, 2.0), (2.0, 2.0), (3.0, 5.0)]).fit();
    assert!((fit.slope - 1.5).abs() < 1e-12 && fit.base.abs() < 1e-12, "{fit:?}");
    assert!((fit.error - 0.5).abs() < 1e-12, "{fit:?}");
}

#[test]
fn a_single_x_gives_no_slope_and_no_points_give_an_infinite_error() {
    let one = slope(&[(7.0, 3.0)]).fit();
    assert_eq!((one.slope, one.base, one.error), (0.0, 3.0, 0.0));
    assert_eq!(slope(&[(7.0, 3.0), (7.0, 5.0)]).fit().slope, 0.0);
    assert!(slope(&[]).fit().error.is_infinite());
    assert_eq!(slope(&[(1.0, 0.0), (2.0, 0.0)]).fit().error, 0.0);
    assert!(slope(&[(1.0, 0.0), (2.0, 1.0), (3.0, 0.0)]).fit().error.is_infinite());
}

#[test]
fn a_claim_is_parsed_only_from_a_single_valid_row_of_its_name() {
    let page = "# Page\n\nwords with `statement_cpu` in them\n\n| name | value | within |\n|---|---|---|\n\
        | `statement_cpu` | 1,250.5 µs | ±15% | run |\n| `twice` | 1 | 2% |\n| `twice` | 1 | 2% |\n\
        | `bad` | many | 2% |\n| `bare` | 4 | 0.1 |\n";
    let claim = Claim::read(page, "statement_cpu").unwrap();
    assert_eq!((claim.value, claim.within), (1250.5, 0.15));
    assert!(claim.holds(1250.5 * 1.149) && claim.holds(1250.5 * 0.851));
    assert!(!claim.holds(1250.5 * 1.16) && !claim.holds(1250.5 * 0.84) && !claim.holds(f64::NAN));
    for name in ["twice", "bad", "bare", "missing"] {
        assert_eq!(Claim::read(page, name), None, "{name}");
    }
}

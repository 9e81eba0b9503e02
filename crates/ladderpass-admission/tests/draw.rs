//! Tests of the random draw of a session.

use ladderpass_admission::admission_draw;
use ladderpass_routing::{Span, Time};

#[test]
fn the_draw_of_a_session_is_stable_within_an_epoch_and_changes_with_the_epoch() {
    let now = Time::from_nanos(1_800_000_000_000_000_000);
    assert_eq!(admission_draw(b"k7", now), admission_draw(b"k7", now + Span::from_millis(200)));
    assert_ne!(admission_draw(b"k7", now), admission_draw(b"k7", now + Span::from_millis(20_000)));
    let mean: f64 =
        (0..1000).map(|index| admission_draw(format!("k{index}").as_bytes(), now)).sum::<f64>() / 1000.0;
    assert!((0.45..0.55).contains(&mean), "{mean}");
}

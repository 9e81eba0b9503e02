//! Unix time on the wire.

use ladderpass_routing::Time;

/// The time that so many milliseconds of Unix time stand for, as positions are sent.
pub(super) fn time_from_unix_ms(ms: f64) -> Time {
    Time::from_nanos((ms * 1e6) as i64)
}

//! Converts Unix time from the form in which members and clients send it.

use ladderpass_routing::Time;

/// Converts Unix time in milliseconds, which is how positions are sent.
pub(super) fn time_from_unix_ms(ms: f64) -> Time {
    Time::from_nanos((ms * 1e6) as i64)
}

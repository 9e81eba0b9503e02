//! Converts Unix time from the form in which members and clients send it.

use ladderpass_routing::Time;

/// Converts Unix time in milliseconds to `Time`. Members send their position, and clients the time of their
/// last write, in this form.
pub(super) fn time_from_unix_ms(ms: f64) -> Time {
    Time::from_nanos((ms * 1e6) as i64)
}

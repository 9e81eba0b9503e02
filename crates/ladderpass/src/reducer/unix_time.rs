//! Converts Unix time as it is sent on the wire.

use ladderpass_routing::Time;

/// Converts Unix time in milliseconds, which is how positions are sent.
pub(super) fn time_from_unix_ms(ms: f64) -> Time {
    Time::from_nanos((ms * 1e6) as i64)
}

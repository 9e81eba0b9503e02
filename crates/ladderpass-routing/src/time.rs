//! Points in time and spans of time, in nanoseconds. Points and spans are separate types, so that a point can't be
//! passed where a span is expected, or a span where a point is. Additions and subtractions saturate instead of
//! overflowing.

use std::ops::{Add, AddAssign, Mul, Sub};

/// A point on the clock that the caller passes to the router. Only differences between points have a meaning, not
/// the zero of the clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(i64);

/// The distance between two points in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

impl Time {
    /// The time of an event that has not happened yet. It is earlier than any time that a clock shows.
    pub const NEVER: Time = Time(i64::MIN / 2);

    /// Returns the point at this many nanoseconds from the clock's zero.
    pub const fn from_nanos(nanos: i64) -> Time {
        Time(nanos)
    }

    /// Returns the nanoseconds from the clock's zero.
    pub const fn nanos(self) -> i64 {
        self.0
    }
}

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);
    /// A span longer than any that can be measured.
    pub const MAX: Span = Span(i64::MAX / 4);

    /// Returns the length of the span in nanoseconds.
    pub const fn nanos(self) -> i64 {
        self.0
    }

    /// Returns a span of this many nanoseconds.
    pub const fn from_nanos(nanos: i64) -> Span {
        Span(nanos)
    }

    /// Returns a span of this many milliseconds.
    pub const fn from_millis(millis: i64) -> Span {
        Span(millis * 1_000_000)
    }

    /// Returns a span of this many seconds, truncated to whole nanoseconds.
    pub fn from_secs_f64(secs: f64) -> Span {
        Span((secs * 1e9) as i64)
    }

    /// Returns the length of the span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub<Time> for Time {
    type Output = Span;
    fn sub(self, other: Time) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as i64)
    }
}

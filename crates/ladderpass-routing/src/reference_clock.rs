//! Determines how far the router's clock may differ from the members' clock, from the positions that members report.
//!
//! A router reads its wall clock once, at its start, and uses the monotonic clock from then on. A router that starts
//! while its wall clock is stepped keeps that error for as long as it runs. A position is a point in time that has
//! passed. A position that is ahead of the router's clock shows that the clock is behind, and the newest position of
//! all bounds how far the clock can be ahead. Errors are on the safe side: a clock that may be behind requires newer
//! positions, and with a clock that may be ahead, members in slow start are taken to be younger. This module reads no
//! clock and makes no decision about RPCs.

use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Clocks that differ by less than this are taken to be equal. Positions are reported in whole milliseconds.
const CLOCK_TOLERANCE: Span = Span::from_millis(50);
/// This many positions that agree confirm how far the clock is behind. A single position may be corrupt.
const POSITIONS_TO_CONFIRM: usize = 3;
/// A position supports a later one if it was at most this much less ahead of the clock, or further ahead.
const AGREEMENT_TOLERANCE: Span = Span::from_millis(250);
/// A position ahead of the clock that no others confirm is used for this long.
const UNCONFIRMED_VALID_FOR: Span = Span::from_millis(3000);
/// Largest number of positions ahead of the clock that are stored.
const MAX_STORED_LEADS: usize = 32;
/// A position that is further ahead than this is corrupt.
const MAX_LEAD: Span = Span::from_millis(86_400_000);
/// A position may be this old when it is reported, without the clock being ahead.
const MAX_REPORT_AGE: Span = Span::from_millis(1000);

/// How far the router's clock may differ from the members'.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockDifference {
    /// The router's clock may be behind by this.
    pub behind: Span,
    /// The router's clock may be ahead by this.
    pub ahead: Span,
}

/// A position that was ahead of the router's clock when it was reported.
#[derive(Clone, Copy, Debug)]
struct Lead {
    reported_at: Time,
    lead: Span,
}

/// Compares the router's clock with the positions that members report.
#[derive(Debug)]
pub struct ReferenceClock {
    leads: VecDeque<Lead>,
    /// How far the clock is behind, as confirmed by several positions.
    confirmed: Span,
    /// Least age that a position had when it was reported, or `None` before the first one.
    min_report_age: Option<Span>,
}

impl ReferenceClock {
    /// Creates a comparison without any positions. `positions_expected` means that members report positions. The
    /// clock may then be ahead by any amount until the first one is reported.
    pub fn new(positions_expected: bool) -> ReferenceClock {
        let min_report_age = (!positions_expected).then_some(Span::ZERO);
        ReferenceClock { leads: VecDeque::new(), confirmed: Span::ZERO, min_report_age }
    }

    /// Records a position that a member has just reported.
    pub fn record_position(&mut self, now: Time, position: Time) {
        let lead = position - now;
        if lead > MAX_LEAD {
            return;
        }
        let before = self.min_report_age.unwrap_or(Span::MAX);
        self.min_report_age = Some(before.min(Span::ZERO.max(Span::ZERO - lead)));
        if lead <= self.confirmed + CLOCK_TOLERANCE {
            return;
        }
        self.leads.push_back(Lead { reported_at: now, lead });
        if self.leads.len() > MAX_STORED_LEADS {
            self.leads.pop_front();
        }
        let agreeing = self.leads.iter().filter(|other| other.lead + AGREEMENT_TOLERANCE >= lead);
        if agreeing.count() >= POSITIONS_TO_CONFIRM {
            self.confirmed = lead;
        }
    }

    /// The possible difference, by the confirmed positions and by the unconfirmed ones of the last seconds.
    pub fn difference(&self, now: Time) -> ClockDifference {
        let recent = self.leads.iter().filter(|lead| now - lead.reported_at <= UNCONFIRMED_VALID_FOR);
        let unconfirmed = recent.map(|lead| lead.lead).max().unwrap_or(Span::ZERO);
        let ahead = self.min_report_age.unwrap_or(Span::MAX);
        ClockDifference {
            behind: unconfirmed.max(self.confirmed),
            ahead: if ahead > MAX_REPORT_AGE { ahead } else { Span::ZERO },
        }
    }

    /// How far the clock is certainly behind.
    pub fn confirmed(&self) -> Span {
        self.confirmed
    }
}

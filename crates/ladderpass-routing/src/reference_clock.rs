//! How far the router's clock may differ from the members' clock, by the positions that members report.
//!
//! A router reads its wall clock once, at its start, and goes by the monotonic clock from there; one that starts while
//! its wall clock is stepped is wrong for good. A position is a point in time that has passed. One that is ahead of the
//! router's clock shows that the clock is behind, and the newest of all bounds how far it can be ahead. Errors are on
//! the safe side: a clock that may be behind requires newer positions, and one that may be ahead takes members in slow
//! start to be younger. This module reads no clock, and decides nothing about an RPC.

use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Clocks that differ by less than this count as the same; positions are reported in whole milliseconds.
const SAME_CLOCK_WITHIN: Span = Span::from_millis(50);
/// So many positions that agree within the second value confirm how far the clock is behind: a single one may be
/// corrupt.
const POSITIONS_TO_CONFIRM: usize = 3;
const POSITIONS_AGREE_WITHIN: Span = Span::from_millis(250);
/// A position ahead of the clock that no others confirm counts for this long.
const UNCONFIRMED_VALID_FOR: Span = Span::from_millis(3000);
const MAX_LEADS_KEPT: usize = 32;
/// A position that is further ahead is corrupt.
const MAX_LEAD: Span = Span::from_millis(86_400_000);
/// Positions may be this old without the clock being ahead.
const MAX_REPORT_AGE: Span = Span::from_millis(1000);

/// How far the router's clock may differ from the members'.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockDifference {
    /// It may be behind by this.
    pub behind: Span,
    /// It may be ahead by this.
    pub ahead: Span,
}

/// A position that was ahead of the clock.
#[derive(Clone, Copy, Debug)]
struct Lead {
    reported_at: Time,
    lead: Span,
}

/// Compares the clock with the positions that members report.
#[derive(Debug)]
pub struct ReferenceClock {
    leads: VecDeque<Lead>,
    confirmed: Span,
    /// Least age of a position when it was reported; none before the first one.
    min_report_age: Option<Span>,
}

impl ReferenceClock {
    /// `positions_expected`: members report positions, so that some are to come.
    pub fn new(positions_expected: bool) -> ReferenceClock {
        let min_report_age = (!positions_expected).then_some(Span::ZERO);
        ReferenceClock { leads: VecDeque::new(), confirmed: Span::ZERO, min_report_age }
    }

    /// A member has just reported this position.
    pub fn record_position(&mut self, now: Time, position: Time) {
        let lead = position - now;
        if lead > MAX_LEAD {
            return;
        }
        let before = self.min_report_age.unwrap_or(Span::MAX);
        self.min_report_age = Some(before.min(Span::ZERO.max(Span::ZERO - lead)));
        if lead <= self.confirmed + SAME_CLOCK_WITHIN {
            return;
        }
        self.leads.push_back(Lead { reported_at: now, lead });
        if self.leads.len() > MAX_LEADS_KEPT {
            self.leads.pop_front();
        }
        let agreeing = self.leads.iter().filter(|other| other.lead + POSITIONS_AGREE_WITHIN >= lead);
        if agreeing.count() >= POSITIONS_TO_CONFIRM {
            self.confirmed = lead;
        }
    }

    /// The difference that the positions reported so far, and within the last seconds, allow.
    pub fn difference(&self, now: Time) -> ClockDifference {
        let recent = self.leads.iter().filter(|lead| now - lead.reported_at <= UNCONFIRMED_VALID_FOR);
        let unconfirmed = recent.map(|lead| lead.lead).max().unwrap_or(Span::ZERO);
        let ahead = self.min_report_age.unwrap_or(Span::MAX);
        ClockDifference {
            behind: unconfirmed.max(self.confirmed),
            ahead: if ahead > MAX_REPORT_AGE { ahead } else { Span::ZERO },
        }
    }

    /// How far the clock is behind for certain.
    pub fn confirmed(&self) -> Span {
        self.confirmed
    }
}

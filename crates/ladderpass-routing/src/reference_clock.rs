//! Determines how far the router's clock may differ from the members' clock, from the positions that members report.
//!
//! A router reads its wall clock once, at its start, and uses the monotonic clock from then on. A router that starts
//! while its wall clock is wrong by a step keeps that error for as long as it runs. A position is a past point in
//! time on the members' clock: the member has applied all commits up to it. A position that is ahead of the router's
//! clock shows that the clock is behind, and the newest position of all limits how far the clock can be ahead.
//! Errors are on the safe side: a clock that may be behind requires newer positions, and with a clock that may be
//! ahead, members in slow start are taken to be younger. This module reads no clock and makes no decision about
//! RPCs.

use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Clocks that differ by less than this are taken to be equal. Positions are reported in whole milliseconds.
const CLOCK_TOLERANCE: Span = Span::from_millis(50);
/// This many positions that agree confirm how far the router's clock is behind the members' clock. One position
/// is not enough, because it may be corrupt.
const POSITIONS_TO_CONFIRM: usize = 3;
/// A position confirms a later position if it was further ahead of the router's clock than the later position, or
/// less far ahead by at most this span.
const AGREEMENT_TOLERANCE: Span = Span::from_millis(250);
/// A position ahead of the router's clock that no other positions confirm is used for this long.
const UNCONFIRMED_VALID_FOR: Span = Span::from_millis(3000);
/// The maximum number of positions ahead of the router's clock that are stored.
const MAX_STORED_LEADS: usize = 32;
/// A position that is further ahead of the router's clock than this span is taken to be corrupt, and is ignored.
const MAX_LEAD: Span = Span::from_millis(86_400_000);
/// A position that is at most this old by the router's clock when it is reported does not show that the clock is
/// ahead.
const MAX_REPORT_AGE: Span = Span::from_millis(1000);

/// How far the router's clock may differ from the members' clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockDifference {
    /// How far the router's clock may be behind the members' clock.
    pub behind: Span,
    /// How far the router's clock may be ahead of the members' clock.
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
    /// How far the router's clock is behind the members' clock, as several positions confirm.
    confirmed: Span,
    /// The least age that any position had when it was reported, or `None` before the first report.
    min_report_age: Option<Span>,
}

impl ReferenceClock {
    /// Creates a comparison without any positions. `positions_expected` means that members report positions. The
    /// router's clock may then be ahead by any amount until the first position is reported.
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

    /// The possible difference between the two clocks, by the positions that agreed often enough to be
    /// confirmed, and by the unconfirmed positions of the last `UNCONFIRMED_VALID_FOR`.
    pub fn difference(&self, now: Time) -> ClockDifference {
        let recent = self.leads.iter().filter(|lead| now - lead.reported_at <= UNCONFIRMED_VALID_FOR);
        let unconfirmed = recent.map(|lead| lead.lead).max().unwrap_or(Span::ZERO);
        let ahead = self.min_report_age.unwrap_or(Span::MAX);
        ClockDifference {
            behind: unconfirmed.max(self.confirmed),
            ahead: if ahead > MAX_REPORT_AGE { ahead } else { Span::ZERO },
        }
    }

    /// How far the router's clock is behind the members' clock, as several positions confirm.
    pub fn confirmed(&self) -> Span {
        self.confirmed
    }
}

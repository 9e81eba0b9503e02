//! Determines how far the router's clock may differ from the members' clock, from the positions that members report.
//!
//! A router reads its wall clock once, at its start, and uses the monotonic clock from then on. A router that starts
//! while its wall clock is wrong by a step keeps that error for as long as it runs. A position is a past point in
//! time on the members' clock: the member has applied all commits up to it. A position that is ahead of the router's
//! clock shows that the clock is behind, and the newest position of all limits how far the clock can be ahead. The
//! position of a primary is always current, so it also limits how far the clock can be behind.
//!
//! A single position may be corrupt. A position far ahead of the router's clock is not used as a position of its member
//! until other positions confirm it. Until then it is taken to show that the clock may be behind, but only as long as
//! no primaries have shown how far the clock is behind at most.
//!
//! Errors are on the safe side: a clock that may be behind requires newer positions, and with a clock that may be
//! ahead, members in slow start are taken to be younger. This module reads no clock and makes no decision about
//! RPCs.

use crate::time::{Span, Time};
use crate::types::{MemberId, Role};
use std::collections::VecDeque;

/// Clocks that differ by less than this are taken to be equal. Positions are reported in whole milliseconds.
const CLOCK_TOLERANCE: Span = Span::from_millis(50);
/// This many positions that agree confirm how far the router's clock is behind the members' clock. One position
/// is not enough, because it may be corrupt.
const POSITIONS_TO_CONFIRM: usize = 3;
/// The number of members whose repeated positions confirm a difference that contradicts the positions of primaries.
const MEMBERS_TO_CONTRADICT_PRIMARIES: usize = 2;
/// After this many consecutive positions of primaries that contradict the earlier ones, the earlier ones no longer
/// count, because the members' clock may have been stepped.
const PRIMARY_POSITIONS_TO_WITHDRAW: usize = 10;
/// Two positions agree if they are ahead of the router's clock by spans that differ by at most this.
const AGREEMENT_TOLERANCE: Span = Span::from_millis(250);
/// A position ahead of the router's clock that no other positions confirm is taken to show a clock difference for this
/// long.
const UNCONFIRMED_VALID_FOR: Span = Span::from_millis(3000);
/// A position that is further ahead than this of the members' clock, as far as that clock is known, is not used before
/// other positions confirm it.
const MAX_UNCONFIRMED_LEAD: Span = Span::from_millis(1000);
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
    /// How far the router's clock is behind the members' clock, as several positions confirm.
    pub confirmed_behind: Span,
    /// How far the router's clock may be ahead of the members' clock.
    pub ahead: Span,
}

/// A position that a member has reported, in an answer or in a health check.
#[derive(Clone, Copy, Debug)]
pub struct PositionReport {
    /// The member that has reported the position.
    pub member: MemberId,
    /// The role that the member has shown together with the position, if any.
    pub role: Option<Role>,
    /// When the query was sent whose answer contains the position.
    pub sent_at: Time,
    /// The position, by the members' clock.
    pub position: Time,
}

/// A position that was ahead of the router's clock when it was reported.
#[derive(Clone, Copy, Debug)]
struct Lead {
    report: PositionReport,
    reported_at: Time,
}

impl Lead {
    /// How far the position was ahead of the router's clock.
    fn span(&self) -> Span {
        self.report.position - self.reported_at
    }

    /// Returns whether a report shows that this position was corrupt. Positions of a member never decrease, so a member
    /// that has reached a position reports no earlier one in answer to a later query.
    fn is_refuted_by(&self, report: &PositionReport) -> bool {
        self.is_before(report) && report.position < self.report.position
    }

    /// Returns whether a report answers a query that the same member got after it had reported this position.
    fn is_before(&self, report: &PositionReport) -> bool {
        report.member == self.report.member && report.sent_at >= self.reported_at
    }

    fn agrees_with(&self, lead: Span) -> bool {
        let difference = self.span() - lead;
        difference <= AGREEMENT_TOLERANCE && Span::ZERO - difference <= AGREEMENT_TOLERANCE
    }
}

/// Compares the router's clock with the positions that members report.
#[derive(Debug)]
pub struct ReferenceClock {
    /// Positions that are ahead of the members' clock as far as that clock is known, the oldest first.
    leads: VecDeque<Lead>,
    /// How far the router's clock is behind the members' clock, as several positions confirm.
    confirmed: Span,
    /// The number of consecutive positions of primaries that are not ahead of the members' clock by `confirmed`.
    agreeing_primary_positions: usize,
    /// The number of consecutive positions of primaries that have contradicted these.
    contradicting_primary_positions: usize,
    /// The least age that any position had when it was reported, or `None` before the first report.
    min_report_age: Option<Span>,
}

impl ReferenceClock {
    /// Creates a comparison without any positions. `positions_expected` means that members report positions. The
    /// router's clock may then be ahead by any amount until the first position is reported.
    pub fn new(positions_expected: bool) -> ReferenceClock {
        let min_report_age = (!positions_expected).then_some(Span::ZERO);
        ReferenceClock {
            leads: VecDeque::new(),
            confirmed: Span::ZERO,
            agreeing_primary_positions: 0,
            contradicting_primary_positions: 0,
            min_report_age,
        }
    }

    /// Records a position that a member has just reported. Returns whether the member may have reached the position,
    /// by what is known of the members' clock. Otherwise the position must not be used.
    pub fn record_position(&mut self, now: Time, report: &PositionReport) -> bool {
        let lead = report.position - now;
        if lead > MAX_LEAD {
            return false;
        }
        self.leads.retain(|other| !other.is_refuted_by(report));
        self.record_primary_position(report);
        if lead > self.confirmed + CLOCK_TOLERANCE {
            self.record_lead(now, report);
        }
        let is_plausible = lead <= self.confirmed + MAX_UNCONFIRMED_LEAD;
        if is_plausible {
            let before = self.min_report_age.unwrap_or(Span::MAX);
            self.min_report_age = Some(before.min(Span::ZERO.max(Span::ZERO - lead)));
        }
        is_plausible
    }

    /// Counts the positions of primaries by which the clock is behind by no more than `confirmed`. A primary that
    /// answers a query has at least the position at which its clock stood when the query was sent.
    fn record_primary_position(&mut self, report: &PositionReport) {
        if report.role != Some(Role::Primary) {
            return;
        }
        let max_behind = report.position - report.sent_at;
        if max_behind <= self.confirmed + AGREEMENT_TOLERANCE {
            self.agreeing_primary_positions = self.agreeing_primary_positions.saturating_add(1);
            self.contradicting_primary_positions = 0;
            return;
        }
        self.contradicting_primary_positions += 1;
        let withdraws = self.contradicting_primary_positions >= PRIMARY_POSITIONS_TO_WITHDRAW;
        if withdraws || !self.is_limited_by_primaries() {
            self.agreeing_primary_positions = 0;
        }
    }

    /// Returns whether several primaries' positions have shown that the clock is behind by no more than `confirmed`.
    /// That stays true while the router runs, unless the members' clock is stepped.
    fn is_limited_by_primaries(&self) -> bool {
        self.agreeing_primary_positions >= POSITIONS_TO_CONFIRM
    }

    fn record_lead(&mut self, now: Time, report: &PositionReport) {
        let lead = Lead { report: *report, reported_at: now };
        self.leads.push_back(lead);
        if self.leads.len() > MAX_STORED_LEADS {
            self.leads.pop_front();
        }
        if self.has_confirmation(lead.span()) {
            self.confirmed = lead.span();
            let known = self.confirmed + CLOCK_TOLERANCE;
            self.leads.retain(|other| other.span() > known);
        }
    }

    /// Returns whether enough positions were ahead of the router's clock by about this span. The same corruption may
    /// strike an answer of each member, so members must have repeated such a position.
    fn has_confirmation(&self, lead: Span) -> bool {
        let agreeing: Vec<&Lead> = self.leads.iter().filter(|other| other.agrees_with(lead)).collect();
        let repeats = |later: &&&Lead| agreeing.iter().any(|earlier| earlier.is_before(&later.report));
        let mut members: Vec<u32> =
            agreeing.iter().filter(repeats).map(|lead| lead.report.member.0).collect();
        members.sort_unstable();
        members.dedup();
        let needed = if self.contradicts_primaries(lead) { MEMBERS_TO_CONTRADICT_PRIMARIES } else { 1 };
        agreeing.len() >= POSITIONS_TO_CONFIRM && members.len() >= needed
    }

    /// Returns whether a position that is ahead of the router's clock by this span is far ahead of the members' clock,
    /// as the positions of primaries have shown it.
    fn contradicts_primaries(&self, lead: Span) -> bool {
        self.is_limited_by_primaries() && lead > self.confirmed + MAX_UNCONFIRMED_LEAD
    }

    /// The possible difference between the two clocks, by the positions that agreed often enough to be
    /// confirmed, and by the unconfirmed positions of the last `UNCONFIRMED_VALID_FOR`.
    pub fn difference(&self, now: Time) -> ClockDifference {
        let recent = self.leads.iter().filter(|lead| now - lead.reported_at <= UNCONFIRMED_VALID_FOR);
        let possible = recent.map(Lead::span).filter(|&lead| !self.contradicts_primaries(lead));
        let unconfirmed = possible.max().unwrap_or(Span::ZERO);
        let ahead = self.min_report_age.unwrap_or(Span::MAX);
        ClockDifference {
            behind: unconfirmed.max(self.confirmed),
            confirmed_behind: self.confirmed,
            ahead: if ahead > MAX_REPORT_AGE { ahead } else { Span::ZERO },
        }
    }

    /// How far the router's clock is behind the members' clock, as several positions confirm.
    pub fn confirmed(&self) -> Span {
        self.confirmed
    }
}

//! How far this router's clock may differ from the one that all machines read, by the positions that members
//! tell.
//!
//! A router reads its wall clock once, at its start, and goes by the monotonic clock from there; one that
//! starts while its wall clock is stepped is off for good. A position is a point in time that has passed: one
//! that is ahead of the router's clock shows that this is behind, and the newest of all shows by how much it
//! can be ahead at the most. An error leads to fresher data and a slower start: a clock that may be behind
//! asks for newer positions, and one that may be ahead takes members that have started for colder. It reads
//! no clock, and decides nothing about an RPC.

use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Clocks that read the same differ by less than this; positions are told in whole milliseconds.
const SAME: Span = Span::from_millis(50);
/// So many positions, that differ by no more than this, show how far the clock is behind; one alone may be
/// spoilt.
const WITNESSES: usize = 3;
const AGREE: Span = Span::from_millis(250);
/// A position ahead of the clock that no others confirm counts for this long.
const SUSPECTED: Span = Span::from_millis(3000);
const KEPT: usize = 32;
/// Nothing but a spoilt answer is further ahead.
const LONGEST: Span = Span::from_millis(86_400_000);
/// Reports may be this old without the clock being ahead.
const REPORTED_WITHIN: Span = Span::from_millis(1000);

/// By how much the router's clock differs from the members'.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockDifference {
    /// It may be behind by so much.
    pub behind: Span,
    /// It may be ahead by so much.
    pub ahead: Span,
}

/// What positions have shown.
#[derive(Debug)]
pub struct ReferenceClock {
    /// When a position was told that was ahead of the clock by how much.
    leads: VecDeque<(Time, Span)>,
    confirmed: Span,
    /// How old the newest position was when it was told; None: none was told yet, though members tell them.
    youngest: Option<Span>,
}

impl ReferenceClock {
    /// `told`: members tell positions, so that some are to come.
    pub fn new(told: bool) -> ReferenceClock {
        let youngest = (!told).then_some(Span::ZERO);
        ReferenceClock { leads: VecDeque::new(), confirmed: Span::ZERO, youngest }
    }

    /// A member told this position just now.
    pub fn record_position(&mut self, now: Time, position: Time) {
        let lead = position - now;
        if lead > LONGEST {
            return;
        }
        let before = self.youngest.unwrap_or(Span::MAX);
        self.youngest = Some(before.min(Span::ZERO.max(Span::ZERO - lead)));
        if lead <= self.confirmed + SAME {
            return;
        }
        self.leads.push_back((now, lead));
        if self.leads.len() > KEPT {
            self.leads.pop_front();
        }
        let agree = self.leads.iter().filter(|(_, other)| *other + AGREE >= lead).count();
        if agree >= WITNESSES {
            self.confirmed = lead;
        }
    }

    /// What the positions told so far, and lately, allow.
    pub fn difference(&self, now: Time) -> ClockDifference {
        let recent = self.leads.iter().filter(|(at, _)| now - *at <= SUSPECTED).map(|&(_, lead)| lead);
        let behind = recent.max().unwrap_or(Span::ZERO).max(self.confirmed);
        let ahead = self.youngest.unwrap_or(Span::MAX);
        ClockDifference { behind, ahead: if ahead > REPORTED_WITHIN { ahead } else { Span::ZERO } }
    }

    /// How far the clock is behind for certain.
    pub fn confirmed(&self) -> Span {
        self.confirmed
    }
}

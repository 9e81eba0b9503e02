//! The reasons why an RPC was not served and why a member did not get it, for the log and its counts. This module makes
//! no decisions.

use crate::time::Span;
use std::fmt::{self, Display, Formatter};
use std::marker::PhantomData;

/// The reason why an RPC was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// An attempt of the RPC may have had its effect, and the method never allows a retry after that, or the
    /// time in which a retry is safe is over.
    MayHaveRun,
    /// An answer would come too late to be of any use.
    TooLate,
    /// The RPC was queued for the longest allowed share of the time that its client waits, or the client's
    /// deadline is near.
    OutOfTime,
    /// The RPC has had the maximum number of attempts.
    NoAttemptLeft,
    /// The front could not make the attempt, because it had no connection or could not see whether the client is still
    /// connected.
    AttemptNotMade,
    /// The RPC was answered with an error several times.
    FaultyRequest,
    /// The front allowed no further attempt, because the retry budget is used up or the client may have left.
    RetryBudgetExhausted,
    /// The client has marked the RPC as a retry. Such an RPC may use only idle capacity, and there was none.
    NoIdleCapacity,
}

/// The reason why a member could not get an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// The member is draining, or not on the endpoint list.
    NotListed,
    /// The last three health checks or connections of the member failed. If the member is the primary, one
    /// failure is enough.
    Ejected,
    /// The member would answer too late.
    TooSlow,
    /// An attempt of this RPC at the member has ended without success, and the RPC's last attempt at any member
    /// ended less than the typical answer time ago.
    TriedBefore,
    /// The member is in slow start or overloaded, and has already been sent its present share of the RPCs.
    SlowStart,
    /// This router already has as many attempts in flight at the member as the concurrency limit allows for this
    /// RPC.
    AtConcurrencyLimit,
    /// The position of the member is not known to be recent enough for the read.
    Stale,
}

/// A kind of reason that is counted.
pub trait Reason: Copy + PartialEq + 'static {
    /// All reasons of this kind, in the order in which they are shown. There are at most eight.
    const ALL: &'static [Self];
    /// Returns the text of the reason in the log.
    fn text(self) -> &'static str;
}

impl Reason for GiveUpReason {
    const ALL: &'static [GiveUpReason] = &[
        GiveUpReason::MayHaveRun,
        GiveUpReason::TooLate,
        GiveUpReason::OutOfTime,
        GiveUpReason::NoAttemptLeft,
        GiveUpReason::AttemptNotMade,
        GiveUpReason::FaultyRequest,
        GiveUpReason::RetryBudgetExhausted,
        GiveUpReason::NoIdleCapacity,
    ];

    fn text(self) -> &'static str {
        match self {
            GiveUpReason::MayHaveRun => "may have run",
            GiveUpReason::TooLate => "too late",
            GiveUpReason::OutOfTime => "out of time",
            GiveUpReason::NoAttemptLeft => "no attempt left",
            GiveUpReason::AttemptNotMade => "not made",
            GiveUpReason::FaultyRequest => "at fault itself",
            GiveUpReason::RetryBudgetExhausted => "over the retry budget",
            GiveUpReason::NoIdleCapacity => "nothing idle for a repeat",
        }
    }
}

impl Reason for Ineligible {
    const ALL: &'static [Ineligible] = &[
        Ineligible::NotListed,
        Ineligible::Ejected,
        Ineligible::TooSlow,
        Ineligible::TriedBefore,
        Ineligible::SlowStart,
        Ineligible::AtConcurrencyLimit,
        Ineligible::Stale,
    ];

    fn text(self) -> &'static str {
        match self {
            Ineligible::NotListed => "not listed",
            Ineligible::Ejected => "ejected",
            Ineligible::TooSlow => "too slow",
            Ineligible::TriedBefore => "tried before",
            Ineligible::SlowStart => "slow start",
            Ineligible::AtConcurrencyLimit => "no room",
            Ineligible::Stale => "stale",
        }
    }
}

/// The maximum number of reasons of one kind, which bounds the length of [`Reason::ALL`].
const MAX_REASONS: usize = 8;

/// How often each reason of one kind applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts<R> {
    counts: [u32; MAX_REASONS],
    reason: PhantomData<R>,
}

impl<R> Default for Counts<R> {
    fn default() -> Counts<R> {
        Counts { counts: [0; MAX_REASONS], reason: PhantomData }
    }
}

impl<R: Reason> Counts<R> {
    /// Increases the count of a reason by one.
    pub fn add(&mut self, reason: R) {
        if let Some(index) = R::ALL.iter().position(|&counted| counted == reason) {
            self.counts[index] += 1;
        }
    }

    /// Adds the counts of `other` to these counts.
    pub fn merge(&mut self, other: &Counts<R>) {
        for (count, other_count) in self.counts.iter_mut().zip(other.counts) {
            *count += other_count;
        }
    }
}

/// Formats the counts as in "2 stale, 1 ejected", or as "none" where all counts are zero.
impl<R: Reason> Display for Counts<R> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let counted = R::ALL.iter().zip(self.counts).filter(|&(_, count)| count > 0);
        let texts: Vec<String> =
            counted.map(|(reason, count)| format!("{count} {}", reason.text())).collect();
        if texts.is_empty() {
            return formatter.write_str("none");
        }
        formatter.write_str(&texts.join(", "))
    }
}

/// A logged example of an RPC that was given up or spilled to the primary.
#[derive(Clone, Debug, PartialEq)]
pub struct ExceptionExample {
    /// The index of the RPC's group.
    pub group: u32,
    /// The index of the RPC's method.
    pub method: u32,
    /// The number of attempts of the RPC that were made so far.
    pub attempts: u32,
    /// The time since the RPC was accepted.
    pub waited: Span,
    /// The time until the deadline of the RPC.
    pub time_left: Span,
    /// What happened to the RPC.
    pub exception: Exception,
}

/// Whether the primary was eligible for an RPC at the time when the RPC was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryState {
    /// The group has no known primary.
    Unknown,
    /// When the RPC was given up, the primary was eligible for it.
    Eligible,
    /// When the RPC was given up, the primary was not eligible for it, for this reason.
    Ineligible(Ineligible),
}

/// An exceptional event in the handling of an RPC.
#[derive(Clone, Debug, PartialEq)]
pub enum Exception {
    /// The RPC was given up.
    GivenUp {
        /// The reason why the RPC was given up.
        reason: GiveUpReason,
        /// Whether the primary was eligible for the RPC when the RPC was given up.
        primary: PrimaryState,
    },
    /// A read was sent to the primary, because none of the replicas could get it. For each reason, the counts say
    /// how many replicas could not get the read.
    Spilled(Counts<Ineligible>),
}

/// How many RPCs were given up, and how many reads were spilled (sent to the primary because no replica could
/// get them).
#[derive(Clone, Copy, Debug, Default)]
pub struct ExceptionCounts {
    /// The RPCs that were given up, by reason.
    pub given_up: Counts<GiveUpReason>,
    /// The number of reads that were sent to a primary because no replica could get them.
    pub spilled: u32,
    /// For each reason, how often a replica could not get a read that was then sent to the primary.
    pub passed_over: Counts<Ineligible>,
}

impl ExceptionCounts {
    /// Adds the counts of `other` to these counts.
    pub fn merge(&mut self, other: &ExceptionCounts) {
        self.given_up.merge(&other.given_up);
        self.spilled += other.spilled;
        self.passed_over.merge(&other.passed_over);
    }
}

/// The RPCs that were given up or spilled to the primary since the last tick.
#[derive(Clone, Debug, Default)]
pub struct Exceptions {
    /// The numbers of RPCs that were given up or spilled to the primary, with the reasons.
    pub counts: ExceptionCounts,
    /// Examples: the first few RPCs that were given up or spilled to the primary.
    pub examples: Vec<ExceptionExample>,
}

/// The maximum number of examples that are stored between two ticks. An example is an RPC that was given up or
/// spilled to the primary.
const MAX_EXAMPLES: usize = 4;

impl Exceptions {
    /// Returns whether a further example may be added before the next tick.
    pub fn accepts_example(&self) -> bool {
        self.examples.len() < MAX_EXAMPLES
    }
}

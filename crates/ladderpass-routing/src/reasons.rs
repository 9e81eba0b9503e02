//! Why an RPC was not served, and why a member did not get it, for the log and its counts. Nothing here decides.

use crate::time::Span;
use std::fmt::{self, Display, Formatter};
use std::marker::PhantomData;

/// Why an RPC was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// An attempt may have had its effect, and the method allows no retry, or none any more.
    MayHaveRun,
    /// An answer would come too late to be of any use.
    TooLate,
    /// It was queued for the longest share of its client's time, or that time is nearly over.
    OutOfTime,
    /// It has had as many attempts as are allowed.
    NoAttemptLeft,
    /// The front could not make the attempt: it had no connection, or lost sight of the client.
    AttemptNotMade,
    /// Several members have answered it with an error.
    FaultyRequest,
    /// The retry budget does not allow a further attempt.
    RetryBudgetExhausted,
    /// No capacity was idle, and a marked client retry gets no other.
    NoIdleCapacity,
}

/// Why a member could not get an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// It is draining, or not on the endpoint list.
    NotListed,
    /// Its last three health checks or connections failed; for a primary, the last one.
    Ejected,
    /// It would answer too late.
    TooSlow,
    /// An attempt of this RPC has just ended there without success.
    TriedBefore,
    /// It is in slow start, or overloaded, and has had its share.
    SlowStart,
    /// Its concurrency limit is reached.
    AtConcurrencyLimit,
    /// Its position is not known to be recent enough.
    Stale,
}

/// A reason that is counted.
pub trait Reason: Copy + PartialEq + 'static {
    /// Every reason of its kind, in the order in which they are shown: eight at most.
    const ALL: &'static [Self];
    /// The reason as the log shows it.
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

/// The most reasons of one kind: the length of [`Reason::ALL`] is at most this.
const MAX_REASONS: usize = 8;

/// How often each reason held.
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
    /// Counts a reason once.
    pub fn add(&mut self, reason: R) {
        if let Some(index) = R::ALL.iter().position(|&counted| counted == reason) {
            self.counts[index] += 1;
        }
    }

    /// Adds the counts of another.
    pub fn merge(&mut self, other: &Counts<R>) {
        for (count, other_count) in self.counts.iter_mut().zip(other.counts) {
            *count += other_count;
        }
    }
}

/// As in "2 stale, 1 ejected"; "none" where all counts are zero.
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

/// An RPC that did not go by the ordinary path, given up or spilled to the primary, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ExceptionExample {
    /// Index of its group.
    pub group: u32,
    /// Index of its method.
    pub method: u32,
    /// Attempts made so far.
    pub attempts: u32,
    /// Time since it was accepted.
    pub waited: Span,
    /// Time until its deadline.
    pub time_left: Span,
    /// What happened to it.
    pub exception: Exception,
}

/// Could the primary have got an RPC that was given up?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryState {
    /// The group has no known primary.
    Unknown,
    /// It could.
    Eligible,
    /// It could not, for this reason.
    Ineligible(Ineligible),
}

/// How an RPC left the ordinary path.
#[derive(Clone, Debug, PartialEq)]
pub enum Exception {
    /// It was given up.
    GivenUp {
        /// Why.
        reason: GiveUpReason,
        /// Could the primary have got it?
        primary: PrimaryState,
    },
    /// A read went to the primary, past these replicas.
    Spilled(Counts<Ineligible>),
}

/// How many RPCs left the ordinary path.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExceptionCounts {
    /// RPCs that were given up, by the reason.
    pub given_up: Counts<GiveUpReason>,
    /// Reads that went to a primary, past its replicas.
    pub spilled: u32,
    /// Replicas that these were not sent to, by the reason.
    pub passed_over: Counts<Ineligible>,
}

impl ExceptionCounts {
    /// Adds the counts of another.
    pub fn merge(&mut self, other: &ExceptionCounts) {
        self.given_up.merge(&other.given_up);
        self.spilled += other.spilled;
        self.passed_over.merge(&other.passed_over);
    }
}

/// RPCs that left the ordinary path since the last tick.
#[derive(Clone, Debug, Default)]
pub struct Exceptions {
    /// How many.
    pub counts: ExceptionCounts,
    /// The first few of them.
    pub examples: Vec<ExceptionExample>,
}

/// Most examples between two ticks.
const MAX_EXAMPLES: usize = 4;

impl Exceptions {
    /// May a further example be added?
    pub fn accepts_example(&self) -> bool {
        self.examples.len() < MAX_EXAMPLES
    }
}

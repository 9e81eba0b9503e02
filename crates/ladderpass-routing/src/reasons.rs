//! Why an RPC was not served, and why a member did not get it: typed, for the log and its counts.
//!
//! It owns these types alone. Nothing here decides.

use crate::time::Span;
use std::fmt::{self, Display, Formatter};
use std::marker::PhantomData;

/// Why an RPC was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// An attempt may have had its effect, and the method allows no repeat of it (any more).
    MayHaveRun,
    /// An answer would come too late to be of any use.
    TooLate,
    /// It was queued for its part of the client's time, or that time is all but up.
    OutOfTime,
    NoAttemptLeft,
    /// The front could not make the attempt: it had no connection, or its client can't be seen.
    NotMade,
    /// Several members have answered it with an error.
    AtFault,
    /// The retry budget does not pay for a further attempt.
    Unpaid,
    /// A marked repeat gets only what is idle.
    NothingIdle,
}

/// Why a member could not get an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// It drains, or has left the list.
    NotListed,
    /// Its last probes or connections failed.
    Ejected,
    /// It would answer too late.
    TooSlow,
    /// An attempt of this RPC has just failed there.
    TriedBefore,
    /// It is in its slow start, or crowded, and has had its share.
    SlowStart,
    /// Its concurrency limit is reached.
    NoRoom,
    /// What is known of its position is not new enough.
    Stale,
}

/// A reason that is counted.
pub trait Reason: Copy + PartialEq + 'static {
    const ALL: &'static [Self];
    fn text(self) -> &'static str;
}

impl Reason for GiveUpReason {
    const ALL: &'static [GiveUpReason] = &[
        GiveUpReason::MayHaveRun,
        GiveUpReason::TooLate,
        GiveUpReason::OutOfTime,
        GiveUpReason::NoAttemptLeft,
        GiveUpReason::NotMade,
        GiveUpReason::AtFault,
        GiveUpReason::Unpaid,
        GiveUpReason::NothingIdle,
    ];

    fn text(self) -> &'static str {
        match self {
            GiveUpReason::MayHaveRun => "may have run",
            GiveUpReason::TooLate => "too late",
            GiveUpReason::OutOfTime => "out of time",
            GiveUpReason::NoAttemptLeft => "no attempt left",
            GiveUpReason::NotMade => "not made",
            GiveUpReason::AtFault => "at fault itself",
            GiveUpReason::Unpaid => "over the retry budget",
            GiveUpReason::NothingIdle => "nothing idle for a repeat",
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
        Ineligible::NoRoom,
        Ineligible::Stale,
    ];

    fn text(self) -> &'static str {
        match self {
            Ineligible::NotListed => "not listed",
            Ineligible::Ejected => "ejected",
            Ineligible::TooSlow => "too slow",
            Ineligible::TriedBefore => "tried before",
            Ineligible::SlowStart => "slow start",
            Ineligible::NoRoom => "no room",
            Ineligible::Stale => "stale",
        }
    }
}

/// Most reasons of one kind.
const MOST_REASONS: usize = 8;

/// How often each reason held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts<R> {
    counts: [u32; MOST_REASONS],
    of: PhantomData<R>,
}

impl<R> Default for Counts<R> {
    fn default() -> Counts<R> {
        Counts { counts: [0; MOST_REASONS], of: PhantomData }
    }
}

impl<R: Reason> Counts<R> {
    pub fn add(&mut self, reason: R) {
        let counted = R::ALL.iter().zip(&mut self.counts).find(|(of, _)| **of == reason);
        counted.into_iter().for_each(|(_, count)| *count += 1);
    }

    pub fn join(&mut self, other: &Counts<R>) {
        self.counts.iter_mut().zip(other.counts).for_each(|(count, more)| *count += more);
    }
}

/// As in "2 stale, 1 ejected"; "none" where no reason held.
impl<R: Reason> Display for Counts<R> {
    fn fmt(&self, form: &mut Formatter<'_>) -> fmt::Result {
        let held = R::ALL.iter().zip(self.counts).filter(|&(_, count)| count > 0);
        let told: Vec<String> = held.map(|(reason, count)| format!("{count} {}", reason.text())).collect();
        form.write_str(if told.is_empty() { "none" } else { "" })?;
        form.write_str(&told.join(", "))
    }
}

/// An RPC that was not served by the ordinary path, as the log tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Unserved {
    pub group: u32,
    pub method: u32,
    /// Attempts made so far.
    pub attempts: u32,
    pub waited: Span,
    /// What is left of its client's time.
    pub left: Span,
    pub what: Exception,
}

/// Could the primary have got an RPC that was given up?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryState {
    Unknown,
    Eligible,
    Ineligible(Ineligible),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Exception {
    GivenUp {
        reason: GiveUpReason,
        primary: PrimaryState,
    },
    /// A read went to the primary, past these replicas.
    Spilled(Counts<Ineligible>),
}

/// How often what did not go by the ordinary path.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExceptionCounts {
    pub given_up: Counts<GiveUpReason>,
    pub spilled: u32,
    /// Replicas that were passed over where a read spilled.
    pub passed_over: Counts<Ineligible>,
}

impl ExceptionCounts {
    pub fn join(&mut self, other: &ExceptionCounts) {
        self.given_up.join(&other.given_up);
        self.spilled += other.spilled;
        self.passed_over.join(&other.passed_over);
    }
}

/// What did not go by the ordinary path since the front was told last.
#[derive(Clone, Debug, Default)]
pub struct Exceptions {
    pub counts: ExceptionCounts,
    /// The first few of them.
    pub examples: Vec<Unserved>,
}

/// Examples that are kept until the front is told.
const MOST_EXAMPLES: usize = 4;

impl Exceptions {
    /// Is a further example kept? Where not, none has to be made.
    pub fn wants_example(&self) -> bool {
        self.examples.len() < MOST_EXAMPLES
    }
}

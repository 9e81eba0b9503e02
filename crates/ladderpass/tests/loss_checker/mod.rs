//! Checks a run for requests that the router lost, by the rules of the operators' pages. The soak test and the tests of
//! stalls use it.

#![allow(dead_code)]

use ladderpass_routing::{Span, Time};
use ladderpass_testbed::load::{ConnectionEnd, RpcRecord};
use ladderpass_testbed::router::Router;
use ladderpass_testbed::run::RunRecord;
use nix::sys::signal::Signal;
use std::cell::Cell;
use std::io;

/// SIGKILL comes after SIGTERM, at the earliest after the longest deadline plus this time. Even a request that is sent
/// more than this time after SIGTERM has to be answered before SIGKILL.
pub const KILL_AFTER: Span = Span::from_millis(700);
/// A request sent at most this time before its connection closes may have crossed the close unread, if the connection
/// was reset but the reset does not prove that this request arrived after the close. Its client sends the request again.
/// A router closes idle connections when it stops or has too many clients. At other times no client of these tests is
/// idle for long enough to be closed.
pub const CROSSING_WINDOW: Span = Span::from_millis(50);
/// An answer up to this time after the client's deadline breaks no rule.
pub const ANSWER_TOLERANCE: Span = Span::from_millis(500);
/// An unanswered request counts as lost at its deadline only if the deadline was at least this time before SIGKILL. A
/// router may be delayed for 0.15 s, and the load generator reads answers late because it reads its sockets one after
/// another.
pub const DEADLINE_TOLERANCE: Span = Span::from_millis(200);

/// Facts of a run that the rules on lost requests depend on.
#[derive(Clone, Copy, Debug)]
pub struct RunBounds {
    /// Whether there were more clients than the router has descriptors for, so that the router closed idle connections
    /// to free descriptors for other clients.
    pub has_excess_clients: bool,
    /// When the first SIGTERM was sent to the router.
    pub sigterm_at: Time,
    /// When SIGKILL was sent to the router.
    pub sigkill_at: Time,
    /// The maximum duration of the router's system call that closes a connection.
    pub max_close_duration: Span,
}

/// Records the times at which a router was sent its first SIGTERM and SIGKILL.
#[derive(Default)]
pub struct StopTimes {
    sigterm_at: Cell<Option<Time>>,
    sigkill_at: Cell<Option<Time>>,
}

impl StopTimes {
    /// Sends SIGTERM to the router, and records when the first SIGTERM was sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the router process has ended.
    pub fn terminate(&self, router: &Router) -> io::Result<()> {
        self.sigterm_at.set(self.sigterm_at.get().or_else(|| Some(ladderpass_emulator::now())));
        router.signal(Signal::SIGTERM)
    }

    /// Sends SIGKILL to the router, and records when.
    pub fn kill(&self, router: &Router) {
        self.sigkill_at.set(Some(ladderpass_emulator::now()));
        signal(router, Signal::SIGKILL);
    }

    /// The bounds of a run; None unless both signals were sent.
    pub fn bounds(&self, has_excess_clients: bool, max_close_duration: Span) -> Option<RunBounds> {
        Some(RunBounds {
            has_excess_clients,
            sigterm_at: self.sigterm_at.get()?,
            sigkill_at: self.sigkill_at.get()?,
            max_close_duration,
        })
    }
}

/// Sends a signal to the router, and ignores that the process may have ended already.
pub fn signal(router: &Router, signal: Signal) {
    let _ = router.signal(signal);
}

/// The reason for which a request counts as lost by the operators' pages, or None if the request does not count as
/// lost.
fn loss_reason(entry: &RpcRecord, bounds: &RunBounds) -> Option<&'static str> {
    let &RunBounds { has_excess_clients, sigterm_at, sigkill_at, max_close_duration } = bounds;
    if entry.answered.is_some() || entry.sent >= sigkill_at {
        return None;
    }
    // A refused connection means that the request was never accepted. Only a router that is stopping may refuse
    // connections.
    if entry.refused {
        return (entry.sent < sigterm_at).then_some("connection refused before SIGTERM");
    }
    match entry.lost {
        Some(at) if at < sigkill_at => {
            let may_close = has_excess_clients || at >= sigterm_at;
            let is_recent = at - entry.sent <= CROSSING_WINDOW + max_close_duration;
            let was_unread = match entry.connection_end {
                Some(ConnectionEnd::ClosedBeforeArrival) => true,
                Some(ConnectionEnd::ClosedBeforeLaterArrival | ConnectionEnd::Reset) => is_recent,
                Some(ConnectionEnd::Closed) | None => false,
            };
            (!may_close || !was_unread).then_some("connection closed without an answer")
        }
        _ if entry.sent > sigterm_at + KILL_AFTER => Some("unanswered at SIGKILL"),
        _ => (entry.deadline + DEADLINE_TOLERANCE <= sigkill_at).then_some("unanswered at its deadline"),
    }
}

/// The rules that a run breaks, each with the RPC that broke the rule.
pub fn check_run(record: &RunRecord, bounds: &RunBounds) -> Vec<String> {
    let &RunBounds { sigterm_at, sigkill_at, .. } = bounds;
    let mut violations: Vec<String> =
        record.outcome.faults.iter().map(|fault| format!("rule 1: {fault}")).collect();
    for entry in &record.outcome.journal {
        if let Some(reason) = loss_reason(entry, bounds) {
            let after = (entry.sent - sigterm_at).secs() * 1e3;
            let ended = entry.lost.map(|at| format!("{:.1}", (at - sigkill_at).secs() * 1e3));
            let before = (sigkill_at - entry.sent).secs() * 1e3;
            violations.push(format!(
                "rule 1: RPC {:x}, sent {after:.0} ms after SIGTERM and {before:.1} ms before SIGKILL, its connection ended \
                 {ended:?} ms after SIGKILL ({:?}): {reason}",
                entry.number, entry.connection_end
            ));
        }
        if entry.answered.is_some_and(|answered| answered.at > entry.deadline + ANSWER_TOLERANCE) {
            violations.push(format!("rule 1: RPC {:x} is answered too late", entry.number));
        }
    }
    // Violations of rule 1 (each RPC has one answer in time) are left out here, because the checks above cover that
    // rule.
    let others = record.violations(ANSWER_TOLERANCE).into_iter().filter(|violation| violation.rule != 1);
    violations.extend(others.map(|violation| violation.to_string()));
    // The router exits with success once all RPCs are answered, or runs until it is killed.
    if !matches!(record.ended, Some(Some(0) | None)) {
        violations.push(format!("the process ended with exit code {:?}", record.ended));
    }
    violations
}

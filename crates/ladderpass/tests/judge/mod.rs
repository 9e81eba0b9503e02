//! What a router has lost in a life of its own, by the operators' pages: for the soak and for stalls.

#![allow(dead_code)]

use ladderpass_routing::{Span, Time};
use ladderpass_testbed::load::RpcRecord;
use ladderpass_testbed::router::Router;
use ladderpass_testbed::run::RunRecord;
use nix::sys::signal::Signal;
use std::cell::Cell;
use std::io;

/// From SIGTERM to the earliest SIGKILL beside the longest deadline, and from when on what comes has to be answered by then.
pub const KILL_AFTER: Span = Span::from_millis(700);
/// A request sent this short before its connection ended may have crossed the end unread: its client sends it once more.
/// A router ends connections that rest where it stops, or has a crowd; no client here rests long enough otherwise.
pub const CROSSING: Span = Span::from_millis(50);
/// An answer that much later than its client's time only earns nothing.
pub const LATE: Span = Span::from_millis(500);
/// The judge's own slack: a router may be held up for 0.15 s, and the load reads its sockets in turn.
pub const SLACK: Span = Span::from_millis(200);

/// What a life was, as far as the pages' rules on lost requests depend on it.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// There were more clients than descriptors, so that connections which rest make place.
    pub crowded: bool,
    pub term: Time,
    pub kill: Time,
    /// How long a close, once begun, took at most.
    pub close_takes: Span,
}

/// When a router was told to stop for the first time, and when it was killed, as the run does both.
#[derive(Default)]
pub struct Ends {
    term: Cell<Option<Time>>,
    kill: Cell<Option<Time>>,
}

impl Ends {
    pub fn tell_to_stop(&self, router: &Router) -> io::Result<()> {
        self.term.set(self.term.get().or_else(|| Some(ladderpass_emulator::now())));
        router.signal(Signal::SIGTERM)
    }

    pub fn kill(&self, router: &Router) {
        self.kill.set(Some(ladderpass_emulator::now()));
        signal(router, Signal::SIGKILL);
    }

    /// The bounds of a life that has come to both.
    pub fn bounds(&self, crowded: bool, close_takes: Span) -> Option<Bounds> {
        Some(Bounds { crowded, term: self.term.get()?, kill: self.kill.get()?, close_takes })
    }
}

/// One that has ended already gets none.
pub fn signal(router: &Router, signal: Signal) {
    let _ = router.signal(signal);
}

/// Statements that a router has lost, by the pages: for each the reason.
fn lost(entry: &RpcRecord, bounds: &Bounds) -> Option<&'static str> {
    let &Bounds { crowded, term, kill, close_takes } = bounds;
    if entry.answered.is_some() || entry.sent >= kill {
        return None;
    }
    // One on a connection that nobody took in was never taken; only a router that stops lets none in.
    if entry.refused {
        return (entry.sent < term).then_some("refused before the stop");
    }
    match entry.lost {
        Some(at) if at < kill => {
            let crossing = (crowded || at >= term) && at - entry.sent <= CROSSING + close_takes;
            (!crossing).then_some("closed on without an answer")
        }
        _ if entry.sent > term + KILL_AFTER => Some("unanswered at the kill"),
        _ => (entry.deadline + SLACK <= kill).then_some("without an answer in its time"),
    }
}

pub fn judge(seen: &RunRecord, bounds: &Bounds) -> Vec<String> {
    let &Bounds { term, kill, .. } = bounds;
    let mut broken: Vec<String> =
        seen.outcome.faults.iter().map(|fault| format!("rule 1: {fault}")).collect();
    for entry in &seen.outcome.journal {
        if let Some(reason) = lost(entry, bounds) {
            let after = (entry.sent - term).secs() * 1e3;
            let ended = entry.lost.map(|at| format!("{:.1}", (at - kill).secs() * 1e3));
            let before = (kill - entry.sent).secs() * 1e3;
            broken.push(format!(
                "rule 1: {:x}, sent {after:.0} ms after SIGTERM and {before:.1} ms before the kill, its connection seen \
                 to end {ended:?} ms after that: {reason}",
                entry.number
            ));
        }
        if entry.answered.is_some_and(|(at, ..)| at > entry.deadline + LATE) {
            broken.push(format!("rule 1: {:x} is answered too late", entry.number));
        }
    }
    // Whether each has an answer is judged above.
    let others = seen.violations(LATE).into_iter().filter(|violation| violation.rule != 1);
    broken.extend(others.map(|violation| violation.to_string()));
    // Its own end, once it owes nothing, or the kill's.
    if !matches!(seen.ended, Some(Some(0) | None)) {
        broken.push(format!("the process ended with {:?}", seen.ended));
    }
    broken
}

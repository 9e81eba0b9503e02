//! The last write of each session, which later reads of the session must see. This module makes no decisions.

use crate::time::Time;
use std::collections::VecDeque;

/// A position that is earlier than any that a member can report, but later than `Time::NEVER`, which stands for
/// the position of a member without a report.
const ANY_REPORTED_POSITION: Time = Time::from_nanos(Time::NEVER.nanos() + 1);

struct OpenWrite {
    session: u32,
    sent_at: Time,
}

/// For each session, the commit position of its last write through this router that succeeded or may have run.
#[derive(Default)]
pub struct SessionWrites {
    commits: Vec<Time>,
    /// The writes in flight of all sessions, in the order in which they were sent.
    open: VecDeque<OpenWrite>,
}

impl SessionWrites {
    /// Returns the position that a read of the session must see. A write that was sent no later than
    /// `assumed_committed` and is still in flight may have committed no later than `commit_by`. The answer to
    /// such a write may be lost or late, so the read must see the write as if it had been answered. A session
    /// that has written nothing may read from any member that has reported a position.
    pub fn required_position(&self, session: Option<u32>, assumed_committed: Time, commit_by: Time) -> Time {
        let Some(session) = session else { return ANY_REPORTED_POSITION };
        let commit = self.commits.get(session as usize).copied().unwrap_or(ANY_REPORTED_POSITION);
        let commit = commit.max(ANY_REPORTED_POSITION);
        let mut sent_before = self.open.iter().take_while(|write| write.sent_at <= assumed_committed);
        if sent_before.any(|write| write.session == session) { commit.max(commit_by) } else { commit }
    }

    /// Records that a write of the session is sent.
    pub fn record_sent(&mut self, session: Option<u32>, now: Time) {
        self.open.extend(session.map(|session| OpenWrite { session, sent_at: now }));
    }

    /// Records that the write that the session sent at `sent_at` has ended. `commit` is the position of its
    /// commit, or `None` if the write never ran.
    pub fn record_ended(&mut self, session: Option<u32>, sent_at: Time, commit: Option<Time>) {
        let Some(session) = session else { return };
        let has_ended = |write: &OpenWrite| write.session == session && write.sent_at == sent_at;
        if let Some(index) = self.open.iter().position(has_ended) {
            self.open.remove(index);
        }
        let Some(commit) = commit else { return };
        let session = session as usize;
        self.commits.resize(self.commits.len().max(session + 1), Time::NEVER);
        self.commits[session] = self.commits[session].max(commit);
    }
}

//! The last write of each session, which its later reads must see. Nothing here decides.

use crate::time::Time;
use std::collections::VecDeque;

/// Earlier than every position that a member has reported, and later than none at all.
const ANY_REPORTED_POSITION: Time = Time::from_nanos(Time::NEVER.nanos() + 1);

struct OpenWrite {
    session: u32,
    sent_at: Time,
}

/// Commit of each session's last write that was answered here, or may have run.
#[derive(Default)]
pub struct SessionWrites {
    commits: Vec<Time>,
    /// Writes in flight, in the order in which they were sent.
    open: VecDeque<OpenWrite>,
}

impl SessionWrites {
    /// The position that a read of the session must see. A write that was sent by `assumed_committed` and is still
    /// in flight may have committed by `commit_by`: its answer may be lost or late, and the read must not be stale.
    /// A session that has written nothing may read from any member that has reported a position.
    pub fn required_position(&self, session: Option<u32>, assumed_committed: Time, commit_by: Time) -> Time {
        let Some(session) = session else { return ANY_REPORTED_POSITION };
        let commit = self.commits.get(session as usize).copied().unwrap_or(ANY_REPORTED_POSITION);
        let commit = commit.max(ANY_REPORTED_POSITION);
        let mut sent_before = self.open.iter().take_while(|write| write.sent_at <= assumed_committed);
        if sent_before.any(|write| write.session == session) { commit.max(commit_by) } else { commit }
    }

    /// A write of the session is sent.
    pub fn record_sent(&mut self, session: Option<u32>, now: Time) {
        self.open.extend(session.map(|session| OpenWrite { session, sent_at: now }));
    }

    /// The write has ended; `commit`: none where it never ran.
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

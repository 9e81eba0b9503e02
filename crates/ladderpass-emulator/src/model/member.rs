//! The state of one emulated member: its connections, its queue and its replication log.

use super::messages::{ConnectionId, Request};
use ladderpass_routing::{Span, Time};
use std::collections::{HashMap, VecDeque};

pub struct Member {
    pub group: u32,
    pub primary: bool,
    pub alive: bool,
    /// Number of statements that run now, each on one core.
    pub running: usize,
    pub queue: VecDeque<QueuedStatement>,
    pub connections: HashMap<ConnectionId, Connection>,
    log: ReplicationLog,
}

/// A connection to the member. The connection executes one statement at a time, in the order in which statements
/// arrive.
#[derive(Default)]
pub struct Connection {
    /// Whether a statement of the connection runs or is queued. The requests in `pipelined` wait until this statement
    /// ends.
    pub busy: bool,
    pub pipelined: VecDeque<Request>,
}

/// A statement that waits in the member's queue for a free core.
pub struct QueuedStatement {
    pub connection: ConnectionId,
    pub id: Box<str>,
    pub method: u32,
    /// The statement is rejected if no core is free for it by this time.
    pub expires_at: Time,
}

/// The replication log of a member: the position that the member has applied, and the commits that the member's single
/// apply thread has yet to apply.
struct ReplicationLog {
    applied: Time,
    /// Commits that the apply thread has yet to apply, the earliest first.
    pending: VecDeque<PendingCommit>,
    /// When the apply thread will have applied all pending commits.
    thread_free_at: Time,
}

/// A commit that a replica has yet to apply.
struct PendingCommit {
    committed_at: Time,
    /// When the replica will have applied the commit.
    applied_at: Time,
}

impl Member {
    pub fn new(now: Time, group: u32, primary: bool) -> Member {
        Member {
            group,
            primary,
            alive: true,
            running: 0,
            queue: VecDeque::new(),
            connections: HashMap::new(),
            log: ReplicationLog { applied: now, pending: VecDeque::new(), thread_free_at: now },
        }
    }

    /// Takes the member down: drops the member's connections with their queued and running statements.
    pub fn crash(&mut self) {
        self.alive = false;
        self.running = 0;
        self.connections.clear();
        self.queue.clear();
    }

    /// Schedules when this replica applies a write that the primary committed at `now`. The commit reaches this replica
    /// after `transfer_time`, and the replica needs `apply_time` to apply the commit.
    pub fn replicate(&mut self, now: Time, transfer_time: Span, apply_time: Span) {
        self.log.thread_free_at = self.log.thread_free_at.max(now + transfer_time) + apply_time;
        self.log.pending.push_back(PendingCommit { committed_at: now, applied_at: self.log.thread_free_at });
        // Removes the commits that are applied by now, so that the pending commits stay bounded at a replica whose
        // position is never requested.
        self.log.apply_until(now);
    }

    /// Returns the replication position of the member's data, which never decreases.
    pub fn position(&mut self, now: Time, transfer_time: Span) -> Time {
        self.log.apply_until(now);
        let reached = match self.log.pending.front() {
            _ if self.primary => now,
            // The data includes everything that was committed before the first pending commit, so the position is just
            // before this commit.
            Some(commit) => (commit.committed_at - Span::from_nanos(1)).min(now - transfer_time),
            None => now - transfer_time,
        };
        self.log.applied = self.log.applied.max(reached);
        self.log.applied
    }
}

impl ReplicationLog {
    fn apply_until(&mut self, now: Time) {
        while let Some(commit) = self.pending.pop_front_if(|commit| commit.applied_at <= now) {
            self.applied = self.applied.max(commit.committed_at);
        }
    }
}

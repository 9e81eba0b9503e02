//! State of one emulated member: its connections, its queue and its replication log.

use super::messages::{ConnectionId, Request};
use ladderpass_routing::{Span, Time};
use std::collections::{HashMap, VecDeque};

pub struct Member {
    pub group: u32,
    pub primary: bool,
    pub alive: bool,
    /// Statements that run now, each on a core.
    pub running: usize,
    pub queue: VecDeque<QueuedStatement>,
    pub connections: HashMap<ConnectionId, Connection>,
    log: ReplicationLog,
}

/// One connection: it works on one statement at a time, in order.
#[derive(Default)]
pub struct Connection {
    /// One of its statements runs or is queued; `pipelined` waits for it.
    pub busy: bool,
    pub pipelined: VecDeque<Request>,
}

/// A statement that waits for a core.
pub struct QueuedStatement {
    pub connection: ConnectionId,
    pub id: Box<str>,
    pub method: u32,
    /// When it expires.
    pub expires_at: Time,
}

/// What a replica has applied, and what it has yet to apply on its one thread.
struct ReplicationLog {
    applied: Time,
    /// Commits to be applied, the earliest first.
    pending: VecDeque<PendingCommit>,
    /// When the thread has applied all of them.
    thread_free_at: Time,
}

/// A commit that a replica has yet to apply.
struct PendingCommit {
    committed_at: Time,
    /// When the replica has applied it.
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

    /// The member loses its connections and all statements on them.
    pub fn crash(&mut self) {
        self.alive = false;
        self.running = 0;
        self.connections.clear();
        self.queue.clear();
    }

    /// The primary has committed a write at `now`: it arrives here after `transfer_time`, and takes `apply_time`.
    pub fn replicate(&mut self, now: Time, transfer_time: Span, apply_time: Span) {
        self.log.thread_free_at = self.log.thread_free_at.max(now + transfer_time) + apply_time;
        self.log.pending.push_back(PendingCommit { committed_at: now, applied_at: self.log.thread_free_at });
        // Bounds the log of a replica whose position nobody asks for.
        self.log.apply_until(now);
    }

    /// Up to where its data reaches; never goes back.
    pub fn position(&mut self, now: Time, transfer_time: Span) -> Time {
        self.log.apply_until(now);
        let reached = match self.log.pending.front() {
            _ if self.primary => now,
            // Everything but that commit: up to just before it.
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

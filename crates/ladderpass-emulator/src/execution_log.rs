//! The execution log: which statements ran at which member, as the members observed the executions. Checkers compare
//! the log with what clients received. Neither the model nor a router bases a decision on the log.

use ladderpass_routing::Time;
use std::io::{self, Write};

/// One attempt that a member began to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// When the attempt began to run.
    pub at: Time,
    /// Index of the member that began to run the attempt.
    pub member: u32,
    /// Id of the RPC, from the statement's comment.
    pub id: Box<str>,
    /// Index of the method in the scenario.
    pub method: u32,
    /// Whether the method writes.
    pub writes: bool,
    /// Replication position of the member's data when the attempt began to run.
    pub position: Time,
}

/// One attempt that arrived at a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the attempt arrived at the member, or when it expired in the member's queue.
    pub at: Time,
    /// Index of the member at which the attempt arrived.
    pub member: u32,
    /// Id of the RPC, from the statement's comment.
    pub id: Box<str>,
    /// Replication position of the member's data when the attempt arrived or expired.
    pub position: Time,
    /// Whether the member rejected the attempt, on arrival or because the attempt expired in the queue. A rejected
    /// attempt never runs.
    pub rejected: bool,
}

/// The observations of all members in one run of the emulator.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// Every attempt that began to run.
    pub executions: Vec<Execution>,
    /// Every attempt that arrived at a member, recorded only if the scenario's `history` is on. An attempt that expires
    /// in the member's queue has a second, rejected entry.
    pub arrivals: Vec<Arrival>,
    /// Every health check that arrived at a member, as the time of its arrival and the member's index. Recorded only if
    /// the scenario's `history` is on.
    pub health_checks: Vec<(Time, u32)>,
    /// Number of attempts that members rejected on arrival because the member's queue was full.
    pub rejected: u64,
    /// Number of attempts that expired in a member's queue.
    pub expired: u64,
}

impl ExecutionLog {
    /// Writes the executions as JSON, one object per line.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer.
    pub fn write_lines(&self, out: &mut impl Write) -> io::Result<()> {
        for execution in &self.executions {
            let line = serde_json::json!({
                "at_ms": execution.at.nanos() as f64 / 1e6, "member": execution.member, "id": &*execution.id, "method": execution.method,
                "writes": execution.writes, "position_ms": execution.position.nanos() as f64 / 1e6,
            });
            writeln!(out, "{line}")?;
        }
        Ok(())
    }
}

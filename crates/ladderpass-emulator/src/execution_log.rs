//! The execution log: what ran where, as the members observed it. Checkers compare it with what clients received;
//! neither the model nor a router decides anything by it.

use ladderpass_routing::Time;
use std::io::{self, Write};

/// One attempt that a member began to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// When it began.
    pub at: Time,
    /// Index of the member.
    pub member: u32,
    /// Id of the RPC, from the statement's comment.
    pub id: Box<str>,
    /// Index of the method in the scenario.
    pub method: u32,
    /// Whether the method writes.
    pub writes: bool,
    /// The position of the member's data when it began.
    pub position: Time,
}

/// One attempt that arrived at a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrived, or when it expired in the member's queue.
    pub at: Time,
    /// Index of the member.
    pub member: u32,
    /// Id of the RPC, from the statement's comment.
    pub id: Box<str>,
    /// The position of the member's data then.
    pub position: Time,
    /// It was rejected and never ran.
    pub rejected: bool,
}

/// What all members of a run observed.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// Each attempt that began to run.
    pub executions: Vec<Execution>,
    /// Each attempt that arrived, where the scenario's `history` is on.
    pub arrivals: Vec<Arrival>,
    /// Each health check that arrived, as its time and the member's index, where the scenario's `history` is on.
    pub health_checks: Vec<(Time, u32)>,
    /// Attempts rejected because the queue was full.
    pub rejected: u64,
    /// Attempts that expired in the queue.
    pub expired: u64,
}

impl ExecutionLog {
    /// Writes the executions, one JSON object a line.
    ///
    /// # Errors
    ///
    /// What the writer returns.
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

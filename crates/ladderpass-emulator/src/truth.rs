//! What ran where, as the members saw it: the record that checkers compare with what clients were told.
//!
//! It owns the record alone. It must never be read by a model or a router to decide something.

use ladderpass_routing::Time;
use std::io::{self, Write};

/// One call-out that a member began.
#[derive(Clone, Debug, PartialEq)]
pub struct Ran {
    pub at: Time,
    pub member: u32,
    pub id: Box<str>,
    pub method: u32,
    pub writes: bool,
    /// The position of the member's data when it began.
    pub position: Time,
}

/// A call-out came to a member: what its data reached then, and whether it was turned away unseen.
#[derive(Clone, Debug, PartialEq)]
pub struct Came {
    pub at: Time,
    pub member: u32,
    pub id: Box<str>,
    pub position: Time,
    pub turned_away: bool,
}

#[derive(Debug, Default)]
pub struct Truth {
    pub ran: Vec<Ran>,
    /// Each call-out that came, where the scenario asks for its history.
    pub came: Vec<Came>,
    /// Each probe that came to a member, likewise.
    pub probes: Vec<(Time, u32)>,
    /// Call-outs that were turned away unseen, and such as came too late to begin.
    pub turned_away: u64,
    pub over_before: u64,
}

impl Truth {
    /// One JSON object a line.
    pub fn write_lines(&self, out: &mut impl Write) -> io::Result<()> {
        for ran in &self.ran {
            let line = serde_json::json!({
                "at_ms": ran.at.nanos() as f64 / 1e6, "member": ran.member, "id": &*ran.id, "method": ran.method,
                "writes": ran.writes, "position_ms": ran.position.nanos() as f64 / 1e6,
            });
            writeln!(out, "{line}")?;
        }
        Ok(())
    }
}

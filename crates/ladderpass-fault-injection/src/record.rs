//! A record of each decision, without times: the same plan against the same traffic gives the same record.
//!
//! It owns the form, and how two records are compared. Connections are told apart by their number on their link, so that
//! what the kernel makes of several at once does not show.

use crate::plan::Side;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Decision {
    pub link: String,
    /// The n-th connection of that link, from 1 on.
    pub conn: u64,
    pub side: Side,
    /// Where in its direction the unit begins, and what it is.
    pub byte: u64,
    pub kind: String,
    pub rule: String,
    pub action: String,
    /// What chance has decided of it: places, bits, microseconds.
    pub drawn: Vec<u64>,
}

/// One JSON object a line, in an order of its own.
pub fn lines(record: &[Decision]) -> String {
    let mut sorted: Vec<&Decision> = record.iter().collect();
    sorted.sort();
    let line = |decision: &&Decision| serde_json::to_string(decision).unwrap_or_default() + "\n";
    sorted.iter().map(line).collect()
}

pub fn read(text: &str) -> Result<Vec<Decision>, String> {
    let line = |(nth, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|fault| format!("line {}: {fault}", nth + 1))
    };
    text.lines().enumerate().map(line).collect()
}

/// The first difference between two records, told by both sides; None where there is none.
pub fn difference(one: &[Decision], two: &[Decision]) -> Option<String> {
    let (one, two) = (lines(one), lines(two));
    let (mut ones, mut twos) = (one.lines(), two.lines());
    for nth in 1.. {
        match (ones.next(), twos.next()) {
            (None, None) => return None,
            (one, two) if one == two => {}
            (one, two) => {
                let (one, two) = (one.unwrap_or("(ends)"), two.unwrap_or("(ends)"));
                return Some(format!("line {nth}: {one} against {two}"));
            }
        }
    }
    None
}

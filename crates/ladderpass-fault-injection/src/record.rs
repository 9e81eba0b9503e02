//! A record of each decision, without times: the same plan against the same traffic gives the same record. Connections
//! are identified by their number on their link, so that the order in which the kernel serves several does not matter.

use crate::errors::RecordError;
use crate::plan::Side;
use serde::{Deserialize, Serialize};

/// One action of a rule on one unit of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Decision {
    /// Name of the link.
    pub link: String,
    /// Number of the connection on that link, from 1 on.
    pub conn: u64,
    /// Who sent the unit.
    pub side: Side,
    /// Where in its direction the unit begins, in bytes.
    pub byte: u64,
    /// Kind of the unit.
    pub kind: String,
    /// Name of the rule.
    pub rule: String,
    /// Name of the action.
    pub action: String,
    /// What was drawn for it: places, bits, microseconds.
    pub drawn: Vec<u64>,
}

/// One JSON object a line, sorted.
pub fn lines(record: &[Decision]) -> String {
    let mut sorted: Vec<&Decision> = record.iter().collect();
    sorted.sort();
    let line = |decision: &&Decision| serde_json::to_string(decision).unwrap_or_default() + "\n";
    sorted.iter().map(line).collect()
}

/// Reads what `lines` has written.
///
/// # Errors
///
/// The first line that is no decision.
pub fn read(text: &str) -> Result<Vec<Decision>, RecordError> {
    let parse = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| RecordError { line: index + 1, source })
    };
    text.lines().enumerate().map(parse).collect()
}

/// The first line in which two records differ, with both forms of it; None where they are the same.
pub fn first_difference(one: &[Decision], two: &[Decision]) -> Option<String> {
    let (one, two) = (lines(one), lines(two));
    let (mut ones, mut twos) = (one.lines(), two.lines());
    for number in 1.. {
        match (ones.next(), twos.next()) {
            (None, None) => return None,
            (one, two) if one == two => {}
            (one, two) => {
                let (one, two) = (one.unwrap_or("(ends)"), two.unwrap_or("(ends)"));
                return Some(format!("line {number}: {one} against {two}"));
            }
        }
    }
    None
}

//! A record of each decision of the engine. It contains no times, so the same plan with the same traffic gives the same
//! record. Connections are identified by their number on their link and the lines are sorted, so the order in which the
//! kernel reports events of different connections does not matter.

use crate::errors::RecordError;
use crate::plan::Side;
use serde::{Deserialize, Serialize};

/// One action of a rule on one unit of a stream (see [`Unit`](crate::stream::Unit)), or on the opening of a connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Decision {
    /// Name of the link.
    pub link: String,
    /// Number of the connection on its link, counted from 1.
    pub conn: u64,
    /// The side that sent the unit.
    pub side: Side,
    /// Offset of the unit's first byte in its direction of the connection.
    pub byte: u64,
    /// Kind of the unit, such as `DataRow`, or `open` for the opening of a connection.
    pub kind: String,
    /// Name of the rule.
    pub rule: String,
    /// Name of the rule's action.
    pub action: String,
    /// Random numbers that were drawn for the action: offsets of bytes, numbers of bits, or microseconds.
    pub drawn: Vec<u64>,
}

/// Formats a record as one JSON object per line, sorted.
pub fn to_json_lines(record: &[Decision]) -> String {
    let mut sorted: Vec<&Decision> = record.iter().collect();
    sorted.sort();
    let line = |decision: &&Decision| serde_json::to_string(decision).unwrap_or_default() + "\n";
    sorted.iter().map(line).collect()
}

/// Reads a record that `to_json_lines` has formatted.
///
/// # Errors
///
/// If a line is not a decision; the error names the first such line.
pub fn from_json_lines(text: &str) -> Result<Vec<Decision>, RecordError> {
    let parse = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| RecordError { line: index + 1, source })
    };
    text.lines().enumerate().map(parse).collect()
}

/// Returns the number of the first line in which two records differ, with that line of each, or None if they are the
/// same.
pub fn first_difference(one: &[Decision], two: &[Decision]) -> Option<String> {
    let (one, two) = (to_json_lines(one), to_json_lines(two));
    let (mut ones, mut twos) = (one.lines(), two.lines());
    for number in 1.. {
        match (ones.next(), twos.next()) {
            (None, None) => return None,
            (one, two) if one == two => {}
            (one, two) => {
                let (one, two) = (one.unwrap_or("(end of record)"), two.unwrap_or("(end of record)"));
                return Some(format!("line {number}: {one} against {two}"));
            }
        }
    }
    None
}

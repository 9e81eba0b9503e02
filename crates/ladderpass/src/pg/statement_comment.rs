//! The comment at the end of a statement, in which a client describes its RPC: `/* id=...,c=...,d=...,cluster=... */`.

use std::ops::Range;
use thiserror::Error;

/// The maximum length in bytes of an RPC's id.
const MAX_ID_BYTES: usize = 64;
/// The maximum number of `name=value` pairs in a comment, of which the protocol has six.
const MAX_PAIRS: usize = 64;
/// The maximum length in bytes of a number in a comment.
const MAX_NUMBER_BYTES: usize = 20;

/// The parsed comment of a statement.
#[derive(Debug, PartialEq)]
pub struct StatementComment<'a> {
    /// The RPC's id (`id`).
    pub id: &'a str,
    /// The RPC's method (`c`).
    pub method: &'a str,
    /// How long the client waits for the answer, in milliseconds (`d`).
    pub wait_ms: f64,
    /// The byte range of the value of `d` in the statement's text.
    pub wait_at: Range<usize>,
    /// The group of members that the RPC is for (`cluster`).
    pub group: f64,
    /// Whether the client has sent the RPC before (`r`).
    pub resent: bool,
    /// The replication position that the member's data must have reached, which is the time of the session's last write
    /// in Unix milliseconds (`after`).
    pub after_ms: Option<f64>,
    /// The text of the statement before the comment. This module does not check that text.
    pub head: &'a str,
}

/// An error in the comment of a statement. The client receives the error's text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommentError {
    /// The statement does not end with a comment.
    #[error("the statement has no comment at its end")]
    NoComment,
    /// The comment has more `name=value` pairs than are read.
    #[error("the comment has more than {MAX_PAIRS} pairs")]
    TooManyPairs,
    /// A name occurs twice in the comment.
    #[error("{0} stands twice in the comment")]
    Duplicate(String),
    /// A required name is missing in the comment.
    #[error("{0} is missing in the comment")]
    Missing(&'static str),
    /// The RPC's id is too long, or contains a space or a character that is not printable ASCII.
    #[error("id is no short word in the comment")]
    BadId,
    /// A value in the comment is too long, or is not a decimal number of digits and at most one point.
    #[error("{0} is no number in the comment")]
    NotANumber(&'static str),
}

/// The values of a comment's `name=value` pairs that have been read so far.
#[derive(Default)]
struct Pairs<'a> {
    id: Option<&'a str>,
    method: Option<&'a str>,
    wait: Option<Wait>,
    group: Option<f64>,
    resent: Option<bool>,
    after_ms: Option<f64>,
}

/// The value of `d` and its byte range in the statement.
struct Wait {
    ms: f64,
    at: Range<usize>,
}

/// Parses the comment at the end of a statement.
///
/// # Errors
///
/// Returns the first error of the comment, with the text that the client receives.
pub fn parse_comment(statement: &str) -> Result<StatementComment<'_>, CommentError> {
    let trimmed = statement.trim_end().trim_end_matches(';').trim_end();
    let inner = trimmed.strip_suffix("*/").ok_or(CommentError::NoComment)?;
    let start = inner.rfind("/*").ok_or(CommentError::NoComment)? + 2;
    let pairs = read_pairs(inner, start)?;
    let id = pairs.id.filter(|id| !id.is_empty()).ok_or(CommentError::Missing("id"))?;
    if id.len() > MAX_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(CommentError::BadId);
    }
    let wait = pairs.wait.ok_or(CommentError::Missing("d"))?;
    Ok(StatementComment {
        id,
        method: pairs.method.filter(|name| !name.is_empty()).ok_or(CommentError::Missing("c"))?,
        wait_ms: wait.ms,
        wait_at: wait.at,
        group: pairs.group.ok_or(CommentError::Missing("cluster"))?,
        resent: pairs.resent.unwrap_or(false),
        after_ms: pairs.after_ms,
        head: statement.get(..start - 2).unwrap_or_default(),
    })
}

/// Reads the `name=value` pairs of the comment whose content begins at the byte `start` of `inner`. Unknown names are
/// ignored. A comment with too many pairs is not read to its end, because a statement has space for tens of thousands.
fn read_pairs(inner: &str, start: usize) -> Result<Pairs<'_>, CommentError> {
    let mut pairs = Pairs::default();
    let mut pair_start = start;
    for (nth, pair) in inner.get(start..).unwrap_or_default().split(',').enumerate() {
        if nth >= MAX_PAIRS {
            return Err(CommentError::TooManyPairs);
        }
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (name.trim(), value.trim());
        let is_duplicate = match name {
            "id" => pairs.id.replace(value).is_some(),
            "c" => pairs.method.replace(value).is_some(),
            "d" => {
                let from = value_start(inner, pair, pair_start);
                let wait = Wait { ms: read_number("d", value)?, at: from..from + value.len() };
                pairs.wait.replace(wait).is_some()
            }
            "cluster" => pairs.group.replace(read_number("cluster", value)?).is_some(),
            "r" => pairs.resent.replace(value == "1").is_some(),
            "after" if !value.is_empty() => pairs.after_ms.replace(read_number("after", value)?).is_some(),
            _ => false,
        };
        if is_duplicate {
            return Err(CommentError::Duplicate(name.to_owned()));
        }
        pair_start += pair.len() + 1;
    }
    Ok(pairs)
}

/// Returns the byte position at which the value of the `name=value` pair at `pair_start` begins, after the equals sign
/// and any spaces.
fn value_start(inner: &str, pair: &str, pair_start: usize) -> usize {
    let from = pair_start + pair.find('=').map_or(0, |equals| equals + 1);
    from + inner.get(from..).map_or(0, |rest| rest.len() - rest.trim_start().len())
}

fn read_number(name: &'static str, value: &str) -> Result<f64, CommentError> {
    let is_plain =
        value.len() <= MAX_NUMBER_BYTES && value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = value.parse::<f64>().ok().filter(|number| is_plain && number.is_finite());
    number.ok_or(CommentError::NotANumber(name))
}

//! Reads the YAML text of the operator's file, with all errors of its keys and types.
//!
//! The YAML library ends at the first key that it can't read. That key and what stands below it are blanked out, and
//! the text is read again, until the rest can be read.

use super::errors::{OperatorFileError, OperatorFileErrors};
use super::file::OperatorFile;

/// Unreadable keys that are looked for at most: each costs a reading of the whole file.
const MAX_UNREADABLE_KEYS: usize = 50;

/// What could be read of a file.
pub(super) struct ParsedFile {
    /// None where nothing could be read.
    pub(super) file: Option<OperatorFile>,
    /// Whether every key could be read.
    pub(super) is_complete: bool,
}

/// Whether a text has nothing but empty lines and comments.
pub(super) fn is_blank(text: &str) -> bool {
    text.lines().all(|line| line.trim().is_empty() || line.trim_start().starts_with('#'))
}

/// Reads the file's keys; the errors of those that can't be read are added to `errors`.
pub(super) fn parse_file(text: &str, errors: &mut OperatorFileErrors) -> ParsedFile {
    let unreadable = ParsedFile { file: None, is_complete: false };
    let mut text = text.to_owned();
    for nth in 0..MAX_UNREADABLE_KEYS {
        let error = match serde_saphyr::from_str::<OperatorFile>(&text) {
            Ok(file) => return ParsedFile { file: Some(file), is_complete: nth == 0 },
            Err(error) => error,
        };
        // A key may only be missing because it was blanked out before.
        if nth == 0 || !error.without_snippet().to_string().contains("missing field") {
            errors.push(to_file_error(&text, &error));
        }
        let rest = error.location().and_then(|location| blank_out_key(&text, location.line() as usize));
        // What is no YAML at all has no keys to go by.
        let is_yaml = serde_saphyr::from_str::<serde::de::IgnoredAny>(&text).is_ok();
        match rest.filter(|rest| is_yaml && !is_blank(rest)) {
            Some(rest) => text = rest,
            None => return unreadable,
        }
    }
    unreadable
}

/// The text with empty lines in place of line `number`, counted from 1 on, and of the deeper lines that follow it.
/// None where that line is empty already.
fn blank_out_key(text: &str, number: usize) -> Option<String> {
    let indent = |line: &str| line.len() - line.trim_start().len();
    let key_line = text.lines().nth(number.checked_sub(1)?).filter(|line| !line.trim().is_empty())?;
    let is_item = |line: &str| line.trim_start().starts_with('-');
    let mut is_blanked = false;
    let lines = text.lines().enumerate().map(|(nth, line)| {
        // Items of a list may stand as deep as their key.
        let is_item_of_key = indent(line) == indent(key_line) && is_item(line) && !is_item(key_line);
        let is_below = indent(line) > indent(key_line) || is_item_of_key;
        is_blanked = nth + 1 == number || is_blanked && (is_below || line.trim().is_empty());
        if is_blanked { "" } else { line }
    });
    Some(lines.collect::<Vec<_>>().join("\n") + "\n")
}

/// The library's error in one line, after the line of the file and the key that stands there.
fn to_file_error(text: &str, error: &serde_saphyr::Error) -> OperatorFileError {
    let message = error.without_snippet().to_string();
    let message = message.split_whitespace().collect::<Vec<_>>().join(" ");
    let message = message.replace("expected one of", "allowed are");
    let Some(location) = error.location() else { return OperatorFileError::NoLocation { message } };
    let line = location.line();
    let text = text.lines().nth((line as usize).saturating_sub(1));
    let key = text.and_then(|text| text.split_once(':')).map(|(key, _)| key.trim().trim_start_matches("- "));
    OperatorFileError::Unreadable { line, key: key.map(str::to_owned), message }
}

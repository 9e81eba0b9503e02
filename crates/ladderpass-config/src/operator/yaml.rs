//! Reads the YAML text of the operator's file, and finds all errors of its keys and types.
//!
//! The YAML library stops at the first key that can't be read. This key and everything below the key are blanked out,
//! and the text is read again, until the rest can be read.

use super::errors::{OperatorFileError, OperatorFileErrors};
use super::file::OperatorFile;

/// The maximum number of unreadable keys that are searched for. For each unreadable key, the whole file is read once
/// more.
const MAX_UNREADABLE_KEYS: usize = 50;

/// The part of an operator's file that could be read.
pub(super) struct ParsedFile {
    /// The sections of the file, or `None` if nothing could be read.
    pub(super) file: Option<OperatorFile>,
    /// Whether every key could be read.
    pub(super) is_complete: bool,
}

/// Returns whether a text has only empty lines and comments.
pub(super) fn is_blank(text: &str) -> bool {
    text.lines().all(|line| line.trim().is_empty() || line.trim_start().starts_with('#'))
}

/// Reads the keys of the file. Adds an error to `errors` for each key that can't be read.
pub(super) fn parse_file(text: &str, errors: &mut OperatorFileErrors) -> ParsedFile {
    let unreadable = ParsedFile { file: None, is_complete: false };
    let mut text = text.to_owned();
    for nth in 0..MAX_UNREADABLE_KEYS {
        let error = match serde_saphyr::from_str::<OperatorFile>(&text) {
            Ok(file) => return ParsedFile { file: Some(file), is_complete: nth == 0 },
            Err(error) => error,
        };
        // When the text is read again, a key may be missing only because it was blanked out.
        if nth == 0 || !error.without_snippet().to_string().contains("missing field") {
            errors.push(to_file_error(&text, &error));
        }
        let rest = error.location().and_then(|location| blank_out_key(&text, location.line() as usize));
        // If the text is not YAML at all, no key can be blanked out.
        let is_yaml = serde_saphyr::from_str::<serde::de::IgnoredAny>(&text).is_ok();
        match rest.filter(|rest| is_yaml && !is_blank(rest)) {
            Some(rest) => text = rest,
            None => return unreadable,
        }
    }
    unreadable
}

/// Returns the text with empty lines in place of line `number`, counted from 1, and of the lines below it that belong
/// to the same key. Returns `None` if line `number` is already empty or does not exist.
fn blank_out_key(text: &str, number: usize) -> Option<String> {
    let indent = |line: &str| line.len() - line.trim_start().len();
    let key_line = text.lines().nth(number.checked_sub(1)?).filter(|line| !line.trim().is_empty())?;
    let is_item = |line: &str| line.trim_start().starts_with('-');
    let mut is_blanked = false;
    let lines = text.lines().enumerate().map(|(nth, line)| {
        // The items of a list belong to the list's key, even where they have the same indentation as the key.
        let is_item_of_key = indent(line) == indent(key_line) && is_item(line) && !is_item(key_line);
        let is_below = indent(line) > indent(key_line) || is_item_of_key;
        is_blanked = nth + 1 == number || is_blanked && (is_below || line.trim().is_empty());
        if is_blanked { "" } else { line }
    });
    Some(lines.collect::<Vec<_>>().join("\n") + "\n")
}

/// Converts an error of the YAML library. The returned error has the library's message on one line, and the line number
/// and the key if the library reports a location.
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

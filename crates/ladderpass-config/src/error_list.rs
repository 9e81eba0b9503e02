//! A list of all errors that are found while a configuration is read, in the order in which they are found.
//!
//! A reader continues after an error where possible and collects all errors here, so that an operator can correct all
//! errors of a file at once.

use std::fmt::Display;

/// The maximum number of lines that a list of errors prints. Without a limit, a file that is wrong in every line would
/// print too many lines.
const MAX_LINES: usize = 100;

/// A list of distinct errors. The list prints the distinct lines of the errors' texts, at most a hundred of them.
#[derive(Debug, thiserror::Error)]
#[error("{}", .lines.join("\n"))]
pub struct ErrorList<E> {
    errors: Vec<E>,
    /// The lines that the list prints: the distinct lines of the errors' texts.
    lines: Vec<String>,
}

impl<E> Default for ErrorList<E> {
    fn default() -> ErrorList<E> {
        ErrorList { errors: Vec::new(), lines: Vec::new() }
    }
}

impl<E: Display> ErrorList<E> {
    /// Adds an error, unless the list is full or already contains all lines of the error's text.
    pub fn push(&mut self, error: E) {
        let mut is_new = false;
        for line in error.to_string().lines() {
            if self.lines.len() < MAX_LINES && !self.lines.iter().any(|other| other == line) {
                self.lines.push(line.to_owned());
                is_new = true;
            }
        }
        if is_new {
            self.errors.push(error);
        }
    }

    /// Adds all errors of another list to this list, each converted by `convert`.
    pub fn extend<F>(&mut self, other: ErrorList<F>, convert: impl Fn(F) -> E) {
        other.errors.into_iter().for_each(|error| self.push(convert(error)));
    }

    /// Returns the value of a successful result. If the result is an error, adds the error to the list and returns
    /// `None`.
    pub fn ok_or_push<T>(&mut self, result: Result<T, E>) -> Option<T> {
        result.map_err(|error| self.push(error)).ok()
    }

    /// Returns whether the list contains no error.
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Converts the list into the result of reading a configuration: a success if the list contains no error.
    ///
    /// # Errors
    /// Returns the list itself if it contains an error.
    pub fn into_result(self) -> Result<(), ErrorList<E>> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

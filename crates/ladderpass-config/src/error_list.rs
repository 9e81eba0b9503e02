//! All errors of one reading, in the order in which they were found.
//!
//! An operator corrects a file in one go, so a reader goes on after an error where it can, and
//! collects all of them here.

use std::fmt::Display;

/// Printed lines at most: a file may be wrong in every line.
const MAX_LINES: usize = 100;

/// Distinct errors, printed one a line, at most a hundred lines.
#[derive(Debug, thiserror::Error)]
#[error("{}", .lines.join("\n"))]
pub struct ErrorList<E> {
    errors: Vec<E>,
    /// The distinct lines of their texts.
    lines: Vec<String>,
}

impl<E> Default for ErrorList<E> {
    fn default() -> ErrorList<E> {
        ErrorList { errors: Vec::new(), lines: Vec::new() }
    }
}

impl<E: Display> ErrorList<E> {
    /// Adds an error, unless the list is full or already prints all of its lines.
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

    /// Adds all errors of another list, each as `convert` gives it.
    pub fn extend<F>(&mut self, other: ErrorList<F>, convert: impl Fn(F) -> E) {
        other.errors.into_iter().for_each(|error| self.push(convert(error)));
    }

    /// The value of a success; an error is added to the list.
    pub fn ok_or_push<T>(&mut self, result: Result<T, E>) -> Option<T> {
        result.map_err(|error| self.push(error)).ok()
    }

    /// Whether no error was found.
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Ends a reading.
    ///
    /// # Errors
    /// The list itself, if there is an error in it.
    pub fn into_result(self) -> Result<(), ErrorList<E>> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

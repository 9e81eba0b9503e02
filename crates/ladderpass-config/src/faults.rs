//! All that is wrong with what was told, so that one reading names all of it.
//!
//! It owns how faults are gathered: a line each, in the order they were met, bounded. It must never hold what
//! was read.

/// Lines told at most: a file may be wrong throughout.
const MOST: usize = 100;

#[derive(Debug, Default)]
pub struct Faults(Vec<String>);

impl Faults {
    /// One fault, or several, a line each; one that is there already is not told twice.
    pub fn tell(&mut self, told: String) {
        for line in told.lines() {
            if self.0.len() < MOST && !self.0.iter().any(|other| other == line) {
                self.0.push(line.to_owned());
            }
        }
    }

    /// The value, if it is sound; else its fault is kept.
    pub fn keep<T>(&mut self, read: Result<T, String>) -> Option<T> {
        read.map_err(|told| self.tell(told)).ok()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Is nothing wrong? Else all of it, a line a fault.
    pub fn none(self) -> Result<(), String> {
        if self.0.is_empty() { Ok(()) } else { Err(self.0.join("\n")) }
    }
}

//! The table of a proof, with one row for each measurement and its requirement.

use crate::drill::play::Programs;
use std::fmt;
use std::time::Instant;

/// Minimum widths of the columns of requirements and measurements, in characters.
const REQUIREMENT_WIDTH: usize = 24;
const MEASURED_WIDTH: usize = 44;

/// One measurement of a proof.
struct Row {
    label: String,
    /// The text of the requirement. The text is empty if nothing is required.
    requirement: String,
    measured: String,
    /// Whether the requirement holds, or None if nothing is required.
    holds: Option<bool>,
}

/// The measurements of a proof and their requirements.
pub struct Table {
    name: &'static str,
    rows: Vec<Row>,
    started: Instant,
}

impl Table {
    /// Creates an empty table. The duration that the table prints counts from this call.
    pub fn new(name: &'static str) -> Table {
        Table { name, rows: Vec::new(), started: Instant::now() }
    }

    /// Adds a measurement that must meet a requirement.
    pub fn require(
        &mut self,
        label: impl Into<String>,
        requirement: impl Into<String>,
        measured: impl Into<String>,
        holds: bool,
    ) {
        self.rows.push(Row {
            label: label.into(),
            requirement: requirement.into(),
            measured: measured.into(),
            holds: Some(holds),
        });
    }

    /// Adds a measurement without a requirement, for information.
    pub fn report(&mut self, label: impl Into<String>, measured: impl Into<String>) {
        self.rows.push(Row {
            label: label.into(),
            requirement: String::new(),
            measured: measured.into(),
            holds: None,
        });
    }

    /// Adds a failed requirement if no build of the router with switchable faults is given. Returns whether such a
    /// build is given.
    pub fn require_faulty_build(&mut self, programs: Programs<'_>) -> bool {
        if programs.faulty.is_none() {
            self.require("faulty builds", "told apart", "no --faulty router", false);
        }
        programs.faulty.is_some()
    }

    /// Prints the table. Returns whether all requirements hold.
    pub fn print(&self) -> bool {
        println!("{self}");
        self.failures() == 0
    }

    fn failures(&self) -> usize {
        self.rows.iter().filter(|row| row.holds == Some(false)).count()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label_width = self.rows.iter().map(|row| row.label.chars().count()).max().unwrap_or(0);
        writeln!(out, "{}, in {:.0} s", self.name, self.started.elapsed().as_secs_f64())?;
        for Row { label, requirement, measured, holds } in &self.rows {
            let verdict = match holds {
                Some(true) => "holds",
                Some(false) => "SHORT",
                None => "",
            };
            writeln!(
                out,
                "  {label:label_width$}  {requirement:REQUIREMENT_WIDTH$}  {measured:MEASURED_WIDTH$}  {verdict}"
            )?;
        }
        match self.failures() {
            0 => write!(out, "  all of it holds"),
            count => write!(out, "  {count} fall short"),
        }
    }
}

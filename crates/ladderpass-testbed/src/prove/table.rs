//! The table of a proof: one row for each measurement, with what is required of it.

use crate::drill::play::Programs;
use std::fmt;
use std::time::Instant;

/// Minimum widths of the last two columns, in characters.
const REQUIREMENT_WIDTH: usize = 24;
const MEASURED_WIDTH: usize = 44;

/// One measurement.
struct Row {
    label: String,
    /// Empty if nothing is required.
    requirement: String,
    measured: String,
    /// Does the requirement hold? None if nothing is required.
    holds: Option<bool>,
}

/// Measurements of a proof and their requirements.
pub struct Table {
    name: &'static str,
    rows: Vec<Row>,
    started: Instant,
}

impl Table {
    /// An empty table. The proof's duration counts from here.
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

    /// Adds a measurement for information, without a requirement.
    pub fn report(&mut self, label: impl Into<String>, measured: impl Into<String>) {
        self.rows.push(Row {
            label: label.into(),
            requirement: String::new(),
            measured: measured.into(),
            holds: None,
        });
    }

    /// Adds a failed requirement if there is no router with switchable faults. Returns whether there is one.
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

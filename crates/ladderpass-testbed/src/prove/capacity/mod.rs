//! Proof of docs/CAPACITY.md. Each figure of the page is measured again, and must be within the error that the page states.
//! The claimed figures are read from the page and are not repeated in the code.

mod long_runs;

pub use long_runs::make_long_runs;

use super::Table;
use crate::capacity::slope::{Claim, Slope};
use crate::capacity::{control, data_path};
use std::io;
use std::path::Path;

/// The page whose figures are proved, relative to the repository's root.
pub const PAGE: &str = "docs/CAPACITY.md";

/// A figure of the page, as measured for the page's size of deployment.
struct Figure {
    name: &'static str,
    value: f64,
}

struct Measurements {
    slopes: Vec<Slope>,
    figures: Vec<Figure>,
}

/// Runs the proof and prints its table. Returns whether it passes.
///
/// # Errors
/// Returns an error if the page can't be read, or if a simulation, a router or the emulator can't be started.
pub fn prove(router: &Path, seed: u64) -> io::Result<bool> {
    let mut table = Table::new("capacity");
    let page = std::fs::read_to_string(PAGE)?;
    let measured = measure(router, seed)?;
    for slope in &measured.slopes {
        report_slope(&mut table, slope);
    }
    require_claims(&mut table, &page, &measured.figures);
    require_no_other_claims(&mut table, &page, &measured.figures);
    Ok(table.print())
}

/// Measures all figures of the page with the short runs.
fn measure(router: &Path, seed: u64) -> io::Result<Measurements> {
    // Memory is measured first, before other threads allocate memory.
    let memory = control::memory(seed)?;
    let (control, data_path) = std::thread::scope(|scope| {
        let settings = data_path::Settings { long: false, router: Some(router.to_owned()) };
        let data_path = scope.spawn(move || data_path::measure(seed, &settings));
        let control = control::measure(seed, &control::Settings { long: false }, memory)?;
        let data_path = data_path.join().map_err(|_| io::Error::other("a thread of the proof panicked"))?;
        io::Result::Ok((control, data_path))
    })?;
    let figures = control::figures(&control).into_iter().chain(data_path::figures(&data_path));
    let figures = figures.map(|(name, value)| Figure { name, value }).collect();
    Ok(Measurements { figures, slopes: control.into_iter().chain(data_path).collect() })
}

fn report_slope(table: &mut Table, slope: &Slope) {
    let (fit, (least_x, greatest_x)) = (slope.fit(), slope.range());
    table.report(
        slope.name,
        format!(
            "{} by {}: {:.4} each, {:.4} at none, {:.0}% off at most, {least_x:.4} to {greatest_x:.4}",
            slope.y,
            slope.x,
            fit.slope,
            fit.base,
            fit.error * 100.0
        ),
    );
}

/// Requires that the page states each measured figure once, and that the measurement is within the error that the page
/// states.
fn require_claims(table: &mut Table, page: &str, figures: &[Figure]) {
    for Figure { name, value } in figures {
        let (label, measured) = (format!("`{name}`"), format!("{value:.4}"));
        match Claim::read(page, name) {
            Some(claim) => {
                let requirement = format!("{} within {:.0}%", claim.value, claim.within * 100.0);
                table.require(label, requirement, measured, claim.holds(*value));
            }
            None => table.require(label, "stands on the page once", measured, false),
        }
    }
}

/// Requires that the page claims no figure that is not measured.
fn require_no_other_claims(table: &mut Table, page: &str, figures: &[Figure]) {
    let claimed = page.lines().filter_map(|line| line.strip_prefix("| `")?.split_once("` |"));
    let is_measured = |name: &str| figures.iter().any(|figure| figure.name == name);
    for (name, _) in claimed.filter(|(name, _)| !is_measured(name)) {
        table.require(format!("`{name}`"), "is measured", "no slope gives it", false);
    }
}

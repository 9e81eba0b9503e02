//! Reports on results that were read from a file, with a table, and with charts in the same folder.

use super::file::{Results, ResultsError};
use super::percent::percent;
use crate::charts::{self, Line};
use serde_json::Value;
use std::io;
use std::path::Path;

const HEADER: &str = "| method | due | ok | pushed back | aborted | without an answer in time |\n| --- | --- | --- | --- | --- | --- |\n";
/// Number of time slices per second, by which the counts of one slice are multiplied to get rates.
const SLICES_PER_SECOND: f64 = 10.0;

/// Reads a file of results and returns a table of its totals. Charts are drawn under the path of the file, with the extension
/// `goodput.svg` and, if the router logged its metrics, `pressure.svg`.
///
/// # Errors
/// If the file can't be read, is not in the format that [`write`](super::write) writes, or a chart can't be drawn.
pub fn report(path: &Path) -> Result<String, ResultsError> {
    let results = Results::read(path)?;
    draw_goodput(&results, &path.with_extension("goodput.svg"))?;
    if !results.metrics.is_empty() {
        draw_pressure(&results, &path.with_extension("pressure.svg"))?;
    }
    Ok(table(&results))
}

fn table(results: &Results) -> String {
    let mut text = String::from(HEADER);
    for (index, name) in results.methods.iter().enumerate() {
        let sum = |count: &str| results.sum(index, count);
        text.push_str(&format!(
            "| {name} | {} | {} | {} | {} | {} |\n",
            sum("due"),
            percent(sum("ok"), sum("due")),
            percent(sum("pushed_back"), sum("due")),
            sum("aborted"),
            sum("late") + sum("unanswered")
        ));
    }
    let total = &results.total;
    text.push_str(&format!("\nloop delay {}\ncome back {}\n", total["delay_ms"], total["come_back_ms"]));
    text
}

fn draw_goodput(results: &Results, path: &Path) -> io::Result<()> {
    let points = |count: &dyn Fn(&Value) -> Option<f64>| -> Vec<(f64, f64)> {
        let point = |slice: &Value| Some((slice["at_s"].as_f64()?, count(slice)? * SLICES_PER_SECOND));
        results.slices.iter().filter_map(point).collect()
    };
    let mut lines: Vec<Line<'_>> = Vec::new();
    for (index, name) in results.methods.iter().enumerate() {
        lines.push(Line::new(name, points(&|slice| slice["counts"][index]["good"].as_f64())));
    }
    lines.push(Line::new("pushed back", points(&|slice| Some(rejections(slice)))));
    charts::lines(path, "Good answers and pushbacks over time", ("s", "RPCs a second"), &lines, false)
}

/// Returns the number of rejections in a slice, summed over all methods.
fn rejections(slice: &Value) -> f64 {
    let by_method = slice["counts"].as_array().into_iter().flatten();
    by_method.filter_map(|counts| counts["pushed_back"].as_f64()).sum()
}

fn draw_pressure(results: &Results, path: &Path) -> io::Result<()> {
    let points = |name: &str| -> Vec<(f64, f64)> {
        let point = |(index, metrics): (usize, &Value)| Some((index as f64, metrics[name].as_f64()?));
        results.metrics.iter().enumerate().filter_map(point).collect()
    };
    let lines = [
        Line::new("pressure", points("pressure")),
        Line::new("delay part", points("delay_part")),
        Line::new("cpu", points("cpu_used")),
        Line::new("floor", points("floor")),
    ];
    charts::lines(path, "Pressure over time", ("figures told", "part"), &lines, false)
}

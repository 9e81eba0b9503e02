//! Results kept as JSON lines, so that runs can be compared, and told as tables.
//!
//! It owns that form: one line that says what was run, one a tenth of a second, one of totals.

use crate::charts;
use crate::load::Counts;
use crate::router_log;
use crate::run::RunRecord;
use hdrhistogram::Histogram;
use ladderpass_emulator::Scenario;
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{self, Write};
use std::path::Path;

/// The version of the form; a reader refuses others.
const FORM: u64 = 1;

fn quantiles(of: &Histogram<u64>, unit: f64) -> Value {
    let at = |quantile| of.value_at_quantile(quantile) as f64 / unit;
    json!({"count": of.len(), "p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "p999": at(0.999), "max": of.max() as f64 / unit})
}

pub fn write(path: &Path, told: &Value, scenario: &Scenario, seen: &RunRecord) -> io::Result<()> {
    let mut out = io::BufWriter::new(std::fs::File::create(path)?);
    let methods: Vec<&str> = scenario.methods.iter().map(|method| method.name.as_str()).collect();
    writeln!(out, "{}", json!({"kind": "run", "form": FORM, "methods": methods, "told": told}))?;
    for slice in &seen.outcome.slices {
        writeln!(out, "{}", json!({"kind": "slice", "slice": slice}))?;
    }
    for (nth, metrics) in seen.log.iter().filter_map(|line| router_log::metrics(line)).enumerate() {
        writeln!(out, "{}", json!({"kind": "figures", "nth": nth, "figures": metrics}))?;
    }
    let ok: Vec<Value> = seen.outcome.ok_us.iter().map(|of| quantiles(of, 1e3)).collect();
    let total = json!({
        "kind": "total", "counts": seen.outcome.total(), "ok_ms": ok, "pushed_ms": quantiles(&seen.outcome.pushed_us, 1e3),
        "come_back_ms": quantiles(&seen.outcome.come_back_ms, 1.0), "delay_ms": quantiles(&seen.delays(0.0, f64::MAX), 1e3),
        "cpu_s": seen.cpu, "resident_bytes": seen.resident, "behind_ms": seen.outcome.behind.secs() * 1e3,
        "seconds": seen.outcome.lasted.secs(), "flood": seen.outcome.flood, "faults": seen.outcome.faults,
        "began_unix_ms": seen.outcome.began.nanos() / 1_000_000,
    });
    writeln!(out, "{total}")?;
    out.flush()
}

fn percent(part: u64, of: u64) -> String {
    format!("{:.2}%", part as f64 * 100.0 / of.max(1) as f64)
}

fn row(text: &mut String, name: &str, counts: &Counts, p: Option<(f64, f64, f64)>) {
    let (p50, p99, p999) = p.unwrap_or_default();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "| {name} | {} | {} | {} | {} | {} | {} | {} | {p50:.2} | {p99:.2} | {p999:.2} |",
        counts.due,
        percent(counts.ok, counts.due),
        percent(counts.good, counts.due),
        percent(counts.pushed_back, counts.due),
        counts.aborted,
        counts.late + counts.unanswered,
        counts.unsent
    );
}

/// A run as a table.
pub fn table(scenario: &Scenario, seen: &RunRecord) -> String {
    let mut text = String::from(
        "| method | due | ok | within the soft deadline | pushed back | aborted | without an answer in time | unsent | p50 ms | p99 ms | p99.9 ms |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (index, method) in scenario.methods.iter().enumerate() {
        let times = seen.outcome.ok_us.get(index);
        let at = |quantile: f64| times.map_or(0.0, |of| of.value_at_quantile(quantile) as f64 / 1e3);
        row(&mut text, &method.name, &seen.outcome.of(index), Some((at(0.5), at(0.99), at(0.999))));
    }
    row(&mut text, "all", &seen.outcome.total(), None);
    let secs = seen.outcome.lasted.secs();
    let _ = writeln!(
        text,
        "\nutility a second {:.0}; CPU of the router {:.2} of a core, {:.1} us an RPC; resident {:.1} MiB; loop delay p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms; \
         slowest round {:.1} ms at {:.2} s; the load itself at most {:.1} ms late",
        seen.outcome.utility_rate(0.0, secs),
        seen.cpu / secs,
        seen.cpu * 1e6 / seen.outcome.total().due.max(1) as f64,
        seen.resident as f64 / 1_048_576.0,
        seen.delay_ms(0.5, 0.0, f64::MAX),
        seen.delay_ms(0.99, 0.0, f64::MAX),
        seen.delay_ms(0.999, 0.0, f64::MAX),
        seen.slowest().1,
        seen.slowest().0,
        seen.outcome.behind.secs() * 1e3,
    );
    text
}

/// Reads results back: a table of totals, and charts beside the file.
pub fn report(path: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(path)?;
    let bad =
        |text: String| io::Error::new(io::ErrorKind::InvalidData, format!("{}: {text}", path.display()));
    let mut methods: Vec<String> = Vec::new();
    let (mut slices, mut figures, mut total) = (Vec::new(), Vec::new(), Value::Null);
    for (nth, line) in text.lines().enumerate() {
        let value: Value =
            serde_json::from_str(line).map_err(|fault| bad(format!("line {}: {fault}", nth + 1)))?;
        match value["kind"].as_str() {
            Some("run") if value["form"].as_u64() == Some(FORM) => {
                methods = value["methods"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(|name| name.as_str().map(str::to_owned))
                    .collect();
            }
            Some("run") => {
                return Err(bad(format!(
                    "form {} is not form {FORM}, which this program reads",
                    value["form"]
                )));
            }
            Some("slice") => slices.push(value["slice"].clone()),
            Some("figures") => figures.push(value["figures"].clone()),
            Some("total") => total = value,
            _ => return Err(bad(format!("line {}: kind {} is unknown", nth + 1, value["kind"]))),
        }
    }
    if methods.is_empty() {
        return Err(bad("its first line does not say what was run".into()));
    }
    let mut out = String::from(
        "| method | due | ok | pushed back | aborted | without an answer in time |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    let mut shown: Vec<charts::Line<'_>> = Vec::new();
    for (index, name) in methods.iter().enumerate() {
        let sum =
            |key: &str| slices.iter().filter_map(|slice| slice["counts"][index][key].as_u64()).sum::<u64>();
        let _ = writeln!(
            out,
            "| {name} | {} | {} | {} | {} | {} |",
            sum("due"),
            percent(sum("ok"), sum("due")),
            percent(sum("pushed_back"), sum("due")),
            sum("aborted"),
            sum("late") + sum("unanswered")
        );
        let points = slices.iter().filter_map(|slice| {
            Some((slice["at_s"].as_f64()?, slice["counts"][index]["good"].as_f64()? * 10.0))
        });
        shown.push((name, points.collect()));
    }
    let pushed = |slice: &Value| {
        slice["counts"]
            .as_array()
            .map_or(0.0, |all| all.iter().filter_map(|of| of["pushed_back"].as_f64()).sum::<f64>())
    };
    shown.push((
        "pushed back",
        slices.iter().filter_map(|slice| Some((slice["at_s"].as_f64()?, pushed(slice) * 10.0))).collect(),
    ));
    charts::lines(
        &path.with_extension("goodput.svg"),
        "Good answers and pushbacks over time",
        ("s", "RPCs a second"),
        &shown,
        false,
    )?;
    let of = |name: &str| {
        figures
            .iter()
            .enumerate()
            .filter_map(|(nth, figures)| Some((nth as f64, figures[name].as_f64()?)))
            .collect::<Vec<_>>()
    };
    if !figures.is_empty() {
        let shown = [
            ("pressure", of("pressure")),
            ("delay part", of("delay_part")),
            ("cpu", of("cpu_used")),
            ("floor", of("floor")),
        ];
        charts::lines(
            &path.with_extension("pressure.svg"),
            "Pressure over time",
            ("figures told", "part"),
            &shown,
            false,
        )?;
    }
    let _ = writeln!(out, "\nloop delay {}\ncome back {}", total["delay_ms"], total["come_back_ms"]);
    Ok(out)
}

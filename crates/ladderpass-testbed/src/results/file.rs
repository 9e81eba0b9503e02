//! Writes the record of a run as JSON lines, and reads such files.

use crate::router_log;
use crate::run::RunRecord;
use hdrhistogram::Histogram;
use ladderpass_emulator::Scenario;
use serde_json::{Value, json};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

/// Version of the file format. Files of other versions are not read.
const FORMAT_VERSION: u64 = 1;
const US_PER_MS: f64 = 1e3;

/// Error of reading a file of results, or of drawing its charts.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// The file can't be read, or a chart can't be written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A line is not JSON.
    #[error("{}: line {line}: {source}", path.display())]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A line has a kind that this program does not write.
    #[error("{}: line {line}: kind {kind} is unknown", path.display())]
    UnknownKind {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Kind in the line, as JSON.
        kind: Value,
    },
    /// The file is in another version of the format.
    #[error("{}: format version {version} is not supported; this program reads version {FORMAT_VERSION}", path.display())]
    UnknownFormat {
        /// Path of the file.
        path: PathBuf,
        /// Version in the file, as JSON.
        version: Value,
    },
    /// The file has no line of the kind `run`, or its line of that kind names no method.
    #[error("{}: there is no line of kind run that names methods", path.display())]
    MissingRun {
        /// Path of the file.
        path: PathBuf,
    },
}

/// Writes the results of a run. `options` has the options that the run was started with.
///
/// # Errors
/// If the file can't be written.
pub fn write(path: &Path, options: &Value, scenario: &Scenario, record: &RunRecord) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    let methods: Vec<&str> = scenario.methods.iter().map(|method| method.name.as_str()).collect();
    writeln!(
        file,
        "{}",
        json!({"kind": "run", "form": FORMAT_VERSION, "methods": methods, "told": options})
    )?;
    for slice in &record.outcome.slices {
        writeln!(file, "{}", json!({"kind": "slice", "slice": slice}))?;
    }
    let metrics = record.log.iter().filter_map(|line| router_log::metrics(line));
    for (index, metrics) in metrics.enumerate() {
        writeln!(file, "{}", json!({"kind": "figures", "nth": index, "figures": metrics}))?;
    }
    writeln!(file, "{}", totals(record))?;
    file.flush()
}

fn totals(record: &RunRecord) -> Value {
    let outcome = &record.outcome;
    let ok_ms: Vec<Value> = outcome.ok_us.iter().map(|latencies| quantiles(latencies, US_PER_MS)).collect();
    json!({
        "kind": "total",
        "counts": outcome.total(),
        "ok_ms": ok_ms,
        "pushed_ms": quantiles(&outcome.rejected_us, US_PER_MS),
        "come_back_ms": quantiles(&outcome.retry_after_ms, 1.0),
        "delay_ms": quantiles(&record.delays(0.0, f64::MAX), US_PER_MS),
        "cpu_s": record.cpu_seconds,
        "resident_bytes": record.resident_bytes,
        "behind_ms": outcome.max_send_delay.secs() * 1e3,
        "seconds": outcome.duration.secs(),
        "flood": outcome.flood,
        "faults": outcome.faults,
        "began_unix_ms": outcome.began.nanos() / 1_000_000,
    })
}

/// Returns count and quantiles of a histogram as JSON. Values are divided by `divisor`, to convert their unit.
fn quantiles(histogram: &Histogram<u64>, divisor: f64) -> Value {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / divisor;
    json!({
        "count": histogram.len(),
        "p50": at(0.5),
        "p90": at(0.9),
        "p99": at(0.99),
        "p999": at(0.999),
        "max": histogram.max() as f64 / divisor,
    })
}

/// Results that were read from a file. The fields `slices`, `metrics` and `total` have the JSON values of the file's lines of
/// the kinds `slice`, `figures` and `total`.
pub(super) struct Results {
    pub methods: Vec<String>,
    pub slices: Vec<Value>,
    /// The router's metrics, with one entry for each time that the router logged them.
    pub metrics: Vec<Value>,
    pub total: Value,
}

impl Results {
    pub fn read(path: &Path) -> Result<Results, ResultsError> {
        let text = std::fs::read_to_string(path)?;
        let path = || path.to_owned();
        let mut results =
            Results { methods: Vec::new(), slices: Vec::new(), metrics: Vec::new(), total: Value::Null };
        for (line, text) in (1..).zip(text.lines()) {
            let value: Value = serde_json::from_str(text).map_err(|source| ResultsError::Syntax {
                path: path(),
                line,
                source,
            })?;
            match value["kind"].as_str() {
                Some("run") if value["form"].as_u64() == Some(FORMAT_VERSION) => {
                    results.methods = method_names(&value)
                }
                Some("run") => {
                    return Err(ResultsError::UnknownFormat { path: path(), version: value["form"].clone() });
                }
                Some("slice") => results.slices.push(value["slice"].clone()),
                Some("figures") => results.metrics.push(value["figures"].clone()),
                Some("total") => results.total = value,
                _ => {
                    let kind = value["kind"].clone();
                    return Err(ResultsError::UnknownKind { path: path(), line, kind });
                }
            }
        }
        if results.methods.is_empty() {
            return Err(ResultsError::MissingRun { path: path() });
        }
        Ok(results)
    }

    /// Returns the sum over all slices of the count named `count`, such as `due`, of one method.
    pub fn sum(&self, method: usize, count: &str) -> u64 {
        self.slices.iter().filter_map(|slice| slice["counts"][method][count].as_u64()).sum()
    }
}

fn method_names(run: &Value) -> Vec<String> {
    let names = run["methods"].as_array().into_iter().flatten();
    names.filter_map(|name| name.as_str().map(str::to_owned)).collect()
}

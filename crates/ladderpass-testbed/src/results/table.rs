//! Formats the table of a run.

use super::percent::percent;
use crate::load::Counts;
use crate::run::RunRecord;
use ladderpass_emulator::Scenario;
use std::fmt::Write as _;

const HEADER: &str = "| method | due | ok | within the soft deadline | pushed back | aborted | without an answer in time | unsent | p50 ms | p99 ms | p99.9 ms |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// Latency quantiles of one method's ok answers, in milliseconds.
#[derive(Clone, Copy, Default)]
struct LatencyQuantiles {
    p50: f64,
    p99: f64,
    p999: f64,
}

/// Formats a run as a table, with a row for each method and a row for all methods together, followed by a line about the
/// router.
pub fn table(scenario: &Scenario, record: &RunRecord) -> String {
    let mut text = String::from(HEADER);
    for (index, method) in scenario.methods.iter().enumerate() {
        let latencies = record.outcome.ok_us.get(index);
        let at = |quantile: f64| latencies.map_or(0.0, |of| of.value_at_quantile(quantile) as f64 / 1e3);
        let quantiles = LatencyQuantiles { p50: at(0.5), p99: at(0.99), p999: at(0.999) };
        text.push_str(&row(&method.name, &record.outcome.of(index), quantiles));
    }
    text.push_str(&row("all", &record.outcome.total(), LatencyQuantiles::default()));
    // Writing to a string can't fail.
    let _ = writeln!(text, "\n{}", router_line(record));
    text
}

fn row(name: &str, counts: &Counts, latency: LatencyQuantiles) -> String {
    let LatencyQuantiles { p50, p99, p999 } = latency;
    format!(
        "| {name} | {} | {} | {} | {} | {} | {} | {} | {p50:.2} | {p99:.2} | {p999:.2} |\n",
        counts.due,
        percent(counts.ok, counts.due),
        percent(counts.good, counts.due),
        percent(counts.rejected, counts.due),
        counts.aborted,
        counts.late + counts.unanswered,
        counts.unsent
    )
}

/// Formats the line about the router: utility per second, CPU and memory that the router used, and delays of its event loop.
/// The line ends with the longest delay between the time at which an RPC was due and the time at which the load generator sent
/// it.
fn router_line(record: &RunRecord) -> String {
    let secs = record.outcome.duration.secs();
    let delay_ms = |quantile| record.delay_ms(quantile, 0.0, f64::MAX);
    let slowest = record.slowest();
    format!(
        "utility a second {:.0}; CPU of the router {:.2} of a core, {:.1} us an RPC; resident {:.1} MiB; loop delay p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms; \
         slowest round {:.1} ms at {:.2} s; the load itself at most {:.1} ms late",
        record.outcome.utility_rate(0.0, secs),
        record.cpu_seconds / secs,
        record.cpu_seconds * 1e6 / record.outcome.total().due.max(1) as f64,
        record.resident_bytes as f64 / BYTES_PER_MIB,
        delay_ms(0.5),
        delay_ms(0.99),
        delay_ms(0.999),
        slowest.delay_ms,
        slowest.at_s,
        record.outcome.max_send_delay.secs() * 1e3,
    )
}

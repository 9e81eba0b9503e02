//! Parses load reports, which members send in answer to health checks.

use crate::pg;
use ladderpass_config::{IN_FLIGHT_COLUMN, POSITION_COLUMN, PRIMARY_COLUMN};
use ladderpass_routing::{LoadReport, Time};

/// Returns the load report in the row of an answer, or an empty report if the row lacks one of the columns or can't be
/// parsed.
pub(super) fn read_load_report(mut answer: &[u8], max_bytes: usize, columns: &[String]) -> LoadReport {
    while let Ok(Some(pg::Frame { kind, body, length })) = pg::parse_frame(answer, max_bytes) {
        if let (b'D', Ok(Some(value))) = (kind, pg::parse_single_column(body)) {
            let text = String::from_utf8_lossy(value);
            tracing::debug!(%text, "load report");
            let pairs = pg::parse_load_report(&text);
            return pairs.and_then(|pairs| load_report_from(&pairs, columns)).unwrap_or_default();
        }
        answer = answer.get(length..).unwrap_or_default();
    }
    LoadReport::default()
}

fn load_report_from(pairs: &[(&str, f64)], columns: &[String]) -> Option<LoadReport> {
    let is_present = |column: &String| pairs.iter().any(|(name, _)| name == column);
    if !columns.iter().all(is_present) {
        return None;
    }
    let mut report = LoadReport::default();
    for &(name, value) in pairs {
        match name {
            POSITION_COLUMN => report.position = Some(Time::from_nanos((value * 1e9) as i64)),
            PRIMARY_COLUMN => report.is_primary = Some(value >= 0.5),
            IN_FLIGHT_COLUMN => report.in_flight = Some(value),
            _ => {}
        }
    }
    Some(report)
}

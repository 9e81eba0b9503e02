//! Formats ratios.

/// Formats a part of a whole in percent, with two decimals. A whole of zero counts as one.
pub fn percent(part: u64, of: u64) -> String {
    format!("{:.2}%", part as f64 * 100.0 / of.max(1) as f64)
}

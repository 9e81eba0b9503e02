//! Formats ratios.

/// Formats `part` in percent of `of`, with two decimals. If `of` is 0, the result is in percent of 1.
pub fn percent(part: u64, of: u64) -> String {
    format!("{:.2}%", part as f64 * 100.0 / of.max(1) as f64)
}

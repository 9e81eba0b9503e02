//! Ratios as text.

/// A part of a whole in percent, with two decimals.
pub fn percent(part: u64, of: u64) -> String {
    format!("{:.2}%", part as f64 * 100.0 / of.max(1) as f64)
}

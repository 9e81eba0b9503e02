//! A member's load report, which is a list of `name=number` pairs separated by commas.

/// Returns the `name=number` pairs of a member's load report, or `None` if any pair is invalid, because an incomplete
/// report can't be trusted.
pub fn parse_load_report(text: &str) -> Option<Vec<(&str, f64)>> {
    let pair = |pair| {
        let (name, value) = str::split_once(pair, '=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        Some((name.trim(), value))
    };
    text.split(',').map(pair).collect()
}

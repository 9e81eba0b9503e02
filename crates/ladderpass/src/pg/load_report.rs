//! A member's load report: `name=number` pairs with commas between them.

/// The pairs of a load report; None where any can't be read, as half a report can't be trusted.
pub fn parse_load_report(text: &str) -> Option<Vec<(&str, f64)>> {
    let pair = |pair| {
        let (name, value) = str::split_once(pair, '=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        Some((name.trim(), value))
    };
    text.split(',').map(pair).collect()
}

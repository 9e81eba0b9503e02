//! A slope: points as they were measured, the straight line through them, and how far they lie off it; and
//! what the page claims, read out of its own table.
//!
//! It owns the fit. It is pure, and must never measure anything.

/// What was measured: `y` against `x`, units in their names.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    pub name: &'static str,
    pub x: &'static str,
    pub y: &'static str,
    pub points: Vec<(f64, f64)>,
}

/// A straight line, and the greatest residual at a point of it over what was measured there. No slope where
/// fewer than two values of x were measured; the error is infinite where nothing was, or where the line is
/// off a zero.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub base: f64,
    pub error: f64,
}

/// What the page says by this name, and the relative error that it states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    pub name: &'static str,
    pub value: f64,
    pub within: f64,
}

impl Slope {
    /// Least squares.
    pub fn fit(&self) -> Fit {
        let count = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / count.max(1.0);
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let across: f64 = self.points.iter().map(|point| (point.0 - x) * (point.0 - x)).sum();
        let along: f64 = self.points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let slope = if across > 0.0 { along / across } else { 0.0 };
        let line = Fit { slope, base: y - slope * x, error: 0.0 };
        let scale = self.points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let off = |&(x, y): &(f64, f64)| match (line.at(x) - y).abs() {
            // A sum's last bits are no error.
            residual if residual <= 1e-12 * scale => 0.0,
            residual => residual / y.abs(),
        };
        let worst = self.points.iter().map(off).reduce(f64::max);
        Fit { error: worst.unwrap_or(f64::INFINITY), ..line }
    }

    /// The least and the greatest x that was measured.
    pub fn range(&self) -> (f64, f64) {
        let xs = || self.points.iter().map(|point| point.0);
        (xs().fold(f64::INFINITY, f64::min), xs().fold(f64::NEG_INFINITY, f64::max))
    }
}

impl Fit {
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

impl Claim {
    /// Does a figure lie within the error that the page states?
    pub fn holds(&self, measured: f64) -> bool {
        (measured - self.value).abs() <= self.within * self.value.abs()
    }

    /// The claim of this name in a page: a row of a table whose first cell is the name in code marks, its
    /// second the value, its third the error in percent. Thousands may be told apart by commas or narrow
    /// spaces; a unit may follow a number. None where there is no such row, more than one, or one that is not
    /// to be read.
    pub fn read(page: &str, name: &'static str) -> Option<Claim> {
        let mut rows = page.lines().filter_map(|line| {
            let mut cells = line.trim().strip_prefix('|')?.split('|').map(str::trim);
            (cells.next()?.strip_prefix('`')?.strip_suffix('`')? == name).then_some(cells)
        });
        let (mut cells, None) = (rows.next()?, rows.next()) else { return None };
        let value = number(cells.next()?)?;
        let within = cells.next().filter(|cell| cell.contains('%')).and_then(number)? / 100.0;
        (within >= 0.0).then_some(Claim { name, value, within })
    }
}

/// The number that a cell begins with.
fn number(cell: &str) -> Option<f64> {
    let cell: String = cell.chars().filter(|c| !matches!(c, ',' | '\u{202f}' | '\u{2009}' | '±')).collect();
    let cell = cell.trim();
    let end = cell.find(|c: char| !(c.is_ascii_digit() || matches!(c, '.' | '-'))).unwrap_or(cell.len());
    cell.get(..end)?.parse().ok().filter(|value: &f64| value.is_finite())
}

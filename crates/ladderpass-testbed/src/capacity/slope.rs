//! Slopes: measured points, the straight line through them with its error, and the claims of docs/CAPACITY.md that they
//! are compared with.

/// Measured points of `y` by `x`.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Name of the slope.
    pub name: &'static str,
    /// What x is, with its unit.
    pub x: &'static str,
    /// What y is, with its unit.
    pub y: &'static str,
    /// The points (x, y).
    pub points: Vec<(f64, f64)>,
}

/// A straight line through points. The slope is 0 if there are fewer than two values of x.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth of y for each x.
    pub slope: f64,
    /// The value at x = 0.
    pub base: f64,
    /// The greatest residual relative to its point; infinite if there is no point, or if the line misses a y of 0.
    pub error: f64,
}

/// A figure that the page claims.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Name of the figure.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
    /// The relative error that the page states.
    pub within: f64,
}

impl Slope {
    /// The line of least squares.
    pub fn fit(&self) -> Fit {
        let count = self.points.len() as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| {
            self.points.iter().map(coordinate).sum::<f64>() / count.max(1.0)
        };
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xx: f64 = self.points.iter().map(|point| (point.0 - x) * (point.0 - x)).sum();
        let sum_xy: f64 = self.points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let line = Fit { slope, base: y - slope * x, error: 0.0 };
        let scale = self.points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let relative_residual = |&(x, y): &(f64, f64)| match (line.at(x) - y).abs() {
            // Rounding errors of the sums.
            residual if residual <= 1e-12 * scale => 0.0,
            residual => residual / y.abs(),
        };
        let worst = self.points.iter().map(relative_residual).reduce(f64::max);
        Fit { error: worst.unwrap_or(f64::INFINITY), ..line }
    }

    /// The least and the greatest x.
    pub fn range(&self) -> (f64, f64) {
        let xs = || self.points.iter().map(|point| point.0);
        (xs().fold(f64::INFINITY, f64::min), xs().fold(f64::NEG_INFINITY, f64::max))
    }
}

impl Fit {
    /// The value at x.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

impl Claim {
    /// Is a measured value within the error that the page states?
    pub fn holds(&self, measured: f64) -> bool {
        (measured - self.value).abs() <= self.within * self.value.abs()
    }

    /// Reads a claim from a page: a table's row with the name in code marks, the value, and the error in percent. Thousands
    /// may be separated by commas or narrow spaces; a unit may follow a number. None if there is no such row, more than
    /// one, or one that can't be read.
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

//! Measured points, the straight line fitted to them with its error, and the claims of docs/CAPACITY.md to which the
//! measurements are compared.

/// Measured points (x, y), to which a line can be fitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Name of the slope.
    pub name: &'static str,
    /// The quantity on the x axis, with its unit.
    pub x: &'static str,
    /// The quantity on the y axis, with its unit.
    pub y: &'static str,
    /// The measured points (x, y).
    pub points: Vec<(f64, f64)>,
}

/// A straight line fitted to points. Its slope is 0 if the points have fewer than two distinct values of x.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth of y per unit of x.
    pub slope: f64,
    /// The value at x = 0.
    pub base: f64,
    /// The largest residual of a point, as a fraction of the point's y. The value is infinite if there is no point, or
    /// if the line misses a point whose y is 0.
    pub error: f64,
}

/// A figure that docs/CAPACITY.md claims.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Name of the figure.
    pub name: &'static str,
    /// The claimed value of the figure.
    pub value: f64,
    /// The error that the page allows in the figure, as a fraction of the claimed value.
    pub within: f64,
}

impl Slope {
    /// Fits a line by least squares.
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
            // A residual this small is a rounding error of the sums from which the line is computed.
            residual if residual <= 1e-12 * scale => 0.0,
            residual => residual / y.abs(),
        };
        let worst = self.points.iter().map(relative_residual).reduce(f64::max);
        Fit { error: worst.unwrap_or(f64::INFINITY), ..line }
    }

    /// Returns the least and the greatest x.
    pub fn range(&self) -> (f64, f64) {
        let xs = || self.points.iter().map(|point| point.0);
        (xs().fold(f64::INFINITY, f64::min), xs().fold(f64::NEG_INFINITY, f64::max))
    }
}

impl Fit {
    /// Returns the value of the line at x.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

impl Claim {
    /// Returns whether a measured value is within the error that the page allows.
    pub fn holds(&self, measured: f64) -> bool {
        (measured - self.value).abs() <= self.within * self.value.abs()
    }

    /// Reads a claim from a page. The claim is a table row with the name in backticks, the value, and the error in percent.
    /// Thousands may be separated by commas or narrow spaces, and a unit may follow a number. Returns `None` if the page
    /// has no such row or more than one, or if the row can't be parsed.
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

/// Parses the number that a cell begins with.
fn number(cell: &str) -> Option<f64> {
    let cell: String = cell.chars().filter(|c| !matches!(c, ',' | '\u{202f}' | '\u{2009}' | '±')).collect();
    let cell = cell.trim();
    let end = cell.find(|c: char| !(c.is_ascii_digit() || matches!(c, '.' | '-'))).unwrap_or(cell.len());
    cell.get(..end)?.parse().ok().filter(|value: &f64| value.is_finite())
}

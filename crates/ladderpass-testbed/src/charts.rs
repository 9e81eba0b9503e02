//! Draws charts of results as SVG files.

use crate::router_log;
use crate::run::RunRecord;
use hdrhistogram::Histogram;
use ladderpass_emulator::Scenario;
use plotters::prelude::*;
use std::io;
use std::path::Path;

/// Interval in seconds at which a router logs its metrics in a run that [`over_time`] draws. The overload proof sets this
/// interval in the router's operator file.
const METRICS_INTERVAL_S: f64 = 0.2;

const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
];

/// A line of a chart.
#[derive(Clone, Debug, PartialEq)]
pub struct Line<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// Points (x, y), in the order in which they are connected.
    pub points: Vec<(f64, f64)>,
}

impl<'a> Line<'a> {
    /// Creates a line of this name through these points.
    pub fn new(name: &'a str, points: Vec<(f64, f64)>) -> Line<'a> {
        Line { name, points }
    }
}

fn drawing_error(error: impl std::fmt::Display) -> io::Error {
    io::Error::other(error.to_string())
}

/// Draws lines over one pair of axes. `axes` has the labels of the x and the y axis; `log_x` makes the x axis logarithmic.
///
/// # Errors
/// If the chart can't be drawn or written.
pub fn lines(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[Line<'_>],
    log_x: bool,
) -> io::Result<()> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let max_x = points().map(|point| point.0).fold(0.0, f64::max);
    let min_x = points().map(|point| point.0).fold(f64::MAX, f64::min);
    let max_y = points().map(|point| point.1).fold(0.0, f64::max).max(1e-9) * 1.05;
    let area = SVGBackend::new(path, (900, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(drawing_error)?;
    let mut builder = ChartBuilder::on(&area);
    builder.caption(title, ("sans-serif", 20)).margin(12).x_label_area_size(40).y_label_area_size(70);
    macro_rules! draw {
        ($x:expr) => {{
            let mut chart = builder.build_cartesian_2d($x, 0.0..max_y).map_err(drawing_error)?;
            chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw().map_err(drawing_error)?;
            for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
                let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
                let legend =
                    move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour.stroke_width(2));
                chart.draw_series(series).map_err(drawing_error)?.label(line.name).legend(legend);
            }
            let mut labels = chart.configure_series_labels();
            labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(drawing_error)?;
        }};
    }
    match log_x {
        true => draw!((min_x.max(1e-3)..max_x.max(1e-2)).log_scale()),
        false => draw!(0.0..max_x.max(1e-9)),
    }
    area.present().map_err(drawing_error)
}

/// Draws utility against offered load, with one line for each curve.
///
/// # Errors
/// As [`lines`].
pub fn goodput(path: &Path, curves: &[Line<'_>]) -> io::Result<()> {
    lines(path, "Goodput against offered load", ("offered, in calm loads", "utility a second"), curves, false)
}

/// Draws the distribution of each named histogram of event loop delays, which are in microseconds.
///
/// # Errors
/// As [`lines`].
pub fn delays(path: &Path, all: &[(&str, &Histogram<u64>)]) -> io::Result<()> {
    let mut chart_lines = Vec::new();
    for (name, delays) in all {
        let total = delays.len().max(1) as f64;
        let mut cumulative = 0;
        let points = delays.iter_recorded().map(|step| {
            cumulative += step.count_at_value();
            (step.value_iterated_to() as f64 / 1e3, cumulative as f64 / total)
        });
        chart_lines.push(Line::new(name, points.collect()));
    }
    lines(
        path,
        "Loop delay at three times the calm load",
        ("ms, logarithmic", "part of probes"),
        &chart_lines,
        true,
    )
}

/// Returns the values that a router has logged for the metric `name`, in order, as points (seconds, value). The first point is
/// at 0 seconds, and each further point `step` seconds later.
pub fn metric_series(log: &[String], name: &str, step: f64) -> Vec<(f64, f64)> {
    let value_in_line = |line: &String| router_log::metrics(line)?.get(name)?.as_f64();
    log.iter()
        .filter_map(value_in_line)
        .enumerate()
        .map(|(index, value)| (index as f64 * step, value))
        .collect()
}

/// Draws the good answers of each method and the rejections of a run over time. Also draws the router's metrics as
/// `pressure.svg` in the same folder.
///
/// # Errors
/// As [`lines`].
pub fn over_time(path: &Path, scenario: &Scenario, record: &RunRecord) -> io::Result<()> {
    let slices = &record.outcome.slices;
    let per_second = 1.0 / crate::load::SLICE.secs();
    let mut chart_lines: Vec<Line<'_>> = Vec::new();
    for (index, method) in scenario.methods.iter().enumerate() {
        let good = slices
            .iter()
            .filter_map(|slice| Some((slice.at_s, slice.counts.get(index)?.good as f64 * per_second)));
        chart_lines.push(Line::new(&method.name, good.collect()));
    }
    let rejected =
        |slice: &crate::load::Slice| slice.counts.iter().map(|counts| counts.rejected).sum::<u64>() as f64;
    chart_lines.push(Line::new(
        "pushed back",
        slices.iter().map(|slice| (slice.at_s, rejected(slice) * per_second)).collect(),
    ));
    lines(path, "Good answers and pushbacks over time", ("s", "RPCs a second"), &chart_lines, false)?;
    let pressure_path = path.with_file_name("pressure.svg");
    let chart_lines = [
        Line::new("pressure", metric_series(&record.log, "pressure", METRICS_INTERVAL_S)),
        Line::new("delay part", metric_series(&record.log, "delay_part", METRICS_INTERVAL_S)),
        Line::new("floor", metric_series(&record.log, "floor", METRICS_INTERVAL_S)),
        Line::new("cpu", metric_series(&record.log, "cpu_used", METRICS_INTERVAL_S)),
    ];
    lines(&pressure_path, "Pressure over time", ("s", "part"), &chart_lines, false)
}

//! The proof of docs/CAPACITY.md: each of its figures is measured anew by its slope, with any seed, and must
//! lie within the error that the page states. The longer runs: slopes, events, hollow routers beside real
//! ones, as tables and charts.
//!
//! It owns what is compared. It must never hold a figure of the page: they are read out of it.

use super::Table;
use crate::capacity::slope::{Claim, Slope};
use crate::capacity::{control, data_path, events, simulated_routers};
use crate::charts;
use crate::drill::Drill;
use crate::drill::play::{Programs, play};
use std::fmt::Write as _;
use std::io;
use std::path::Path;

pub const PAGE: &str = "docs/CAPACITY.md";

/// Slopes, and figures at the size by name.
type Measured = (Vec<Slope>, Vec<(&'static str, f64)>);

/// All that the page has, in the proof's short form or the long one.
fn measured(router: &Path, seed: u64, long: bool) -> io::Result<Measured> {
    let memory = control::memory(seed)?;
    std::thread::scope(|scope| {
        let data = data_path::Settings { long, router: Some(router.to_owned()) };
        let data = scope.spawn(move || data_path::measure(seed, &data));
        let control = control::measure(seed, &control::Settings { long }, memory)?;
        let data = data.join().map_err(|_| io::Error::other("a lane of the proof failed"))?;
        let figures = control::figures(&control).into_iter().chain(data_path::figures(&data)).collect();
        Ok((control.into_iter().chain(data).collect(), figures))
    })
}

/// A line for each figure of the page, and those that only one of the two has.
fn compare(table: &mut Table, page: &str, figures: &[(&'static str, f64)]) {
    for &(name, figure) in figures {
        match Claim::read(page, name) {
            Some(claim) => table.require(
                format!("`{name}`"),
                format!("{} within {:.0}%", claim.value, claim.within * 100.0),
                format!("{figure:.4}"),
                claim.holds(figure),
            ),
            None => {
                table.require(format!("`{name}`"), "stands on the page once", format!("{figure:.4}"), false)
            }
        }
    }
    let claimed = page.lines().filter_map(|line| line.strip_prefix("| `")?.split_once("` |"));
    for (name, _) in claimed.filter(|(name, _)| figures.iter().all(|(known, _)| known != name)) {
        table.require(format!("`{name}`"), "is measured", "no slope gives it", false);
    }
}

pub fn prove(router: &Path, seed: u64) -> io::Result<bool> {
    let mut table = Table::new("capacity");
    let page = std::fs::read_to_string(PAGE)?;
    let (slopes, figures) = measured(router, seed, false)?;
    for slope in &slopes {
        let (fit, (least, most)) = (slope.fit(), slope.range());
        table.report(
            slope.name,
            format!(
                "{} by {}: {:.4} each, {:.4} at none, {:.0}% off at most, {least:.4} to {most:.4}",
                slope.y,
                slope.x,
                fit.slope,
                fit.base,
                fit.error * 100.0
            ),
        );
    }
    compare(&mut table, &page, &figures);
    Ok(table.print())
}

/// Datagrams a router a second, hollow and as processes, at so many routers and groups.
pub fn beside(
    programs: Programs<'_>,
    routers: usize,
    groups: u32,
    seed: u64,
) -> io::Result<((f64, f64), (f64, f64))> {
    let mut drill = Drill {
        routers,
        uneven: 1.0,
        roaming: 0.0,
        clients: 10 * routers,
        phases: vec![(8.0, 25.0 * routers as f64)],
        ..Drill::default()
    };
    drill.scenario.groups = groups;
    let played = play(&drill, programs, seed)?;
    if !played.fallen.is_empty() {
        return Err(io::Error::other(played.fallen.join("; ")));
    }
    let shape = simulated_routers::Shape { seed, ..simulated_routers::Shape::of(routers, groups as usize) };
    let rates = control::rates(&shape, 8.0)?;
    Ok((
        super::datagrams_of(&drill, &played),
        (rates.words + rates.membership, rates.words_bytes + rates.membership_bytes),
    ))
}

/// The longer runs, into a folder.
pub fn long(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<()> {
    std::fs::create_dir_all(out)?;
    let mut text = format!("# Runs of `make capacity SEED={seed}`\n");
    let mut write = |part: String| -> io::Result<()> {
        println!("{part}");
        text.push_str(&part);
        std::fs::write(out.join("control.md"), &text)
    };
    let control = control::measure(seed, &control::Settings { long: true }, control::memory(seed)?)?;
    let mut part = String::from(
        "\n## Slopes of control\n\n\
         | slope | y | x | points | each | base | error of the fit |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for slope in &control {
        let points: Vec<String> = slope.points.iter().map(|(x, y)| format!("{x:.5}: {y:.3}")).collect();
        let fit = slope.fit();
        let (points, error) = (points.join(", "), fit.error * 100.0);
        // Writing to a string can't fail.
        let _ = writeln!(
            part,
            "| {} | {} | {} | {points} | {:.5} | {:.4} | {error:.1}% |",
            slope.name, slope.y, slope.x, fit.slope, fit.base
        );
        let lines = [
            ("measured", slope.points.clone()),
            ("fit", slope.points.iter().map(|&(x, _)| (x, fit.at(x))).collect()),
        ];
        if matches!(slope.name, "words_datagrams" | "words_by_routers" | "control_cpu" | "death_known") {
            charts::lines(
                &out.join(format!("{}.svg", slope.name)),
                slope.name,
                (slope.x, slope.y),
                &lines,
                false,
            )?;
        }
    }
    part.push_str("\n| figure at the size | value |\n|---|---|\n");
    for (name, figure) in control::figures(&control) {
        let _ = writeln!(part, "| {name} | {figure:.4} |");
    }
    write(part)?;
    let mut part = String::from(
        "\n## Hollow routers beside processes\n\n\
         | routers | groups | processes, datagrams/s a router, bytes/s | hollow | off |\n\
         |---|---|---|---|---|\n",
    );
    for (routers, groups) in [(16, 2), (16, 8), (16, 32)] {
        let (real, hollow) = beside(programs, routers, groups, seed)?;
        let off = (hollow.0 / real.0 - 1.0) * 100.0;
        let _ = writeln!(
            part,
            "| {routers} | {groups} | {:.1}, {:.0} | {:.1}, {:.0} | {off:+.1}% |",
            real.0, real.1, hollow.0, hollow.1
        );
    }
    write(part)?;
    let mut part = String::from(
        "\n## Events, 460 routers and 8 groups, times in s since each began\n\n\
         | event | moments | before, datagrams/s a router, bytes/s | at the most | refused | \
         discovery, MB |\n|---|---|---|---|---|---|\n",
    );
    let next = std::sync::atomic::AtomicUsize::new(0);
    let lane = || -> io::Result<Vec<events::Told>> {
        let mut done = Vec::new();
        while let Some(name) = events::NAMES.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed)) {
            done.push(events::play(name, control::ROUTERS, 8, seed)?);
        }
        Ok(done)
    };
    let told = std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..3).map(|_| scope.spawn(lane)).collect();
        lanes.into_iter().map(super::lane).collect::<io::Result<Vec<_>>>()
    })?;
    for told in told.into_iter().flatten() {
        let moments: Vec<String> = told.moments.iter().map(|(what, at)| format!("{what} {at:.2}")).collect();
        let _ = writeln!(
            part,
            "| {} | {} | {:.1}, {:.0} | {:.1}, {:.0} | {:.2}% | {:.2} |",
            told.name,
            moments.join("; "),
            told.before.0,
            told.before.1,
            told.most.0,
            told.most.1,
            told.refused * 100.0,
            told.discovery as f64 / 1e6
        );
    }
    write(part)
}

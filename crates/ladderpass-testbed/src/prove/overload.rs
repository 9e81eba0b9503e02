//! The proof of a router's own overload: its cost, how it says no, and what holds at three and five times its load.

use super::Table;
use crate::charts;
use crate::load::{Pace, Plan};
use crate::router::{self, Start};
use crate::run::{self, RunRecord, open};
use ladderpass_emulator::Scenario;
use ladderpass_routing::Span;
use std::io;
use std::path::Path;

/// Multiples of the calm load at which goodput is measured.
const STEPS: [f64; 5] = [0.5, 1.0, 2.0, 3.0, 5.0];
const BESIDE: [f64; 3] = [0.5, 1.0, 5.0];
const CALM_PARTS: [f64; 3] = [0.35, 0.39, 0.43];
/// A router meets each load after so long at a half of the calm one, with its connections open.
const WARM: f64 = 0.3;
/// All of what may be refused is, so that what refusing costs can be measured alone.
const REFUSES_ALL: &str = "overload:\n  memory: {from: 0.0001, full: 0.0002}\n";
pub const WATCHES: &str = "log: {figures: 200ms}\noverload: {}\n";

/// The machine's first core has most of its interrupts: the router gets the last.
fn last_core() -> usize {
    router::cores() - 1
}

fn start(binary: &Path, operator: Option<&str>) -> Start {
    Start { operator: operator.map(str::to_owned), cpu: Some(last_core()), ..Start::new(binary) }
}

/// CPU microseconds an RPC, and the part pushed back, with clients that each ask again once they are answered.
fn cost(
    scenario: &Scenario,
    start: &Start,
    clients: usize,
    pipeline: usize,
    secs: f64,
    seed: u64,
) -> io::Result<(f64, f64, f64)> {
    let pace = Pace::Closed(Span::from_secs_f64(secs));
    let seen = run::run(
        scenario,
        start,
        &Plan { pace, connections: clients, pipeline, seed, ..Plan::default() },
        vec![],
    )?;
    let total = seen.outcome.total();
    let due = total.due.max(1) as f64;
    Ok((seen.cpu * 1e6 / due, total.pushed_back as f64 / due, due / secs))
}

/// CPU of a step, as if all of it were at its full rate.
fn core_used(seen: &RunRecord) -> f64 {
    seen.cpu / (WARM * 0.5 + 0.5)
}

/// Is the router calm at this rate? It refuses nothing, answers in time, and comes round quickly. What of its core is idle
/// says nothing of that: with little to do it takes RPCs one by one, at twice the CPU of those taken in batches, so that
/// a core is all but busy at half of what it serves at most.
fn is_calm(seen: &RunRecord) -> bool {
    let total = seen.counts(WARM, WARM + 0.5);
    total.good as f64 >= 0.999 * total.due as f64 && seen.delay_ms(0.99, WARM, WARM + 0.5) < 5.0
}

pub fn prove(binary: &Path, earlier: Option<&Path>, seed: u64, out: &Path) -> io::Result<bool> {
    let scenario = Scenario::default();
    let mut table = Table::new("overload");
    let (plain, watching) = (start(binary, None), start(binary, Some(WATCHES)));

    // What an RPC costs, beside the earlier program by turns in the same run.
    if let Some(earlier) = earlier {
        let (mut ours, mut theirs) = (0.0, 0.0);
        for turn in 0..2 {
            theirs += cost(&scenario, &start(earlier, None), 64, 1, 0.6, seed + turn)?.0;
            ours += cost(&scenario, &plain, 64, 1, 0.6, seed + turn)?.0;
        }
        let told = format!("{:.1} us for {:.1} us: {:.2}", ours / 2.0, theirs / 2.0, ours / theirs);
        table.require("CPU an RPC, of the earlier program's", "under 0.65", told, ours < 0.65 * theirs);
        let crowd = cost(&scenario, &start(earlier, None), 1000, 1, 0.6, seed)?;
        table.report("pushed back, earlier, 1,000 clients", format!("{:.2}%", crowd.1 * 100.0));
    } else {
        table.report("CPU an RPC, of the earlier program's", "not measured: no --earlier");
    }
    let crowd = cost(&scenario, &plain, 1000, 1, 0.6, seed)?;
    table.require(
        "pushed back, 1,000 clients, idle members",
        "under 0.1%",
        format!("{:.2}%", crowd.1 * 100.0),
        crowd.1 < 0.001,
    );

    // Saying no.
    let (serve, _, most) = cost(&scenario, &plain, 200, 16, 0.4, seed)?;
    let (refuse, pushed, _) = cost(&scenario, &start(binary, Some(REFUSES_ALL)), 200, 16, 0.4, seed)?;
    let told = format!("{refuse:.1} us for {serve:.1} us: {:.2}", refuse / serve);
    table.require(
        "refusing, of serving, clients with 16 out",
        "at most 0.40",
        told,
        refuse <= 0.4 * serve && pushed > 0.99,
    );
    let (one, ..) = cost(&scenario, &plain, 64, 1, 0.3, seed)?;
    let (no, ..) = cost(&scenario, &start(binary, Some(REFUSES_ALL)), 64, 1, 0.3, seed)?;
    table.report(
        "  and clients with a single one out",
        format!("{no:.1} us for {one:.1} us: {:.2}", no / one),
    );

    // The load that it serves when calm, found by steps of what it serves at most in this run: three times the last one
    // is a third more than that, and three times the first one a little.
    let mut calm = 0.0;
    'steps: for part in CALM_PARTS {
        let phases = [(WARM, most * part * 0.5), (0.5, most * part)];
        // Two of three, as another process of the machine may come in between.
        let (mut held, mut failed) = (0, 0);
        while held < 2 {
            let seen = run::run(&scenario, &watching, &open(seed + held + failed, &phases), vec![])?;
            if is_calm(&seen) {
                held += 1;
                continue;
            }
            failed += 1;
            let (counts, delay) = (seen.counts(WARM, WARM + 0.5), seen.delay_ms(0.99, WARM, WARM + 0.5));
            let (good, due, cpu) = (counts.good, counts.due, core_used(&seen) * 100.0);
            let told = format!("{good} of {due} good, loop delay p99 {delay:.1} ms, CPU {cpu:.0}%");
            table.report(format!("  not calm at {:.0} RPCs/s", most * part), told);
            if failed == 2 {
                break 'steps;
            }
        }
        calm = most * part;
    }
    table.require("calm load", "found", format!("{calm:.0} RPCs/s, of {most:.0} at most"), calm > 0.0);
    if calm == 0.0 {
        return Ok(table.print());
    }

    // Three times that, and back, with and without the operator's file.
    let phases = [(WARM, calm * 0.5), (1.0 - WARM, calm), (2.5, calm * 3.0), (2.5, calm)];
    let with = run::run(&scenario, &watching, &open(seed, &phases), vec![])?;
    let without = run::run(&scenario, &plain, &open(seed, &phases[..3]), vec![])?;
    let writes = scenario.methods.iter().position(|method| method.writes).unwrap_or(0);
    let ok = |seen: &RunRecord| {
        let counts = seen.outcome.of(writes);
        counts.ok as f64 / counts.due.max(1) as f64
    };
    let silent = |seen: &RunRecord| {
        let total = seen.outcome.total();
        total.late + total.unanswered + total.unsent
    };
    let delay = with.delay_ms(0.999, 0.5, 6.0);
    let beside = |text: String| format!("{text} without the file");
    table.require(
        "3x: 99.9th percentile of loop delay",
        "under 50 ms",
        format!("{delay:.1} ms; {}", beside(format!("{:.1} ms", without.delay_ms(0.999, 0.5, 3.5)))),
        delay < 50.0,
    );
    let (at, took) = with.slowest();
    table.report("3x: slowest round", format!("{took:.1} ms, {at:.2} s after the start"));
    table.require(
        "3x: writes answered ok",
        "above 99%",
        format!("{:.2}%; {}", ok(&with) * 100.0, beside(format!("{:.2}%", ok(&without) * 100.0))),
        ok(&with) > 0.99,
    );
    table.require(
        "3x: clients without an answer in their time",
        "none",
        format!("{}; {}", silent(&with), beside(silent(&without).to_string())),
        silent(&with) == 0,
    );
    let broken = with.broken(Span::from_millis(50));
    let told = if broken.is_empty() {
        format!("none in {} call-outs", with.truth.executions.len())
    } else {
        broken.join("; ")
    };
    table.require("3x: rules broken", "none", told, broken.is_empty());
    let total = with.outcome.total();
    table.require(
        "3x: the load kept up",
        "under 20 ms late",
        format!("{:.1} ms", with.outcome.behind.secs() * 1e3),
        with.outcome.behind < Span::from_millis(20),
    );
    let rate = with.level_changes() as f64 / 6.0;
    table.require("3x: changes of level a second", "under 3", format!("{rate:.2}"), rate < 3.0);
    // The last half second: all that is due then is answered well, two seconds after the load fell.
    let after = with.counts(5.5, 5.9);
    let (due, good) = (after.due, after.good);
    table.require(
        "back at 1x: good after 2 s",
        "above 99.9%",
        format!("{good} of {due}"),
        due > 0 && good as f64 >= 0.999 * due as f64,
    );
    let mean = |seen: &RunRecord| seen.outcome.utility_rate(1.0, 3.5) / 1e3;
    table.report(
        "3x: utility a second",
        format!("{:.0}k; {}", mean(&with), beside(format!("{:.0}k", mean(&without)))),
    );
    table.report(
        "3x: pushed back",
        format!("{:.1}% of {}", total.pushed_back as f64 * 100.0 / total.due.max(1) as f64, total.due),
    );
    table.report(
        "3x: CPU of the router",
        format!("{:.2} of a core; {}", with.cpu / 6.0, beside(format!("{:.2}", without.cpu / 3.5))),
    );

    // Goodput against offered load.
    let mut curves = Vec::new();
    for (start, steps) in [(&watching, &STEPS[..]), (&plain, &BESIDE[..])] {
        let mut curve = Vec::new();
        for &step in steps {
            let secs = 0.5;
            let seen = run::run(
                &scenario,
                start,
                &open(seed, &[(WARM, calm * 0.5), (0.2, calm * step), (secs, calm * step)]),
                vec![],
            )?;
            curve.push((step, seen.outcome.utility_rate(WARM + 0.2, WARM + 0.2 + secs)));
        }
        curves.push(curve);
    }
    let flat = |curve: &[(f64, f64)]| {
        let best = curve.iter().map(|point| point.1).fold(0.0, f64::max);
        curve.last().map_or(0.0, |last| last.1 / best.max(1e-9))
    };
    let (ours, theirs) = (flat(&curves[0]), flat(&curves[1]));
    table.require(
        "5x: goodput, of its best at any load",
        "at least 0.90",
        format!("{ours:.2}; {}", beside(format!("{theirs:.2}"))),
        ours >= 0.9,
    );
    std::fs::create_dir_all(out)?;
    charts::goodput(
        &out.join("goodput.svg"),
        &[("watching itself", &curves[0]), ("without the file", &curves[1])],
    )?;
    charts::delays(
        &out.join("delay.svg"),
        &[("watching itself", &with.delays(1.0, 3.5)), ("without the file", &without.delays(1.0, 3.5))],
    )?;
    charts::over_time(&out.join("over-time.svg"), &scenario, &with)?;
    let holds = table.print();
    Ok(holds)
}

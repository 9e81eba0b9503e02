//! The proof that no cold member is pushed over by the sum of many routers that don't talk: 8, 24 and 30 processes before
//! members of which some start cold, with bursts and with a third of the routers killed and started within the ramp. Counted
//! by the members, over all windows of the settings' overload time; beside it the program before, and one that knows no ramp.

use super::{Table, kept, plays};
use crate::charts::{self, Line};
use crate::drill::play::{DrillRecord, Programs};
use crate::drill::{Drill, FaultEvent};
use crate::history_checker::cold_at_members;
use ladderpass_emulator::Scenario;
use ladderpass_routing::Time;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// Members of each group. In a burst the clients ask for as much as a group bears warm.
const MEMBERS: u32 = 3;
const BURST: f64 = 1.5;

/// Routers before groups, at so many RPCs a second for each; phases in seconds, with a factor to that.
fn drill(routers: usize, groups: u32, rate: f64, phases: [(f64, f64); 3], cold: Vec<u32>) -> Drill {
    let scenario =
        Scenario { groups, replicas: MEMBERS - 1, cold, routers: routers as u32, ..Scenario::default() };
    Drill {
        routers,
        peers: false,
        uneven: 4.0,
        clients: routers * 4,
        phases: phases.map(|(secs, factor)| (secs, rate * f64::from(groups) * factor)).to_vec(),
        settles_s: 0.1,
        // What is asked is what members get, not how soon a busy machine answers.
        deadline_ms: 2000,
        grace_ms: 500,
        bears: rate * BURST / f64::from(MEMBERS),
        log: "warn".into(),
        scenario,
        ..Drill::default()
    }
}

/// The ramp takes 10 s from before the routers' start: a burst in its middle.
const BURSTS: [(f64, f64); 3] = [(2.5, 1.0), (2.5, BURST), (2.5, 1.0)];
/// A burst from the start on, which is when what a cold member bears is least of what clients ask for.
const AT_ONCE: [(f64, f64); 3] = [(4.0, BURST), (2.0, 1.0), (0.5, 1.0)];

/// A third of the routers is killed and started again in the middle of the ramp.
fn restarted(drill: Drill) -> Drill {
    let third: Vec<String> = (0..drill.routers / 3).map(|nth| format!("r{}", nth * 3)).collect();
    let deeds = vec![FaultEvent { at: 3.0, start: third, ..FaultEvent::default() }];
    Drill { deeds, ..drill }
}

/// Two replicas of three are cold: all that they may get is taken.
fn hardest() -> Drill {
    drill(8, 1, 240.0, AT_ONCE, vec![1, 2])
}

/// What the settings allow in a window at the start of the ramp, and at its end.
fn bears(drill: &Drill) -> (f64, f64) {
    let window = drill.bears * drill.scenario.overload_ms / 1e3;
    (window * 0.2, window)
}

type Points = Vec<(f64, f64)>;

/// RPCs within a window before each time, and what is allowed then, of the first member that started cold.
fn windows(played: &DrillRecord) -> Option<(Points, Points)> {
    let started = played.started.first()?;
    let came = played.truth.arrivals.iter().filter(|came| came.member == started.member);
    let times: Vec<Time> = came.map(|came| came.at).collect();
    let (warm, window) = (started.warm_within.secs(), started.overload_for.secs());
    let (mut got, mut most) = (Vec::new(), Vec::new());
    for step in 0..=(warm / 0.1) as usize {
        let age = step as f64 * 0.1;
        let within = times.iter().filter(|&&at| {
            let behind = age - (at - started.at).secs();
            (0.0..window).contains(&behind)
        });
        // The middle of the window tells its mean, but for its bend at the start.
        let part = started.cold_from + (1.0 - started.cold_from) * ((age - window / 2.0) / warm).max(0.0);
        let bears = started.capacity * window * part;
        got.push((age, within.count() as f64));
        most.push((age, bears + 2.0 * bears.sqrt() + 2.0));
    }
    Some((got, most))
}

pub fn prove(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<bool> {
    let mut table = Table::new("fleet-ramp");
    if !table.require_faulty_build(programs) {
        return Ok(table.print());
    }
    // Of a few groups a primary is cold, in others one replica, or two.
    let eight = drill(8, 1, 600.0, BURSTS, vec![2]);
    let many = restarted(drill(24, 6, 60.0, BURSTS, vec![0, 4, 7, 8, 11, 14, 16, 17]));
    let few = restarted(drill(30, 8, 6.0, BURSTS, vec![0, 4, 7, 8, 11, 13, 14, 17, 20, 23]));
    let [of_eight, of_many, of_few] = plays([&eight, &many, &few], programs, seed)?;
    let all = |name: usize| format!("r{name}");
    let ignores = Drill {
        faulty: (0..8).map(|nth| (all(nth), "ignores-warm-up".to_owned())).collect::<BTreeMap<_, _>>(),
        ..hardest()
    };
    let before = Drill { earlier: (0..8).map(all).collect(), ..hardest() };
    let (hard, ignored, earlier) = match programs.earlier {
        Some(_) => {
            let [hard, ignored, earlier] = plays([&hardest(), &ignores, &before], programs, seed)?;
            (hard, ignored, Some(earlier))
        }
        None => {
            let [hard, ignored] = plays([&hardest(), &ignores], programs, seed)?;
            (hard, ignored, None)
        }
    };
    let rows = [
        ("8 routers, one of three cold", &eight, &of_eight),
        ("24, eight of 18, a third restarts", &many, &of_many),
        ("30, ten of 24, a third restarts", &few, &of_few),
        ("8, two of three cold, a burst at once", &hardest(), &hard),
    ];
    let text = |played: &DrillRecord| {
        let (broken, roots) = cold_at_members(&played.started, &played.truth);
        let first = broken.first().map_or(String::new(), |first| format!("; {}", first.text));
        (format!("{} broken, {roots:.2} roots{first}", broken.len()), broken.is_empty() && roots.is_finite())
    };
    for (what, drill, played) in rows {
        let (least, most) = bears(drill);
        let (told, holds) = text(played);
        table.require(format!("{what}: N {least:.0} to {most:.0}"), "2 roots beyond N + 2", told, holds);
    }
    let (told, holds) = text(&ignored);
    table.require("  the last with ignores-warm-up", "told apart", told, !holds);
    match &earlier {
        Some(earlier) => {
            let (told, holds) = text(earlier);
            table.require("  the last with the program before", "told apart", told, !holds);
        }
        None => table.report("  the last with the program before", "not built: make earlier NAME=fleet-ramp"),
    }
    for (what, drill, played) in rows {
        if drill.deeds.is_empty() {
            kept(&mut table, what, played);
            continue;
        }
        // What routers held that were killed is lost, and clients of few RPCs rest until they are closed, some as they
        // ask: answers are told here, and asked for where nobody is killed.
        let unanswered = played.violations.iter().filter(|violation| violation.rule == 1).count();
        let other = played.violations.iter().find(|violation| violation.rule != 1).map(ToString::to_string);
        let other = other.or(played.fallen.first().cloned());
        let text = format!("{}; {unanswered} unanswered", other.as_deref().unwrap_or("none"));
        table.require(format!("{what}: rules 2 to 5 broken"), "none", text, other.is_none());
    }
    let served = |played: &DrillRecord| {
        let total = played.outcome.total();
        format!("{:.4}", total.ok as f64 / total.due.max(1) as f64)
    };
    let other = earlier.as_ref().map_or(String::new(), |played| format!(", before {}", served(played)));
    table.report("served of what was asked, two of three cold", format!("{}{other}", served(&hard)));
    std::fs::create_dir_all(out)?;
    let mut lines: Vec<Line<'_>> = Vec::new();
    if let Some((got, most)) = windows(&hard) {
        lines.extend([("allowed", most), ("shares paid out", got)]);
    }
    if let Some((got, _)) = earlier.as_ref().and_then(windows) {
        lines.push(("before", got));
    }
    if let Some((got, _)) = windows(&ignored) {
        lines.push(("ignores-warm-up", got));
    }
    charts::lines(
        &out.join("window.svg"),
        "RPCs within 3 s at a cold member, by its age",
        ("seconds", "RPCs"),
        &lines,
        false,
    )?;
    Ok(table.print())
}

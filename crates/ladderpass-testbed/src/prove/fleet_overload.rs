//! The proof that the fleet sheds as one: eight routers with uneven parts of three times what the members can do, beside the
//! same routers each alone and beside one that sees all; kills and a split at the peak; faulty builds told apart; cost.

use super::{Table, datagrams_of, hard_pressed, kept, lane, named, plays};
use crate::charts::{self, Line};
use crate::drill::play::{DrillRecord, Programs, play};
use crate::drill::{Drill, FaultEvent};
use ladderpass_emulator::Scenario;
use ladderpass_invariants::Answer;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

const ON: &str = "fleet: {sheds: true}\nlog: {figures: 250ms}";
const OFF: &str = "log: {figures: 250ms}";
const ROUTERS: usize = 8;
/// RPCs a second: about 300 fit, and a tenth are writes of four times a read's utility, which all would.
const RATE: f64 = 750.0;
const SECS: f64 = 8.0;
const WRITES: usize = 1;
/// When a third is killed, when the rest is split and for how long, and when that drill ends.
const KILLED: f64 = 3.0;
const SPLIT: (f64, f64) = (5.0, 6.0);
const ENDS: f64 = 18.0;
/// What a router with its clock off, or one that tells nothing, is shown in.
const SHORT_SECS: f64 = 5.0;

fn scenario() -> Scenario {
    hard_pressed([0.9, 0.1])
}

fn drill(routers: usize, operator: &str, secs: f64) -> Drill {
    Drill {
        routers,
        uneven: 8.0,
        roaming: 0.0,
        clients: 600,
        phases: vec![(secs, RATE)],
        scenario: scenario(),
        operator: operator.into(),
        ..Drill::default()
    }
}

/// One that sees all: the other gets a thousandth.
fn single() -> Drill {
    Drill { uneven: 1000.0, peers: false, ..drill(2, OFF, SECS) }
}

fn harmed() -> Drill {
    let sides = vec![named(&["r0", "r1", "r3"]), named(&["r4", "r6", "r7"])];
    let deeds = vec![
        FaultEvent { at: KILLED, kill: named(&["r2", "r5", "r8"]), ..FaultEvent::default() },
        FaultEvent { at: SPLIT.0, lasts: SPLIT.1, split: sides, ..FaultEvent::default() },
    ];
    Drill { deeds, ..drill(9, ON, ENDS) }
}

/// Clocks 200 ms apart, and one router without words, of the earlier program where there is one.
fn apart(programs: Programs<'_>) -> Drill {
    let clock = |nth: usize| (format!("r{nth}"), if nth.is_multiple_of(2) { 100 } else { -100 });
    let mut drill = drill(ROUTERS, ON, SHORT_SECS);
    drill.clocks = (0..ROUTERS - 2).map(clock).collect();
    let last = named(&["r7"]);
    if programs.earlier.is_some() {
        drill.earlier = last
    } else {
        drill.quiet = last
    }
    drill
}

fn utility(played: &DrillRecord, from: f64, to: f64) -> f64 {
    played.outcome.utility_rate(from, to)
}

/// What a single router that sees all would have served a second of what another drill asked in a time: all writes, and reads
/// as far as the members can. Writes come by chance, and weigh four times.
fn as_single(single: &DrillRecord, played: &DrillRecord, from: f64, to: f64) -> f64 {
    let counts = |played: &DrillRecord, from: f64, to: f64, of: fn(&crate::load::Counts) -> u64| {
        let slices = played.outcome.within(from, to);
        let sum = slices.fold([0, 0], |sum, slice| [0, 1].map(|nth| sum[nth] + of(&slice.counts[nth])));
        sum.map(|count| count as f64 / (to - from))
    };
    let room: f64 = counts(single, 1.0, SECS, |counts| counts.good).iter().sum();
    let writes = counts(played, from, to, |counts| counts.due)[WRITES];
    let worth = scenario().methods;
    writes * worth[WRITES].utility + (room - writes) * worth[1 - WRITES].utility
}

/// Part of the writes served well: of all, and at the worst router that had some. One miss of fewer than twenty writes is
/// more than a twentieth, and tells nothing: there the first one isn't counted.
fn writes(drill: &Drill, played: &DrillRecord) -> (f64, f64) {
    let total = played.outcome.of(WRITES);
    let mut worst = 1.0f64;
    for router in 0..drill.routers {
        let sent = played.outcome.journal.iter().filter(|e| e.router == router && e.method == WRITES);
        let (mut due, mut good) = (0.0f64, 0.0f64);
        for entry in sent {
            due += 1.0;
            good += f64::from(u8::from(matches!(entry.answered, Some((_, Answer::Ok, _)))));
        }
        let good = if due < 20.0 { good + 1.0 } else { good };
        if due >= 10.0 {
            worst = worst.min(good / due);
        }
    }
    (total.good as f64 / total.due.max(1) as f64, worst)
}

/// How long the middle pushback of a router's clients took, in milliseconds.
fn pushback_ms(played: &DrillRecord, router: usize) -> f64 {
    let mut times: Vec<f64> = played
        .outcome
        .journal
        .iter()
        .filter(|entry| entry.router == router && secs_of(played, entry) > 2.0)
        .filter_map(|entry| match entry.answered {
            Some((at, Answer::Rejected, _)) => Some((at - entry.sent).secs() * 1e3),
            _ => None,
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(0.0)
}

fn secs_of(played: &DrillRecord, entry: &crate::load::RpcRecord) -> f64 {
    (entry.sent - played.outcome.began).secs()
}

/// The values of a field in a router's log lines on shared admission control, of the last `last` lines.
fn figures(played: &DrillRecord, router: usize, field: &str, last: usize) -> Vec<f64> {
    let lines: Vec<&String> =
        played.logs[router].iter().filter(|line| line.contains("ladderpass::fleet")).collect();
    let number = |line: &&&String| {
        let (_, value) = line.split_once(&format!(" {field}="))?;
        value.split_whitespace().next()?.parse().ok()
    };
    lines[lines.len().saturating_sub(last)..].iter().filter_map(|line| number(&line)).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// CPU microseconds an RPC of all routers, in calm, with it on and off: both at once, so that the machine's other work
/// hits both.
fn costs(programs: Programs<'_>, seed: u64) -> io::Result<[f64; 2]> {
    std::thread::scope(|scope| {
        let on = scope.spawn(|| cost(programs, ON, seed));
        let off = scope.spawn(|| cost(programs, OFF, seed));
        Ok([lane(on)?, lane(off)?])
    })
}

fn cost(programs: Programs<'_>, operator: &str, seed: u64) -> io::Result<f64> {
    let drill = Drill {
        routers: 2,
        uneven: 1.0,
        clients: 100,
        phases: vec![(2.0, 2000.0)],
        operator: operator.into(),
        scenario: Scenario::default(),
        ..Drill::default()
    };
    let played = play(&drill, programs, seed)?;
    Ok(played.cpu.iter().sum::<f64>() * 1e6 / played.outcome.total().due.max(1) as f64)
}

fn load_of(programs: Programs<'_>, routers: usize, seed: u64) -> io::Result<(f64, f64)> {
    let drill = Drill {
        routers,
        rests_s: 2.0,
        phases: vec![(3.0, 100.0)],
        clients: 40,
        operator: ON.into(),
        ..Drill::default()
    };
    let played = play(&drill, programs, seed)?;
    Ok(datagrams_of(&drill, &played))
}

pub fn prove(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<bool> {
    let mut table = Table::new("fleet-overload");
    if !table.require_faulty_build(programs) {
        return Ok(table.print());
    }
    let (on, alone) = (drill(ROUTERS, ON, SECS), drill(ROUTERS, OFF, SECS));
    let one = |switch: &str| BTreeMap::from([("r0".to_owned(), switch.to_owned())]);
    let ignores = Drill { faulty: one("ignores-the-floor"), ..drill(ROUTERS, ON, SHORT_SECS) };
    let tells = Drill { faulty: one("tells-tenfold"), ..drill(ROUTERS, ON, SHORT_SECS) };
    let apart = apart(programs);
    let all = (0..9).map(|nth| (format!("r{nth}"), "keeps-the-deads-words".to_owned())).collect();
    let keeps = Drill { faulty: all, ..harmed() };
    // What is compared runs side by side: what else the machine does hits all alike.
    let [seen, fleet, each] = plays([&single(), &on, &alone], programs, seed)?;
    let (harm, keeps, ignores, tells, clocks) = std::thread::scope(|scope| {
        let harm = scope.spawn(|| play(&harmed(), programs, seed));
        let keeps = scope.spawn(|| play(&keeps, programs, seed));
        let in_turn = scope.spawn(|| {
            [&ignores, &tells, &apart].map(|drill| play(drill, programs, seed)).into_iter().collect()
        });
        let short: Vec<DrillRecord> = lane(in_turn)?;
        let [ignores, tells, apart]: [DrillRecord; 3] =
            short.try_into().map_err(|_| io::Error::other("three were played"))?;
        io::Result::Ok((lane(harm)?, lane(keeps)?, ignores, tells, apart))
    })?;
    // What is asked in the last moment waits for members that nobody asks any more: it is no part of the overload.
    let until = SECS - 0.6;
    let of = |played: &DrillRecord| utility(played, 0.0, until) / utility(&seen, 0.0, until).max(1e-9);
    let beside = format!("{:.3}; each alone {:.3}", of(&fleet), of(&each));
    table.require("utility, of the router that sees all", "at least 0.95", beside, of(&fleet) >= 0.95);
    let (good, worst) = writes(&on, &fleet);
    let (good_each, worst_each) = writes(&alone, &each);
    table.require(
        "writes served well",
        "at least 0.98",
        format!("{good:.3}; each alone {good_each:.3}"),
        good >= 0.98,
    );
    table.require(
        "  at the worst router",
        "at least 0.95",
        format!("{worst:.3}; each alone {worst_each:.3}"),
        worst >= 0.95,
    );
    kept(&mut table, "three times what fits", &fleet);
    kept(&mut table, "a third killed, a split", &harm);
    let last = SPLIT.0 + SPLIT.1;
    let after = utility(&harm, last + 2.0, ENDS - 0.5) / as_single(&seen, &harm, last + 2.0, ENDS - 0.5);
    table.require("utility 2 s after the last fault", "at least 0.95", format!("{after:.3}"), after >= 0.95);
    let (from, to) = (SPLIT.0 + 2.0, last);
    let within = utility(&harm, from, to) / as_single(&seen, &harm, from, to);
    table.require(
        "  in the split, from its 2nd second on",
        "at least 0.9",
        format!("{within:.3}"),
        within >= 0.9,
    );
    kept(&mut table, "clocks 200 ms apart, one without words", &clocks);
    let (good, _) = writes(&apart, &clocks);
    let part = utility(&clocks, 2.0, SHORT_SECS) / as_single(&seen, &clocks, 2.0, SHORT_SECS);
    let text = format!("utility {part:.3}, writes {good:.3}");
    table.require("  served", "at least 0.85 and 0.95", text, part >= 0.85 && good >= 0.95);
    let healthy = (1..ROUTERS).map(|router| pushback_ms(&fleet, router)).fold(0.0, f64::max);
    let faulty = pushback_ms(&ignores, 0);
    table.require(
        "  ignores-the-floor",
        "told apart",
        format!("refuses after {faulty:.0} ms, healthy ones at once ({healthy:.0} ms)"),
        faulty > 10.0 * healthy.max(5.0),
    );
    let bounded = |played: &DrillRecord| {
        mean(
            &(1..ROUTERS)
                .map(|router| mean(&figures(played, router, "clamped_reports", 8)))
                .collect::<Vec<_>>(),
        )
    };
    let (lied, honest) = (bounded(&tells), bounded(&fleet));
    table.require(
        "  tells-tenfold",
        "told apart",
        format!("words cut to the bound {lied:.2}, among honest ones {honest:.2}"),
        lied >= 0.8 && lied > 1.5 * honest,
    );
    let words = |played: &DrillRecord| mean(&figures(played, 0, "reports", 6));
    table.require(
        "  keeps-the-deads-words",
        "told apart",
        format!("{:.1} words of others with 5 alive, healthy {:.1}", words(&keeps), words(&harm)),
        words(&keeps) > 7.5 && words(&harm) < 5.5,
    );
    let mut pairs = Vec::new();
    for turn in 0..4 {
        pairs.push(costs(programs, seed + turn)?);
    }
    let least = |nth: usize| pairs.iter().map(|pair| pair[nth]).fold(f64::MAX, f64::min);
    let mut ratios: Vec<f64> = pairs.iter().map(|[with, without]| with / without).collect();
    ratios.sort_by(f64::total_cmp);
    let middle = (ratios[1] + ratios[2]) / 2.0;
    table.require(
        "CPU an RPC, of the program with it off",
        "at most 1.05",
        format!("{middle:.3}, the middle of four pairs; {:.1} us for {:.1} us", least(0), least(1)),
        middle <= 1.05,
    );
    let loads = std::thread::scope(|scope| {
        let lanes = [4, 8, 16, 32].map(|count| (count, scope.spawn(move || load_of(programs, count, seed))));
        let done = lanes.into_iter().map(|(count, handle)| Ok((count, lane(handle)?)));
        done.collect::<io::Result<Vec<(usize, (f64, f64))>>>()
    })?;
    for (part, what) in [(0, "datagrams"), (1, "bytes")] {
        let of = |load: &(f64, f64)| if part == 0 { load.0 } else { load.1 };
        let all: Vec<f64> = loads.iter().map(|(_, load)| of(load)).collect();
        let (least, most) =
            (all.iter().copied().fold(f64::MAX, f64::min), all.iter().copied().fold(0.0, f64::max));
        let told = all.iter().map(|load| format!("{load:.0}")).collect::<Vec<_>>().join(", ");
        let what = format!("{what} a router a second, 4, 8, 16, 32");
        table.require(what, "flat within a fifth", told, most <= 1.2 * least);
    }
    std::fs::create_dir_all(out)?;
    let lines: Vec<Line<'_>> =
        vec![("one sees all", seen.utility()), ("as one", fleet.utility()), ("each alone", each.utility())];
    charts::lines(&out.join("utility.svg"), "Utility", ("seconds", "a second"), &lines, false)?;
    let lines: Vec<Line<'_>> = vec![("a third killed at 3 s, split from 5 to 11 s", harm.utility())];
    charts::lines(&out.join("harmed.svg"), "Utility", ("seconds", "a second"), &lines, false)?;
    let names: Vec<String> = (0..ROUTERS).map(|nth| format!("r{nth}")).collect();
    let floors: Vec<Line<'_>> = names
        .iter()
        .enumerate()
        .map(|(nth, name)| {
            let floors = figures(&fleet, nth, "threshold", usize::MAX);
            let at = |(n, floor): (usize, &f64)| (n as f64 * 0.25, *floor);
            (name.as_str(), floors.iter().enumerate().map(at).collect())
        })
        .collect();
    charts::lines(
        &out.join("floors.svg"),
        "Floor of each router",
        ("seconds of its log", "rank"),
        &floors,
        false,
    )?;
    Ok(table.print())
}

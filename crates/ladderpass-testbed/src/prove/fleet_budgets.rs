//! The proof of the fleet's budgets, as far as they are there: further call-outs while a member, or all, lose their answers,
//! while members refuse, and while routers are killed and split; probes by the number of routers; what a trigger leaves.
//! Call-outs are counted by the members, over all processes.

use super::{Table, hard_pressed, kept, lane, named, plays};
use crate::charts::{self, Line};
use crate::drill::play::{DrillRecord, Programs, play};
use crate::drill::{Drill, FaultEvent};
use ladderpass_emulator::Scenario;
use ladderpass_routing::Span;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

const ON: &str = "fleet: {sheds: true, budgets: true}\nlog: {figures: 250ms}";
const OFF: &str = "fleet: {sheds: true}\nlog: {figures: 250ms}";
const ROUTERS: usize = 8;
/// RPCs a second of the calm, a fifth writes: 0.8 of what three members can do.
const RATE: f64 = 240.0;
/// When answers begin to be lost, and how many; from when on the budget is looked at, and when that drill ends.
const FROM: f64 = 3.0;
const LOST: u32 = 700;
/// On each router's link to the one that loses them.
const LOST_OF_ONE: u32 = 40;
const SPENT: (f64, f64) = (4.0, 6.0);
const ENDS: f64 = 9.0;
/// Probes are counted from then on: all routers have just asked all members before.
const SETTLED: Span = Span::from_millis(1000);
/// When a member is gone, and comes back.
const GONE: (f64, f64) = (3.0, 6.0);

fn drill(operator: &str, phases: Vec<(f64, f64)>, deeds: Vec<FaultEvent>) -> Drill {
    Drill {
        routers: ROUTERS,
        uneven: 4.0,
        roaming: 0.0,
        clients: 200,
        phases,
        scenario: hard_pressed([0.8, 0.2]),
        operator: operator.into(),
        deeds,
        ..Drill::default()
    }
}

/// Answers of all members, or of one, are lost with their connections: the work was done for nothing.
fn loses(operator: &str, member: Option<u32>) -> Drill {
    let rule = |name: &str, link: &str, times: u32| {
        let text = format!("{{name: {name}, {link}when: {{message: DataRow}}, do: close, times: {times}}}");
        FaultEvent {
            at: FROM,
            rule: Some(ladderpass_fault_injection::Rule::read(&text).expect("the proof's own rule")),
            ..FaultEvent::default()
        }
    };
    let deeds = match member {
        None => vec![rule("lost", "", LOST)],
        Some(member) => (0..ROUTERS)
            .map(|router| {
                rule(&format!("lost-{router}"), &format!("link: r{router}>member-{member}, "), LOST_OF_ONE)
            })
            .collect(),
    };
    drill(operator, vec![(ENDS, RATE)], deeds)
}

/// Members that refuse what they can't begin soon, asked for 2.5 times what fits.
fn refusing(operator: &str) -> Drill {
    let mut drill = drill(operator, vec![(6.0, 750.0)], Vec::new());
    drill.scenario = Scenario { queue: 4, ..hard_pressed([0.9, 0.1]) };
    drill.clients = 600;
    drill
}

/// A third of the members gone for 3 s while clients ask again up to three times; routers killed and split meanwhile.
fn triggered(operator: &str) -> Drill {
    let deeds = vec![
        FaultEvent { at: GONE.0, ends: Some(2), ..FaultEvent::default() },
        FaultEvent { at: GONE.0, kill: named(&["r2"]), ..FaultEvent::default() },
        FaultEvent {
            at: GONE.0 + 0.5,
            lasts: 2.0,
            split: vec![named(&["r0", "r1", "r3"]), named(&["r4", "r5", "r6", "r7"])],
            ..FaultEvent::default()
        },
        FaultEvent { at: GONE.1, begins: Some(2), ..FaultEvent::default() },
    ];
    Drill { repeats: 3, ..drill(operator, vec![(12.0, RATE)], deeds) }
}

/// Probes a member a second. Of writes alone no replica tells anything, so that probes are all that is known of them.
fn calm(programs: Programs<'_>, routers: usize, reads: f64, seed: u64) -> io::Result<f64> {
    let mut scenario = Scenario { replicas: 11, ..Scenario::default() };
    for (method, share) in scenario.methods.iter_mut().zip([reads, 1.0 - reads]) {
        method.share = share;
    }
    let drill = Drill {
        routers,
        uneven: 1.0,
        clients: 40,
        phases: vec![(5.0, 100.0)],
        operator: ON.into(),
        scenario,
        rests_s: 2.0,
        ..Drill::default()
    };
    let played = play(&drill, programs, seed)?;
    let from = played.outcome.began;
    let probes = played.truth.health_checks.iter().filter(|(at, _)| *at >= from + SETTLED).count();
    Ok(probes as f64 / drill.scenario.member_count() as f64 / (drill.secs() - SETTLED.secs()))
}

/// Further call-outs as a part of first ones, by the members.
fn part(played: &DrillRecord, from: f64, to: f64) -> f64 {
    let (first, further) = played.callouts(from, to);
    further as f64 / first.max(1) as f64
}

pub fn prove(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<bool> {
    let mut table = Table::new("fleet-budgets");
    if !table.require_faulty_build(programs) {
        return Ok(table.print());
    }
    let all = |switch: &str| {
        (0..ROUTERS).map(|nth| (format!("r{nth}"), switch.to_owned())).collect::<BTreeMap<_, _>>()
    };
    let spends = Drill { faulty: all("spends-without-asking"), ..loses(ON, None) };
    let keeps = Drill { faulty: all("never-gives-back"), ..loses(ON, None) };
    let [lost, without, spends, keeps] =
        plays([&loses(ON, None), &loses(OFF, None), &spends, &keeps], programs, seed)?;
    let [one, one_without, refused, refused_without] =
        plays([&loses(ON, Some(2)), &loses(OFF, Some(2)), &refusing(ON), &refusing(OFF)], programs, seed)?;
    let [trigger, trigger_without] = plays([&triggered(ON), &triggered(OFF)], programs, seed)?;
    let spent = |played: &DrillRecord| part(played, SPENT.0, SPENT.1);
    table.require(
        "all answers lost: further call-outs, of first ones",
        "at most 0.05",
        format!("{:.3}; without budgets {:.3}", spent(&lost), spent(&without)),
        spent(&lost) <= 0.05,
    );
    for (switch, played) in [("spends-without-asking", &spends), ("never-gives-back", &keeps)] {
        let text = format!("{:.3}", spent(played));
        table.require(format!("  {switch}"), "told apart", text, spent(played) > 0.05);
    }
    // Of what was asked in that time, so that chance in what comes is no part of it.
    let rate = |played: &DrillRecord, from: f64, to: f64| {
        let asked = |slice: &crate::load::Slice| -> f64 {
            let methods = Scenario::default().methods;
            slice.counts.iter().zip(&methods).map(|(of, method)| of.due as f64 * method.utility).sum()
        };
        let asked: f64 = played.outcome.within(from, to).map(asked).sum();
        played.outcome.utility_rate(from, to) * (to - from) / asked.max(1e-9)
    };
    let again = rate(&lost, ENDS - 2.0, ENDS) / rate(&lost, 1.0, FROM);
    table.require("  utility once that is over", "at least 0.9", format!("{again:.3}"), again >= 0.9);
    let few = rate(&one, FROM, ENDS) / rate(&one_without, FROM, ENDS);
    table.require(
        "one of three loses answers: utility, of without",
        "at least 0.97",
        format!(
            "{few:.3}; further ones {:.3} for {:.3}",
            part(&one, FROM, ENDS),
            part(&one_without, FROM, ENDS)
        ),
        few >= 0.97,
    );
    let whole = |played: &DrillRecord| part(played, 1.0, 6.0);
    let worth = rate(&refused, 1.0, 6.0) / rate(&refused_without, 1.0, 6.0);
    table.require(
        "members refuse, 2.5 times what fits: further ones",
        "at most 0.25",
        format!(
            "{:.3}, without {:.3}; utility {worth:.3} of without",
            whole(&refused),
            whole(&refused_without)
        ),
        whole(&refused) <= 0.25 && worth >= 0.95,
    );
    let back = |played: &DrillRecord| rate(played, GONE.1 + 2.0, 12.0) / rate(played, 1.0, GONE.0);
    table.require(
        "a member gone 3 s, clients repeat: utility 2 s after",
        "at least 0.95",
        format!("{:.3}, without {:.3}", back(&trigger), back(&trigger_without)),
        back(&trigger) >= 0.95,
    );
    for (what, played) in [
        ("all answers lost", &lost),
        ("one loses answers", &one),
        ("members refuse", &refused),
        ("a member gone, a kill, a split", &trigger),
    ] {
        kept(&mut table, what, played);
    }
    let (bare, told) = std::thread::scope(|scope| {
        let lanes = [0.0, 0.8]
            .map(|reads| [4, 8, 16, 32].map(|count| scope.spawn(move || calm(programs, count, reads, seed))));
        let [bare, told] = lanes.map(|lanes| lanes.into_iter().map(lane).collect::<io::Result<Vec<f64>>>());
        io::Result::Ok((bare?, told?))
    })?;
    let least = |rates: &[f64]| rates.iter().copied().fold(f64::MAX, f64::min);
    let most = |rates: &[f64]| rates.iter().copied().fold(0.0, f64::max);
    let text = |rates: &[f64]| rates.iter().map(|rate| format!("{rate:.2}")).collect::<Vec<_>>().join(", ");
    let flat = most(&bare) <= 1.2 * least(&bare);
    table.require("probes a member a second, 4, 8, 16, 32", "flat within a fifth", text(&bare), flat);
    let fewer = most(&told) <= least(&bare);
    table.require("  where answers tell too", "never more", text(&told), fewer);
    std::fs::create_dir_all(out)?;
    let further = |played: &DrillRecord| -> Vec<(f64, f64)> {
        (0..(ENDS * 4.0) as usize)
            .map(|nth| (nth as f64 * 0.25, part(played, nth as f64 * 0.25, (nth + 1) as f64 * 0.25)))
            .collect()
    };
    let lines: Vec<Line<'_>> = vec![
        ("from the budget", further(&lost)),
        ("without", further(&without)),
        ("spends without asking", further(&spends)),
    ];
    charts::lines(
        &out.join("further.svg"),
        "Further call-outs, of first ones",
        ("seconds", "part"),
        &lines,
        false,
    )?;
    let lines: Vec<Line<'_>> =
        vec![("with budgets", trigger.utility()), ("without", trigger_without.utility())];
    charts::lines(
        &out.join("trigger.svg"),
        "Utility: a member gone from 3 to 6 s",
        ("seconds", "a second"),
        &lines,
        false,
    )?;
    Ok(table.print())
}

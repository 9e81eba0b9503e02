//! The proof of who is alive: kills, freezes, one-way loss, a split and lost datagrams between several processes; faulty
//! builds told apart; each rule shown broken in a joint history by one faulty router among healthy ones.

use super::{Table, datagrams_of, kept, lane, named};
use crate::charts::{self, Line};
use crate::drill::play::{DrillRecord, Programs, play};
use crate::drill::{Drill, FaultEvent};
use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::{DatagramAction as Done, DatagramRule};
use ladderpass_routing::Time;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

fn loss(name: &str, part: f64) -> Option<DatagramRule> {
    Some(datagrams(name, &[], part, Done::Drop))
}

fn datagrams(name: &str, from: &[&str], part: f64, deed: Done) -> DatagramRule {
    let (from, to, split) = (named(from), Vec::new(), Vec::new());
    DatagramRule {
        name: name.into(),
        from,
        to,
        both: false,
        split,
        after_ms: 0,
        for_ms: 0,
        probability: part,
        action: deed,
    }
}

const ROUTERS: usize = 10;
/// When each thing happens in the long drill, in seconds.
const KILLED: f64 = 1.0;
const STARTED: f64 = 4.0;
const FROZEN: (f64, f64) = (5.0, 3.0);
const MUTED: (f64, f64) = (9.5, 4.0);
const LOST: (f64, f64) = (14.5, 5.0);
const SPLIT: (f64, f64) = (20.5, 4.0);
const ENDS: f64 = 28.0;

fn long_drill() -> Drill {
    let sides = [named(&["r0", "r1", "r2", "r3"]), named(&["r4", "r5", "r6", "r7", "r8", "r9"])];
    let deeds = vec![
        FaultEvent { at: KILLED, kill: named(&["r3", "r8"]), ..FaultEvent::default() },
        FaultEvent { at: STARTED, start: named(&["r3", "r8"]), ..FaultEvent::default() },
        FaultEvent { at: FROZEN.0, lasts: FROZEN.1, freeze: named(&["r5"]), ..FaultEvent::default() },
        FaultEvent { at: MUTED.0, lasts: MUTED.1, mute: named(&["r6"]), ..FaultEvent::default() },
        FaultEvent { at: LOST.0, lasts: LOST.1, datagrams: loss("a-fifth", 0.2), ..FaultEvent::default() },
        FaultEvent { at: SPLIT.0, lasts: SPLIT.1, split: sides.to_vec(), ..FaultEvent::default() },
    ];
    Drill { routers: ROUTERS, phases: vec![(ENDS, 200.0)], clients: 100, deeds, ..Drill::default() }
}

/// When each other running router took one for dead, after a time of the load; None: it did not within `most`.
fn found(played: &DrillRecord, router: usize, from: f64, most: f64) -> Vec<Option<f64>> {
    let others = (0..played.views.len()).filter(|&other| other != router && is_up(played, other, from));
    others.map(|other| died(played, other, router, from).find(|at| *at - from < most)).collect()
}

fn secs(played: &DrillRecord, at: Time) -> f64 {
    (at - played.outcome.began).secs()
}

/// Times from `from` on at which a router said that another died.
fn died(played: &DrillRecord, viewer: usize, router: usize, from: f64) -> impl Iterator<Item = f64> {
    let address = played.addresses.get(router).copied();
    let views = played.views.get(viewer).into_iter().flatten();
    let told = views
        .filter(move |view| view.names.iter().any(|(who, what)| Some(*who) == address && what == "died"));
    told.map(|view| secs(played, view.at)).filter(move |at| *at >= from)
}

/// Was a router neither killed nor frozen at a time?
fn is_up(played: &DrillRecord, router: usize, at: f64) -> bool {
    let away = played.absences.iter().filter(|absence| absence.router == router);
    away.into_iter()
        .all(|absence| at < secs(played, absence.from) - 0.05 || at > secs(played, absence.to) + 0.05)
}

/// The longest that a running router took another running one for dead within a time, and how often any did.
fn false_alarms(played: &DrillRecord, from: f64, to: f64) -> (f64, usize) {
    let (mut longest, mut count) = (0.0f64, 0);
    for viewer in 0..played.views.len() {
        for router in (0..played.views.len()).filter(|&router| router != viewer) {
            let address = played.addresses[router];
            let is = |what: &'static str| {
                let told = move |view: &&crate::drill::play::Viewed| {
                    view.names.iter().any(|(who, said)| *who == address && said == what)
                };
                played.views[viewer].iter().filter(told).map(|view| secs(played, view.at))
            };
            for at in is("died").filter(|at| (from..to).contains(at) && is_up(played, router, *at)) {
                let back = is("is back").find(|back| *back >= at).unwrap_or(ENDS);
                longest = longest.max(back - at);
                count += 1;
            }
        }
    }
    (longest, count)
}

/// The last view of each router before a time of the load: how many it counts on.
fn counts_at(played: &DrillRecord, at: f64) -> Vec<usize> {
    let last = |views: &Vec<crate::drill::play::Viewed>| {
        let before = views.iter().rev().find(|view| secs(played, view.at) <= at);
        before.map_or(0, |view| view.count)
    };
    played.views.iter().map(last).collect()
}

/// How long after a time of the load the last router came to count on all.
fn agreed(played: &DrillRecord, from: f64) -> Option<f64> {
    let last: Vec<_> = played.views.iter().map(|views| views.last()).collect::<Option<Vec<_>>>()?;
    let first = last.first()?;
    let same = last.iter().all(|view| view.digest == first.digest && view.count == played.views.len());
    same.then(|| last.iter().map(|view| secs(played, view.at) - from).fold(0.0, f64::max))
}

fn median(times: &mut [f64]) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(f64::INFINITY)
}

fn prove_detection(table: &mut Table, played: &DrillRecord) {
    let mut all = Vec::new();
    for (what, router, from) in [
        ("killed", 3, KILLED),
        ("killed", 8, KILLED),
        ("frozen for 3 s", 5, FROZEN.0),
        ("heard by none", 6, MUTED.0),
    ] {
        let times: Vec<Option<f64>> =
            found(played, router, from, 5.0).into_iter().map(|at| at.map(|at| at - from)).collect();
        let missed = times.iter().filter(|at| at.is_none()).count();
        let worst = times.iter().flatten().copied().fold(0.0, f64::max);
        let told = format!("by {} of {}, at worst after {worst:.2} s", times.len() - missed, times.len());
        table.require(
            format!("r{router} {what}: found"),
            "by all, within 4 s",
            told,
            missed == 0 && worst <= 4.0,
        );
        all.extend(times.into_iter().flatten());
    }
    let median = median(&mut all);
    table.require(
        "detection, median",
        "within 2 s",
        format!("{median:.2} s of {}", all.len()),
        median <= 2.0,
    );
    let (longest, count) = false_alarms(played, LOST.0, LOST.0 + LOST.1 + 1.0);
    let told = format!("{count} false alarms, the longest {longest:.2} s");
    table.require("a fifth of all datagrams lost", "none lasts 2 s", told, longest < 2.0);
    let counts = counts_at(played, SPLIT.0 + SPLIT.1 - 0.05);
    let wanted: Vec<usize> = (0..ROUTERS).map(|nth| if nth < 4 { 4 } else { 6 }).collect();
    table.require(
        "split of 4 and 6: each counts on",
        "its own side",
        format!("{counts:?}"),
        counts == wanted,
    );
    let heals = SPLIT.0 + SPLIT.1;
    let agreed = agreed(played, heals);
    let told = agreed.map_or("not equal".to_owned(), |at| format!("{at:.2} s"));
    table.require(
        "all views equal after the last fault",
        "within 3 s",
        told,
        agreed.is_some_and(|at| at <= 3.0),
    );
}

/// Datagrams and bytes a router a second at rest and under a load that is the same for all sizes.
fn load_of(programs: Programs<'_>, routers: usize, seed: u64) -> io::Result<(f64, f64)> {
    let drill = Drill { routers, rests_s: 2.0, phases: vec![(3.0, 100.0)], clients: 40, ..Drill::default() };
    let played = play(&drill, programs, seed)?;
    Ok(datagrams_of(&drill, &played))
}

/// Reads alone, so that members are probed for their positions; a third of nine routers is killed.
fn thinned(
    programs: Programs<'_>,
    switch: Option<&str>,
    earlier: bool,
    seed: u64,
) -> io::Result<DrillRecord> {
    let mut scenario = Scenario::default();
    scenario.methods[0].max_age_ms = Some(400.0);
    scenario.methods[1].share = 0.0;
    let faulty = switch.map(|switch| (0..9).map(|nth| (format!("r{nth}"), switch.to_owned())).collect());
    let drill = Drill {
        routers: 9,
        // So few that their answers don't save the probes.
        phases: vec![(8.0, 4.0)],
        clients: 30,
        scenario,
        faulty: faulty.unwrap_or_default(),
        earlier: (0..9).filter(|_| earlier).map(|nth| format!("r{nth}")).collect(),
        deeds: vec![FaultEvent { at: 1.0, kill: named(&["r0", "r3", "r6"]), ..FaultEvent::default() }],
        ..Drill::default()
    };
    play(&drill, programs, seed)
}

/// Probes a member a second, and the longest and mean pause between two, over a time of the load.
fn probes(played: &DrillRecord, members: usize, from: f64, to: f64) -> (f64, f64, f64) {
    let (mut count, mut longest, mut pauses) = (0, 0.0f64, 0);
    let mut sum = 0.0;
    for member in 0..members as u32 {
        let mut times: Vec<f64> = played
            .truth
            .health_checks
            .iter()
            .filter(|(_, of)| *of == member)
            .map(|(at, _)| secs(played, *at))
            .filter(|at| (from..to).contains(at))
            .collect();
        times.sort_by(f64::total_cmp);
        count += times.len();
        for pair in times.windows(2) {
            longest = longest.max(pair[1] - pair[0]);
            sum += pair[1] - pair[0];
            pauses += 1;
        }
    }
    (count as f64 / members as f64 / (to - from), longest, sum / f64::from(pauses.max(1)))
}

/// One drill that shows each fault of a membership: a kill, what the dead said coming late, a fifth lost.
fn short_drill(switch: Option<&str>) -> Drill {
    let late = datagrams("late", &["r3"], 0.6, Done::Delay { ms: 4000.0, distribution: constant() });
    let faulty = switch.map(|switch| (0..8).map(|nth| (format!("r{nth}"), switch.to_owned())).collect());
    Drill {
        routers: 8,
        phases: vec![(7.5, 80.0)],
        clients: 40,
        faulty: faulty.unwrap_or_default(),
        deeds: vec![
            FaultEvent { at: 0.0, datagrams: Some(late), ..FaultEvent::default() },
            FaultEvent { at: 1.5, kill: named(&["r3"]), ..FaultEvent::default() },
            FaultEvent { at: 1.6, lasts: 3.0, datagrams: loss("a-third", 0.3), ..FaultEvent::default() },
        ],
        ..Drill::default()
    }
}

fn constant() -> ladderpass_fault_injection::plan::Distribution {
    ladderpass_fault_injection::plan::Distribution::Constant
}

/// What the short drill shows: who found the kill, false alarms, whether the dead came back, and how many are counted.
struct Shown {
    found: usize,
    alarms: usize,
    back: usize,
    counts: Vec<usize>,
}

fn shown(played: &DrillRecord) -> Shown {
    let dead = played.addresses[3];
    let back = played.views.iter().flatten().filter(|view| {
        secs(played, view.at) > 1.6 && view.names.iter().any(|(who, what)| *who == dead && what == "is back")
    });
    let mut counts = counts_at(played, 7.5);
    counts.remove(3);
    Shown {
        found: found(played, 3, 1.5, 4.5).into_iter().flatten().count(),
        alarms: false_alarms(played, 0.0, 7.5).1,
        back: back.count(),
        counts,
    }
}

impl Shown {
    fn told(&self) -> String {
        format!(
            "{} of 7 find it, {} false alarms, back {} times, count on {:?}",
            self.found, self.alarms, self.back, self.counts
        )
    }
}

/// One faulty router among healthy ones, and the rule that the joint history breaks.
struct Joint {
    rule: u8,
    switch: &'static str,
    drill: Drill,
}

impl Joint {
    /// With healthy routers alone, and with one that is faulty.
    fn play(self, programs: Programs<'_>, seed: u64) -> io::Result<(Joint, DrillRecord, DrillRecord)> {
        let healthy = play(&self.drill, programs, seed)?;
        let faulty = BTreeMap::from([("r1".to_owned(), self.switch.to_owned())]);
        let faulty = play(&Drill { faulty, ..self.drill.clone() }, programs, seed)?;
        Ok((self, healthy, faulty))
    }

    fn is_heavy(&self) -> bool {
        self.drill.phases.iter().any(|(_, rate)| *rate > 1000.0)
    }
}

const COLD: u32 = 2;

fn joint_rows() -> Vec<Joint> {
    let base =
        || Drill { routers: 4, phases: vec![(2.0, 250.0)], clients: 100, uneven: 1.0, ..Drill::default() };
    let rule = |text: &str| ladderpass_fault_injection::Rule::read(text).expect("the proof's own rule");
    let with = |text: &str| FaultEvent { at: 0.2, rule: Some(rule(text)), ..FaultEvent::default() };
    let late = |member: u32| {
        with(&format!(
            "{{name: late-{member}, link: r1>member-{member}, when: {{message: RowDescription, nth: 5}}, do: {{delay: {{ms: 1600}}}}, times: 5}}"
        ))
    };
    // Reads of any data go to all members, whatever their age.
    let mut any = Scenario::default();
    any.methods[0].max_age_ms = None;
    let mut lag = Scenario { log_ms: 3000.0, ..Scenario::default() };
    lag.methods[0].max_age_ms = Some(200.0);
    // What the faulty one sends there is two thirds of what the cold one bears by then, and what the others send as they should
    // comes on top. Many RPCs, so that chance in their number can't tell for either.
    let cold = Scenario { cold: vec![COLD], overload_ms: 500.0, ..Scenario::default() };
    vec![
        Joint {
            rule: 1,
            switch: "answers-late",
            drill: Drill { deeds: (0..3).map(late).collect(), ..base() },
        },
        Joint {
            rule: 2,
            switch: "resends",
            drill: Drill {
                deeds: vec![with(
                    "{name: lost, link: r1>member-0, when: {message: CommandComplete, holds: INSERT, nth: 3}, do: {half_close: {side: server}}, times: 3}",
                )],
                ..base()
            },
        },
        Joint {
            rule: 3,
            switch: "ignores-drains",
            drill: Drill {
                deeds: vec![FaultEvent { at: 0.6, drain: Some(1), ..FaultEvent::default() }],
                phases: vec![(2.5, 600.0)],
                clients: 200,
                scenario: any,
                ..base()
            },
        },
        Joint {
            rule: 4,
            switch: "ignores-warm-up",
            drill: Drill {
                scenario: cold,
                // Late in the ramp, where what the others send weighs as much as what the faulty one does.
                rests_s: 5.0,
                bears: 640.0,
                phases: vec![(1.5, 2600.0)],
                clients: 400,
                ..base()
            },
        },
        // What the others tell of a replica would make it spill to the primary.
        Joint { rule: 5, switch: "ignores-lag", drill: Drill { scenario: lag, peers: false, ..base() } },
    ]
}

struct Measured {
    long: (Drill, DrillRecord),
    loads: Vec<(usize, (f64, f64))>,
    /// Ours, the build that keeps the dead's turns, the earlier program.
    thinned: (DrillRecord, DrillRecord, Option<DrillRecord>),
    shown: Vec<(Option<&'static str>, Shown)>,
    joint: Vec<(Joint, DrillRecord, DrillRecord)>,
}

const SWITCHES: [&str; 4] =
    ["never-suspects", "believes-the-first-rumour", "forgets-incarnations", "keeps-the-deads-turns"];
const SIZES: [usize; 4] = [4, 8, 16, 32];

/// All drills, in lanes side by side: most of a drill's time is waiting.
fn measure(programs: Programs<'_>, seed: u64) -> io::Result<Measured> {
    let mut measured = std::thread::scope(|scope| {
        let long = scope.spawn(|| {
            let drill = long_drill();
            let played = play(&drill, programs, seed)?;
            Ok((drill, played))
        });
        let thinned = scope.spawn(|| {
            let ours = thinned(programs, None, false, seed)?;
            let keeps = thinned(programs, Some("keeps-the-deads-turns"), false, seed)?;
            let earlier = programs.earlier.map(|_| thinned(programs, None, true, seed)).transpose()?;
            Ok((ours, keeps, earlier))
        });
        let row =
            |switch: Option<&'static str>| Ok((switch, shown(&play(&short_drill(switch), programs, seed)?)));
        let [one, two, three, four] = SWITCHES.map(Some);
        let shown = [vec![None, one, two], vec![three, four]]
            .map(|some| scope.spawn(move || some.into_iter().map(row).collect::<io::Result<Vec<_>>>()));
        let joint = scope.spawn(move || {
            let light = joint_rows().into_iter().filter(|row| !row.is_heavy());
            light.map(|row| row.play(programs, seed)).collect::<io::Result<Vec<_>>>()
        });
        let row = |count: usize| Ok((count, load_of(programs, count, seed)?));
        let loads = scope.spawn(move || SIZES.into_iter().map(row).collect());
        let mut all = Vec::new();
        for some in shown {
            all.extend(lane(some)?);
        }
        io::Result::Ok(Measured {
            long: lane(long)?,
            loads: lane(loads)?,
            thinned: lane(thinned)?,
            shown: all,
            joint: lane(joint)?,
        })
    })?;
    // What needs the cores for itself comes last.
    let heavy = joint_rows().into_iter().filter(Joint::is_heavy);
    let heavy: Vec<_> = heavy.map(|row| row.play(programs, seed)).collect::<io::Result<_>>()?;
    measured.joint.extend(heavy);
    Ok(measured)
}

fn prove_faulty(table: &mut Table, rows: &[(Option<&'static str>, Shown)]) {
    let Some((_, real)) = rows.iter().find(|(switch, _)| switch.is_none()) else { return };
    let healthy = real.found == 7 && real.back == 0 && real.counts.iter().all(|&count| count == 7);
    table.require("a kill, late words of the dead, loss", "found, and stays so", real.told(), healthy);
    for (switch, shown) in rows.iter().filter_map(|(switch, shown)| Some(((*switch)?, shown))) {
        let caught = match switch {
            "never-suspects" => shown.found == 0,
            "believes-the-first-rumour" => shown.alarms >= 5 * (real.alarms + 2),
            "forgets-incarnations" => shown.back > 0,
            _ => shown.found == 7 && shown.counts.iter().all(|&count| count == 8),
        };
        table.require(format!("  {switch}"), "told apart", shown.told(), caught);
    }
}

fn prove_joint(table: &mut Table, rows: &[(Joint, DrillRecord, DrillRecord)]) {
    for (row, healthy, faulty) in rows {
        let rules = |played: &DrillRecord| {
            let mut rules: Vec<u8> = played.violations.iter().map(|violation| violation.rule).collect();
            rules.sort_unstable();
            rules.dedup();
            rules
        };
        let (kept, broken) = (rules(healthy), rules(faulty));
        let alone: usize = faulty.cold_alone.iter().sum();
        let mut told = format!("healthy {kept:?}, with it {broken:?}");
        let mut holds = kept.is_empty() && broken.contains(&row.rule);
        if row.rule == 4 {
            told.push_str(&format!("; by what each alone sent {alone}"));
            holds &= alone == 0;
        }
        table.require(
            format!("one of four {}", row.switch),
            format!("breaks rule {}, jointly", row.rule),
            told,
            holds,
        );
    }
}

pub fn prove(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<bool> {
    let mut table = Table::new("membership");
    if !table.require_faulty_build(programs) {
        return Ok(table.print());
    }
    let measured = measure(programs, seed)?;
    let (drill, long) = &measured.long;
    let settled = long.settled.map_or("no".to_owned(), |span| format!("{:.2} s", span.secs()));
    table.require("ten started at once find each other", "within 6 s", settled, long.settled.is_some());
    prove_detection(&mut table, long);
    kept(&mut table, "kills, freeze, deafness, loss, split", long);
    prove_faulty(&mut table, &measured.shown);
    prove_joint(&mut table, &measured.joint);
    let members = drill.scenario.member_count();
    let (ours, keeps, earlier) = &measured.thinned;
    kept(&mut table, "a third of nine killed", ours);
    let taken = |played: &DrillRecord| {
        let found = [0, 3, 6].iter().flat_map(|&router| found(played, router, 1.0, 5.0));
        found.map(|at| at.unwrap_or(9.0) - 1.0).fold(0.0, f64::max)
    };
    let after = |played: &DrillRecord| probes(played, members, 4.0, 8.0);
    let told = |(rate, longest, mean): (f64, f64, f64)| {
        format!("{rate:.1} a second, pauses {:.0} ms, longest {:.0} ms", mean * 1e3, longest * 1e3)
    };
    let (mine, kept_turns) = (after(ours), after(keeps));
    table.require(
        "the turns of three dead pass on",
        "within 4 s",
        format!("{:.2} s", taken(ours)),
        taken(ours) <= 4.0,
    );
    // A round is a second, and each turn 50 ms more: nine of them, and what a round may be late.
    table.require(
        "probes a member, a third dead",
        "no pause over 3 s",
        told(mine),
        mine.0 > 0.0 && mine.1 < 3.0,
    );
    table.report("  with the dead's turns kept", told(kept_turns));
    match earlier {
        Some(earlier) => {
            let before = after(earlier);
            table.require(
                "  the earlier program",
                "ours at most 1.5 of it",
                told(before),
                mine.0 <= 1.5 * before.0,
            );
        }
        None => table.report("  the earlier program", "not measured: make earlier NAME=membership"),
    }
    for (part, what) in [(0, "datagrams"), (1, "bytes")] {
        let of = |load: &(f64, f64)| if part == 0 { load.0 } else { load.1 };
        let all: Vec<f64> = measured.loads.iter().map(|(_, load)| of(load)).collect();
        let (least, most) =
            (all.iter().copied().fold(f64::MAX, f64::min), all.iter().copied().fold(0.0, f64::max));
        let told = all.iter().map(|load| format!("{load:.0}")).collect::<Vec<_>>().join(", ");
        table.require(
            format!("{what} a router a second, 4, 8, 16, 32"),
            "flat within a fifth",
            told,
            most <= 1.2 * least,
        );
    }
    long.write(drill, out)?;
    let line = |of: fn(&(f64, f64)) -> f64| {
        measured.loads.iter().map(|(count, load)| (*count as f64, of(load))).collect::<Vec<_>>()
    };
    let lines: Vec<Line<'_>> = vec![("datagrams", line(|load| load.0))];
    charts::lines(&out.join("load.svg"), "Datagrams a router", ("routers", "a second"), &lines, false)?;
    Ok(table.print())
}

//! The proof of the fault tool: each faulty router caught by the checker of its rule through a plan that the real router
//! passes, a recording that repeats itself, and what the tool itself adds.

use super::Table;
use crate::load::{self, until_ready};
use crate::router::Start;
use crate::run::{self, FaultEvent, RunRecord, open};
use ladderpass_emulator::{RunningEmulator, Scenario, proto};
use ladderpass_fault_injection::driver;
use ladderpass_fault_injection::{Decision, Plan, Rule, first_difference};
use ladderpass_routing::{Span, Time};
use nix::sys::signal::Signal;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::Instant;

/// A faulty router, the rule that it breaks, and the plan that shows it.
struct Row {
    switch: &'static str,
    rule: u8,
    plan: &'static [&'static str],
    /// Milliseconds that replicas are behind, and a signal in the middle.
    log_ms: f64,
    stop: bool,
    /// A member that is drained in the middle, and those that start cold.
    drains: Option<u32>,
    cold: &'static [u32],
}

const PLAIN: Row = Row { switch: "", rule: 1, plan: &[], log_ms: 2.0, stop: false, drains: None, cold: &[] };

const ROWS: [Row; 10] = [
    Row {
        switch: "resends",
        rule: 2,
        plan: &[
            "{name: r, link: member-0, when: {message: CommandComplete, holds: INSERT, nth: 5}, do: {half_close: {side: server}}, times: 5}",
        ],
        ..PLAIN
    },
    Row { switch: "answers-twice", rule: 1, plan: &[], ..PLAIN },
    Row {
        switch: "answers-late",
        rule: 1,
        plan: &["{name: r, when: {message: RowDescription, nth: 20}, do: {delay: {ms: 1500}}, times: 3}"],
        ..PLAIN
    },
    Row {
        switch: "passes-on-torn-rows",
        rule: 1,
        plan: &[
            "{name: r, when: {message: DataRow, holds: '-', nth: 20}, do: {set: {at: 10, to: 255}}, times: 5}",
        ],
        ..PLAIN
    },
    Row { switch: "ignores-lag", rule: 5, plan: &[], log_ms: 3000.0, ..PLAIN },
    Row {
        switch: "loses-at-stop",
        rule: 1,
        plan: &["{name: r, when: {message: RowDescription}, do: {delay: {ms: 60}}, times: 0}"],
        stop: true,
        ..PLAIN
    },
    Row { switch: "ignores-drains", rule: 3, drains: Some(1), ..PLAIN },
    // Both replicas: however a busy machine skews answer times and with them the turns, one of them gets half
    // of the reads.
    Row { switch: "ignores-warm-up", rule: 4, cold: &[1, 2], ..PLAIN },
    Row {
        switch: "reuses-unquiet",
        rule: 1,
        plan: &["{name: r, when: {message: RowDescription, nth: 40}, do: repeat, times: 20}"],
        ..PLAIN
    },
    Row {
        switch: "trusts-lengths",
        rule: 1,
        plan: &[
            "{name: r, when: {message: DataRow, holds: '-', nth: 20}, do: {set: {at: 1, to: 64}}, times: 5}",
        ],
        ..PLAIN
    },
];
/// When the member is drained.
const DRAINED_S: f64 = 0.4;
/// RPCs a second that the cold member bears once it is warm.
const BEARS: f64 = 200.0;

/// The rules that were broken; a router that passes breaks none.
fn broken(seen: &RunRecord) -> Vec<u8> {
    let mut rules: Vec<u8> =
        seen.violations(Span::from_millis(50)).iter().map(|violation| violation.rule).collect();
    // A torn row, or one that nobody waits for.
    rules.extend((!seen.outcome.faults.is_empty()).then_some(1));
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// What acts in a row on any router, and how often: its plan, else what the row does to the fleet.
fn acted(row: &Row, seen: &RunRecord, decisions: usize) -> (usize, &'static str) {
    let ran = |member| seen.truth.executions.iter().filter(|ran| ran.member == member).count();
    match row {
        Row { cold: [_, ..], .. } => {
            (row.cold.iter().map(|member| ran(*member)).sum(), "RPCs began at the cold members")
        }
        Row { drains: Some(member), .. } => (ran(*member), "RPCs began at the member before its drain"),
        Row { plan: [], .. } if row.log_ms > 100.0 => {
            let spilt = seen.truth.executions.iter().filter(|ran| !ran.writes && ran.member == 0);
            (spilt.count(), "reads went to the primary, replicas being too old")
        }
        Row { plan: [], .. } => (seen.outcome.total().ok as usize, "answers could have come twice"),
        _ => (decisions, "times the plan acted"),
    }
}

fn play(
    row: &Row,
    binary: &Path,
    switch: Option<&'static str>,
    seed: u64,
) -> io::Result<(Vec<u8>, (usize, &'static str))> {
    let cold = row.cold.to_vec();
    // A cold member falls within the run, by what it gets in half a second.
    let mut scenario = Scenario { log_ms: row.log_ms, cold, overload_ms: 500.0, ..Scenario::default() };
    if row.log_ms > 100.0 {
        // Replicas fall behind a bound that is shorter than the run.
        scenario.methods[0].max_age_ms = Some(200.0);
    }
    let start = Start { faulty: switch.map(str::to_owned), log: "warn".into(), ..Start::new(binary) };
    let rules = row
        .plan
        .iter()
        .map(|rule| Rule::read(rule))
        .collect::<Result<Vec<_>, _>>()
        .map_err(io::Error::other)?;
    let stop: Vec<FaultEvent<'_>> =
        vec![(0.7, Box::new(|router, _| router.signal(Signal::SIGTERM).expect("it runs")))];
    let plan = load::Plan {
        connections: 200,
        pipeline: 1,
        deadline: Span::from_millis(1000),
        ..open(seed, &[(1.0, 400.0)])
    };
    let mut deeds = if row.stop { stop } else { vec![] };
    if let Some(member) = row.drains {
        deeds.push((DRAINED_S, Box::new(move |_, fleet| fleet.drain(member))));
    }
    let (mut seen, left) = run::run_through(&scenario, &start, &plan, Some(rules), deeds, |_| {})?;
    seen.bears = BEARS;
    let decisions = left.map_or(0, |left| left.record.len());
    Ok((broken(&seen), acted(row, &seen, decisions)))
}

/// Rules drawn from the seed that neither end nor stop a connection: the comparison would end with it.
fn drawn(seed: u64) -> Vec<Rule> {
    let links =
        run::links(&[SocketAddr::from((Ipv4Addr::LOCALHOST, 1))], SocketAddr::from((Ipv4Addr::LOCALHOST, 2)));
    let mut plan = Plan::drawn(seed, 12, links[..1].to_vec());
    plan.rules.retain(|rule| {
        matches!(rule.action.name(), "delay" | "slice" | "garble" | "duplicate" | "drop" | "noise")
    });
    for rule in &mut plan.rules {
        rule.when.nth = rule.when.nth.map(|nth| nth % 40 + 1);
    }
    plan.rules
}

/// Answers whatever comes whole on one connection, well-formed or not, and ends it only once its client has:
/// what this member tells depends on nothing but what it was sent. One that closes over a statement that it
/// can't read takes along what it has answered and the tool not yet read, more or less of it each time.
fn answer_all(listener: &TcpListener) -> io::Result<()> {
    let (mut stream, _) = listener.accept()?;
    stream.set_nodelay(true)?;
    let (mut input, mut chunk, mut opened) = (Vec::new(), [0; 4096], false);
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(());
        }
        input.extend_from_slice(&chunk[..count]);
        let mut out = Vec::new();
        if !opened && let Some(length) = proto::parse_startup(&input) {
            (input, opened) = (input.split_off(length), true);
            proto::put_startup_response(&mut out);
        }
        while opened && let Some((_, _, length)) = proto::parse_frame(&input) {
            input = input.split_off(length);
            proto::put_row(&mut out, &[b'.'; 256], false, true, Some(Time::from_nanos(0)));
        }
        stream.write_all(&out)?;
    }
}

/// What the tool decides while one client asks a member one thing after the other through a link with these
/// rules. It ends with what both have to say, not by a time: a busy machine, or a rule, may take longer than
/// any.
pub fn recorded(seed: u64, rules: Vec<Rule>) -> io::Result<Vec<Decision>> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let links =
        run::links(&[listener.local_addr()?], SocketAddr::from((Ipv4Addr::LOCALHOST, 1)))[..1].to_vec();
    let plan = Plan { seed, links, rules, ..Plan::default() };
    let tool = driver::RunningTool::start(plan, None)?;
    let mut stream = TcpStream::connect(tool.addresses[0])?;
    // Guards against a member or a tool that hangs; harms where the plan's delays add up to more.
    stream.set_read_timeout(Some(std::time::Duration::from_secs(30)))?;
    let mut out = Vec::new();
    proto::put_startup(&mut out);
    for nth in 0..60 {
        proto::put_query(
            &mut out,
            &format!(
                "SELECT payload FROM entries WHERE ref = 'k' /* id=1-{nth:x},c=board,d=1000,cluster=0 */"
            ),
        );
    }
    stream.write_all(&out)?;
    stream.shutdown(Shutdown::Write)?;
    let member = std::thread::spawn(move || answer_all(&listener));
    // All that comes, whatever the plan has made of it.
    io::copy(&mut stream, &mut io::sink())?;
    member.join().map_err(|_| io::Error::other("the member failed"))??;
    Ok(tool.stop().record)
}

/// Round trips of an empty query, in microseconds: median and 99th; and MB/s of 64 KiB answers.
fn pace(address: SocketAddr) -> io::Result<(f64, f64, f64)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut out = Vec::new();
    proto::put_startup(&mut out);
    stream.write_all(&out)?;
    until_ready(&mut stream)?;
    let mut nothing = Vec::new();
    proto::put_query(&mut nothing, "");
    let mut took = Vec::new();
    for _ in 0..2000 {
        let begun = Instant::now();
        stream.write_all(&nothing)?;
        until_ready(&mut stream)?;
        took.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    took.sort_by(f64::total_cmp);
    let begun = Instant::now();
    let count = 400;
    for nth in 0..count {
        let mut query = Vec::new();
        proto::put_query(
            &mut query,
            &format!(
                "SELECT payload FROM entries WHERE ref = 'k' /* id=1-{nth:x},c=large,d=5000,cluster=0 */"
            ),
        );
        stream.write_all(&query)?;
        until_ready(&mut stream)?;
    }
    let rate = f64::from(count) * 65_536.0 / 1e6 / begun.elapsed().as_secs_f64();
    Ok((took[took.len() / 2], took[took.len() * 99 / 100], rate))
}

pub fn prove(binary: &Path, faulty: Option<&Path>, seed: u64) -> io::Result<bool> {
    let mut table = Table::new("faults");
    for row in &ROWS {
        let (passes, (hits, what)) = play(row, binary, None, seed)?;
        let fired = hits > 0;
        let told = format!("breaks {passes:?}; {hits} {what}");
        table.require(
            format!("real router, plan for {}", row.switch),
            "breaks none",
            told,
            passes.is_empty() && fired,
        );
        match faulty {
            Some(faulty) => {
                let (caught, (hits, what)) = play(row, faulty, Some(row.switch), seed)?;
                let told = format!("breaks {caught:?}; {hits} {what}");
                table.require(
                    format!("  {}", row.switch),
                    format!("breaks rule {}", row.rule),
                    told,
                    caught.contains(&row.rule),
                );
            }
            None => table.require(
                format!("  {}", row.switch),
                format!("breaks rule {}", row.rule),
                "no --faulty router",
                false,
            ),
        }
    }
    let plays = [seed, seed, seed + 1];
    let [one, two, other] = std::thread::scope(|scope| {
        plays.map(|seed| scope.spawn(move || recorded(seed, drawn(seed)))).map(super::lane)
    });
    let (one, two, other) = (one?, two?, other?);
    let differ = first_difference(&one, &two);
    let told = differ.clone().unwrap_or_else(|| format!("{} decisions, the same", one.len()));
    table.require("the same seed twice", "the same recording", told, differ.is_none() && !one.is_empty());
    table.require(
        "another seed",
        "another recording",
        format!("{} decisions", other.len()),
        first_difference(&one, &other).is_some(),
    );
    let mut scenario = Scenario::default();
    scenario.methods[0].name = "large".into();
    scenario.methods[0].value_bytes = 65_536;
    let fleet = RunningEmulator::start(scenario, seed, Ipv4Addr::LOCALHOST)?;
    let links = run::links(&fleet.addresses[..1], fleet.discovery)[..1].to_vec();
    let tool = driver::RunningTool::start(Plan { seed, links, ..Plan::default() }, None)?;
    let (direct, through) = (pace(fleet.addresses[0])?, pace(tool.addresses[0])?);
    table.report(
        "round trip, median and 99th",
        format!(
            "{:.0} and {:.0} us direct, {:.0} and {:.0} us through",
            direct.0, direct.1, through.0, through.1
        ),
    );
    table.report("answers of 64 KiB", format!("{:.0} MB/s direct, {:.0} MB/s through", direct.2, through.2));
    Ok(table.print())
}

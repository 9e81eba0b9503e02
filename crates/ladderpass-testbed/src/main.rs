//! `ladderpass-testbed`: loads, experiments, proofs and charts on the emulated fleet.
//!
//! It owns the command line alone. It must never be needed by a router that serves.

use clap::{Args, Parser, Subcommand};
use ladderpass_emulator::{RunningEmulator, Scenario};
use ladderpass_routing::Span;
use ladderpass_testbed::capacity::control;
use ladderpass_testbed::capacity::simulated_routers::Shape;
use ladderpass_testbed::drill::{self, Drill};
use ladderpass_testbed::{chaos, load, prove, results, router, run};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "ladderpass-testbed", about, version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// What the fleet and its routers are.
#[derive(Args, Clone)]
struct BedArgs {
    /// The fleet: a YAML file; without one three members of one group that answer at once
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    #[arg(long, default_value = "target/release/ladderpass")]
    router: PathBuf,
    /// The routers' operator's file
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keep the router on this core, and all else off it
    #[arg(long)]
    cpu: Option<usize>,
    #[arg(long, default_value_t = 192)]
    memory_mb: u64,
    /// Show the router's log
    #[arg(long)]
    loud: bool,
}

#[derive(Args)]
struct LoadArgs {
    #[command(flatten)]
    bed: BedArgs,
    /// Phases, one after the other: seconds x RPCs a second, as in 2x1000,5x3000,2x1000
    #[arg(long, default_value = "5x2000")]
    phases: String,
    #[arg(long, default_value_t = 200)]
    connections: usize,
    /// RPCs that a connection may have out
    #[arg(long, default_value_t = 64)]
    pipeline: usize,
    /// How long a client waits
    #[arg(long, default_value_t = 1000)]
    deadline_ms: i64,
    /// How often a client asks again after a pushback
    #[arg(long, default_value_t = 0)]
    repeats: u32,
    /// Connections that ask and never read
    #[arg(long, default_value_t = 0)]
    slow_readers: usize,
    /// Connections that send as fast as they can
    #[arg(long, default_value_t = 0)]
    floods: usize,
    /// Results as JSON lines
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Bring up a fleet with a router before it, in the foreground, until interrupted
    Up(BedArgs),
    /// Serve a load: arrivals that don't wait for answers, times from when an RPC was due
    Load(LoadArgs),
    /// Tables and charts of results
    Report {
        #[arg(required = true)]
        results: Vec<PathBuf>,
    },
    /// An issue's proof: prints one table and ends non-zero where something falls short
    Prove {
        /// Which: overload, faults, membership, fleet-overload, fleet-budgets, fleet-ramp, capacity
        name: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The router's binary
        #[arg(long, default_value = "target/release/ladderpass")]
        router: PathBuf,
        /// An earlier router's binary, for what is compared with it
        #[arg(long)]
        earlier: Option<PathBuf>,
        /// A router built with the feature `faulty`
        #[arg(long)]
        faulty: Option<PathBuf>,
        /// Where charts go
        #[arg(long, default_value = "target/prove")]
        out: PathBuf,
    },
    /// Several routers before a fleet, with faults between all of them and deeds on them (docs/operators/membership.md)
    Drill {
        /// The drill: a YAML file
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The routers' binary
        #[arg(long, default_value = "target/release/ladderpass")]
        router: PathBuf,
        /// One of an earlier version, for `earlier`
        #[arg(long)]
        earlier: Option<PathBuf>,
        /// One built with the feature `faulty`, for `faulty` and `clock_ms`
        #[arg(long)]
        faulty: Option<PathBuf>,
        /// Where JSON lines and charts go
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        /// Print the routers' logs
        #[arg(long)]
        loud: bool,
    },
    /// Plans of faults drawn from a seed, until the time is over; what breaks a rule is shrunk and written as a plan
    Chaos {
        #[arg(long, default_value_t = 5.0)]
        minutes: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/ladderpass")]
        router: PathBuf,
        #[arg(long, default_value = "target/chaos")]
        out: PathBuf,
    },
    /// The longer runs behind docs/CAPACITY.md: minutes; tables and charts
    Capacity {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "target/release/ladderpass")]
        router: PathBuf,
        #[arg(long, default_value = "docs/experiments/capacity")]
        out: PathBuf,
    },
    /// One world of hollow routers: what a router of it says and does a second
    Hollow {
        #[arg(long, default_value_t = 16)]
        routers: usize,
        #[arg(long, default_value_t = 8)]
        groups: usize,
        /// Of all groups; three for each, if not said
        #[arg(long)]
        members: Option<usize>,
        /// Statements a second that come to a router
        #[arg(long, default_value_t = 25.0)]
        rate: f64,
        /// They shed and pay as one
        #[arg(long)]
        fleet: bool,
        /// All slopes of control instead, in the long form or the proof's
        #[arg(long)]
        slopes: bool,
        #[arg(long)]
        long: bool,
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// CPU an RPC of one or two routers, side by side, by clients that each ask again once they are answered
    Cost {
        /// The routers' binaries
        #[arg(required = true)]
        binaries: Vec<PathBuf>,
        #[arg(long, default_value_t = 64)]
        clients: usize,
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1)]
        pipeline: usize,
        /// The operator's file of routers that take one
        #[arg(long)]
        operator: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ladderpass-testbed: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Up(bed) => up(&bed),
        Command::Load(load) => serve_load(&load),
        Command::Report { results } => {
            for path in results {
                println!(
                    "{}\n\n{}",
                    path.display(),
                    results::report(&path).map_err(|fault| fault.to_string())?
                );
            }
            Ok(())
        }
        Command::Prove { name, seed, router, earlier, faulty, out } => {
            let programs = drill::play::Programs {
                router: &router,
                faulty: faulty.as_deref(),
                earlier: earlier.as_deref(),
            };
            let holds = match name.as_str() {
                "overload" => {
                    prove::overload::prove(&router, earlier.as_deref(), seed, &out.join("overload"))
                }
                "capacity" => prove::capacity::prove(&router, seed),
                "faults" => prove::faults::prove(&router, faulty.as_deref(), seed),
                "fleet-overload" => prove::fleet_overload::prove(programs, seed, &out.join("fleet-overload")),
                "fleet-budgets" => prove::fleet_budgets::prove(programs, seed, &out.join("fleet-budgets")),
                "fleet-ramp" => prove::fleet_ramp::prove(programs, seed, &out.join("fleet-ramp")),
                "membership" => prove::membership::prove(programs, seed, &out.join("membership")),
                other => {
                    return Err(format!(
                        "there is no proof {other:?}; there are overload, faults, membership, fleet-overload, fleet-budgets, fleet-ramp and capacity"
                    ));
                }
            };
            match holds {
                Ok(true) => Ok(()),
                Ok(false) => Err("the proof falls short".into()),
                Err(fault) => Err(fault.to_string()),
            }
        }
        Command::Drill { file, seed, router, earlier, faulty, out, loud } => {
            let fault = |fault: String| format!("{}: {fault}", file.display());
            let text = std::fs::read_to_string(&file).map_err(|error| fault(error.to_string()))?;
            let drill = Drill::read(&text).map_err(fault)?;
            let (faulty, earlier) = (faulty.as_deref(), earlier.as_deref());
            let programs = drill::play::Programs { router: &router, faulty, earlier };
            let played = drill::play::play(&drill, programs, seed).map_err(|fault| fault.to_string())?;
            if loud {
                for (nth, line) in
                    played.logs.iter().enumerate().flat_map(|(n, log)| log.iter().map(move |l| (n, l)))
                {
                    println!("r{nth} {line}");
                }
            }
            println!("{}", played.table(&drill));
            if let Some(out) = out {
                played.write(&drill, &out).map_err(|fault| format!("{}: {fault}", out.display()))?;
            }
            match played.violations.len() + played.fallen.len() {
                0 => Ok(()),
                count => Err(format!("{count} rules broken or routers fallen")),
            }
        }
        Command::Chaos { minutes, seed, router, out } => {
            let lasts = std::time::Duration::from_secs_f64((minutes * 60.0).clamp(0.0, 86_400.0));
            let tell = |seed: u64, broken: &[String]| {
                if !broken.is_empty() {
                    println!("seed {seed}: {}", broken.join("; "));
                }
            };
            let found = chaos::search(&router, seed, lasts, &out, tell).map_err(|fault| fault.to_string())?;
            println!(
                "{} plans, {} rules acted, {} plans broke a rule",
                found.plans,
                found.acted,
                found.broken.len()
            );
            for (seed, broken, path) in &found.broken {
                println!("seed {seed}: {} in {}", broken.join("; "), path.display());
            }
            if found.plans == 0 {
                return Err("no plan was played".into());
            }
            if found.broken.is_empty() { Ok(()) } else { Err("rules were broken".into()) }
        }
        Command::Capacity { seed, router, out } => {
            let programs = drill::play::Programs { router: &router, faulty: None, earlier: None };
            prove::capacity::long(programs, seed, &out).map_err(|fault| fault.to_string())
        }
        Command::Hollow { slopes: true, seed, long, .. } => {
            let slopes = control::memory(seed)
                .and_then(|memory| control::measure(seed, &control::Settings { long }, memory))
                .map_err(|fault| fault.to_string())?;
            for slope in &slopes {
                println!(
                    "{} ({} by {}): {:?}\n  {:?}",
                    slope.name,
                    slope.y,
                    slope.x,
                    slope.points,
                    slope.fit()
                );
            }
            Ok(())
        }
        Command::Hollow { routers, groups, members, rate, fleet, seconds, seed, .. } => {
            let members = members.unwrap_or(3 * groups);
            let shape = Shape { members, rate, fleet, seed, observed: 2, ..Shape::of(routers, groups) };
            let rates = control::rates(&shape, seconds).map_err(|fault| fault.to_string())?;
            println!("{rates:#?}");
            Ok(())
        }
        Command::Cost { binaries, clients, seconds, pipeline, operator } => {
            let read = |path| std::fs::read_to_string(path).map_err(|fault| fault.to_string());
            let operator = operator.map(read).transpose()?;
            for binary in binaries {
                cost(&binary, clients, seconds, pipeline, operator.clone())
                    .map_err(|fault| fault.to_string())?;
            }
            Ok(())
        }
    }
}

fn scenario(bed: &BedArgs) -> Result<Scenario, String> {
    let Some(path) = &bed.scenario else { return Ok(Scenario::default()) };
    let fault = |fault: String| format!("{}: {fault}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| fault(error.to_string()))?;
    Scenario::read(&text).map_err(|error| fault(error.to_string()))
}

fn start(bed: &BedArgs) -> Result<router::Start, String> {
    let mut start = router::Start::new(&bed.router);
    if let Some(path) = &bed.operator {
        let text = std::fs::read_to_string(path).map_err(|fault| format!("{}: {fault}", path.display()))?;
        start.operator = Some(text);
    }
    (start.cpu, start.loud, start.allowed.memory_mb) = (bed.cpu, bed.loud, bed.memory_mb);
    Ok(start)
}

fn up(bed: &BedArgs) -> Result<(), String> {
    let scenario = scenario(bed)?;
    let told = |fault: std::io::Error| fault.to_string();
    let fleet = RunningEmulator::start(scenario.clone(), bed.seed, Ipv4Addr::LOCALHOST).map_err(told)?;
    let mut start = start(bed)?;
    start.loud = true;
    let mut router = router::Router::start(&scenario, &fleet, &start, bed.seed).map_err(told)?;
    let methods: Vec<&str> = scenario.methods.iter().map(|method| method.name.as_str()).collect();
    println!("members {:?}, discovery {}", fleet.addresses, fleet.discovery);
    println!(
        "router  {} (methods {methods:?}); ask it with any client of PostgreSQL's simple queries:",
        router.address
    );
    println!(
        "  SELECT payload FROM entries WHERE ref = 'k' /* id=1,c={},d=1000,cluster=0 */",
        methods.first().unwrap_or(&"")
    );
    println!("interrupt to end");
    loop {
        std::thread::sleep(std::time::Duration::from_millis(200));
        if let Some(code) = router.ended() {
            return Err(format!("the router has ended with {code:?}"));
        }
    }
}

fn serve_load(args: &LoadArgs) -> Result<(), String> {
    let scenario = scenario(&args.bed)?;
    let mut phases = Vec::new();
    for phase in args.phases.split(',') {
        let read = phase
            .split_once('x')
            .and_then(|(secs, rate)| Some((secs.parse::<f64>().ok()?, rate.parse::<f64>().ok()?)));
        let allowed =
            read.filter(|(secs, rate)| (0.0..=86_400.0).contains(secs) && (0.0..=5e6).contains(rate));
        phases.push(
            allowed.ok_or_else(|| format!("--phases: {phase:?}; allowed is SECONDSxRATE, as in 5x2000"))?,
        );
    }
    let plan = load::Plan {
        connections: args.connections,
        pipeline: args.pipeline.max(1),
        deadline: Span::from_millis(args.deadline_ms),
        repeats: args.repeats,
        slow_readers: args.slow_readers,
        floods: args.floods,
        ..run::open(args.bed.seed, &phases)
    };
    let total: f64 = phases.iter().map(|(secs, _)| secs).sum();
    let bar = indicatif::ProgressBar::new((total * 10.0) as u64);
    let style = indicatif::ProgressStyle::with_template("{elapsed_precise} [{bar:40}] {percent}%");
    bar.set_style(style.map_err(|fault| fault.to_string())?);
    let ticks = bar.clone();
    let start = start(&args.bed)?;
    let seen = run::run_with(&scenario, &start, &plan, vec![], |at| ticks.set_position((at * 10.0) as u64));
    bar.finish_and_clear();
    let seen = seen.map_err(|fault| fault.to_string())?;
    println!("{}", results::table(&scenario, &seen));
    let broken = seen.broken(Span::from_millis(50));
    if let Some(path) = &args.out {
        let told = serde_json::json!({"phases": args.phases, "seed": args.bed.seed, "connections": args.connections,
            "pipeline": args.pipeline, "operator": start.operator});
        results::write(path, &told, &scenario, &seen)
            .map_err(|fault| format!("{}: {fault}", path.display()))?;
    }
    if broken.is_empty() { Ok(()) } else { Err(format!("rules broken: {}", broken.join("; "))) }
}

fn cost(
    binary: &std::path::Path,
    clients: usize,
    seconds: f64,
    pipeline: usize,
    operator: Option<String>,
) -> std::io::Result<()> {
    let scenario = Scenario::default();
    let mut start = router::Start::new(binary);
    start.cpu = Some(0);
    start.operator = operator;
    let plan = load::Plan {
        pace: load::Pace::Closed(Span::from_secs_f64(seconds)),
        connections: clients,
        pipeline,
        ..load::Plan::default()
    };
    let seen = run::run(&scenario, &start, &plan, vec![])?;
    let (used, outcome) = (seen.cpu, &seen.outcome);
    let total = outcome.total();
    println!(
        "{}: {:.0} RPCs/s, {:.1} us of CPU an RPC, pushed back {:.1}%, unanswered {}, faults {:?}",
        binary.display(),
        total.due as f64 / seconds,
        used * 1e6 / total.due.max(1) as f64,
        100.0 * total.pushed_back as f64 / total.due.max(1) as f64,
        total.unanswered,
        outcome.faults,
    );
    Ok(())
}

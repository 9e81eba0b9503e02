//! Subcommands and their options. clap prints the doc comments on fields and variants as the help of the program.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

#[derive(Parser)]
#[command(name = "ladderpass-testbed", about, version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Bring up a fleet with a router before it, in the foreground, until interrupted
    Up(TestbedArgs),
    /// Serve a load: arrivals that don't wait for answers, times from when an RPC was due
    Load(LoadArgs),
    /// Tables and charts of results
    Report(ReportArgs),
    /// An issue's proof: prints one table and ends non-zero where something falls short
    Prove(ProveArgs),
    /// Several routers before a fleet, with faults between all of them and deeds on them (docs/operators/membership.md)
    Drill(DrillArgs),
    /// Plans of faults drawn from a seed, until the time is over; what breaks a rule is shrunk and written as a plan
    Chaos(ChaosArgs),
    /// The longer runs behind docs/CAPACITY.md: minutes; tables and charts
    Capacity(CapacityArgs),
    /// One world of hollow routers: what a router of it says and does a second
    #[command(name = "hollow")]
    SimulatedRouters(SimulatedRoutersArgs),
    /// CPU an RPC of one or two routers, side by side, by clients that each ask again once they are answered
    Cost(CostArgs),
}

// Options of the emulated members and of the router in front of them. This is not a doc comment, since clap would print it as
// the help of each subcommand that has these options.
#[derive(Args)]
pub struct TestbedArgs {
    /// The fleet: a YAML file; without one three members of one group that answer at once
    #[arg(long, value_name = "FILE")]
    pub scenario: Option<PathBuf>,
    #[arg(long, default_value = "target/release/ladderpass")]
    pub router: PathBuf,
    /// The routers' operator's file
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Keep the router on this core, and all else off it
    #[arg(long)]
    pub cpu: Option<usize>,
    #[arg(long, default_value_t = 192)]
    pub memory_mb: u64,
    /// Show the router's log
    #[arg(long)]
    pub loud: bool,
}

#[derive(Args)]
pub struct LoadArgs {
    #[command(flatten)]
    pub testbed: TestbedArgs,
    /// Phases, one after the other: seconds x RPCs a second, as in 2x1000,5x3000,2x1000
    #[arg(long, default_value = "5x2000")]
    pub phases: String,
    #[arg(long, default_value_t = 200)]
    pub connections: usize,
    /// RPCs that a connection may have out
    #[arg(long, default_value_t = 64)]
    pub pipeline: usize,
    /// How long a client waits
    #[arg(long, default_value_t = 1000)]
    pub deadline_ms: i64,
    /// How often a client asks again after a pushback
    #[arg(long, default_value_t = 0)]
    pub repeats: u32,
    /// Connections that ask and never read
    #[arg(long, default_value_t = 0)]
    pub slow_readers: usize,
    /// Connections that send as fast as they can
    #[arg(long, default_value_t = 0)]
    pub floods: usize,
    /// Results as JSON lines
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

#[derive(Args)]
pub struct ReportArgs {
    #[arg(required = true)]
    pub results: Vec<PathBuf>,
}

#[derive(Args)]
pub struct ProveArgs {
    /// Which: overload, faults, membership, fleet-overload, fleet-budgets, fleet-ramp, capacity
    pub name: String,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The router's binary
    #[arg(long, default_value = "target/release/ladderpass")]
    pub router: PathBuf,
    /// An earlier router's binary, for what is compared with it
    #[arg(long)]
    pub earlier: Option<PathBuf>,
    /// A router built with the feature `faulty`
    #[arg(long)]
    pub faulty: Option<PathBuf>,
    /// Where charts go
    #[arg(long, default_value = "target/prove")]
    pub out: PathBuf,
}

#[derive(Args)]
pub struct DrillArgs {
    /// The drill: a YAML file
    pub file: PathBuf,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The routers' binary
    #[arg(long, default_value = "target/release/ladderpass")]
    pub router: PathBuf,
    /// One of an earlier version, for `earlier`
    #[arg(long)]
    pub earlier: Option<PathBuf>,
    /// One built with the feature `faulty`, for `faulty` and `clock_ms`
    #[arg(long)]
    pub faulty: Option<PathBuf>,
    /// Where JSON lines and charts go
    #[arg(long, value_name = "FOLDER")]
    pub out: Option<PathBuf>,
    /// Print the routers' logs
    #[arg(long)]
    pub loud: bool,
}

#[derive(Args)]
pub struct ChaosArgs {
    #[arg(long, default_value_t = 5.0)]
    pub minutes: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value = "target/release/ladderpass")]
    pub router: PathBuf,
    #[arg(long, default_value = "target/chaos")]
    pub out: PathBuf,
}

#[derive(Args)]
pub struct CapacityArgs {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value = "target/release/ladderpass")]
    pub router: PathBuf,
    #[arg(long, default_value = "docs/experiments/capacity")]
    pub out: PathBuf,
}

#[derive(Args)]
pub struct SimulatedRoutersArgs {
    #[arg(long, default_value_t = 16)]
    pub routers: usize,
    #[arg(long, default_value_t = 8)]
    pub groups: usize,
    /// Of all groups; three for each, if not said
    #[arg(long)]
    pub members: Option<usize>,
    /// Statements a second that come to a router
    #[arg(long, default_value_t = 25.0)]
    pub rate: f64,
    /// They shed and pay as one
    #[arg(long)]
    pub fleet: bool,
    /// All slopes of control instead, in the long form or the proof's
    #[arg(long)]
    pub slopes: bool,
    #[arg(long)]
    pub long: bool,
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

#[derive(Args)]
pub struct CostArgs {
    /// The routers' binaries
    #[arg(required = true)]
    pub binaries: Vec<PathBuf>,
    #[arg(long, default_value_t = 64)]
    pub clients: usize,
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    #[arg(long, default_value_t = 1)]
    pub pipeline: usize,
    /// The operator's file of routers that take one
    #[arg(long)]
    pub operator: Option<PathBuf>,
}

//! The command line of `ladderpass-fault-injection`, which forwards connections and injects faults into them, by a plan
//! or on command.

use clap::{Parser, Subcommand};
use ladderpass_fault_injection::driver::RunningTool;
use ladderpass_fault_injection::errors::{PlanError, RecordError};
use ladderpass_fault_injection::{Plan, first_difference, record};
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Inject faults into loopback connections at an exact byte or message, repeatably from a seed
#[derive(Parser)]
#[command(
    name = "ladderpass-fault-injection",
    version,
    after_help = "Exit codes: 0 on success; 1 on an error, or if the records differ; 2 if the command line is invalid."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a plan in the foreground until standard input ends or the process is interrupted
    Run {
        plan: PathBuf,
        /// Path of the control socket, for `ctl`
        #[arg(long, value_name = "SOCKET")]
        control: Option<PathBuf>,
        /// File that the decisions are written to at the end
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Check a plan, and print its seed and the numbers of its links and rules
    Check { plan: PathBuf },
    /// Send a command to a running tool: add RULE, lift NAME, list, wait NAME HITS MS, stats, cut LINK, heal LINK,
    /// watch
    Ctl {
        socket: PathBuf,
        #[arg(required = true, trailing_var_arg = true)]
        words: Vec<String>,
    },
    /// Play a plan, and compare its decisions with a record
    Replay { plan: PathBuf, record: PathBuf },
}

/// The reason why a command failed.
#[derive(Debug, Error)]
enum CliError {
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    Plan { path: PathBuf, source: PlanError },
    #[error("{}: {source}", path.display())]
    Record { path: PathBuf, source: RecordError },
    #[error("{0}")]
    Start(io::Error),
    /// The running tool answered with this error.
    #[error("{0}")]
    Rejected(String),
    #[error("the tool ended without an answer")]
    NoAnswer,
    #[error("the records differ at {0}")]
    RecordsDiffer(String),
}

fn main() -> ExitCode {
    match execute(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ladderpass-fault-injection: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::File { path: path.to_owned(), source })
}

fn read_plan(path: &Path) -> Result<Plan, CliError> {
    Plan::read(&read_file(path)?).map_err(|source| CliError::Plan { path: path.to_owned(), source })
}

/// Plays a plan until standard input ends, and returns the recorded decisions.
fn run_plan(plan: Plan, control: Option<&Path>) -> Result<Vec<record::Decision>, CliError> {
    let names: Vec<String> = plan.links.iter().map(|link| link.name.clone()).collect();
    let running = RunningTool::start(plan, control).map_err(CliError::Start)?;
    for (name, address) in names.iter().zip(&running.addresses) {
        println!("{name} {address}");
    }
    let mut line = String::new();
    while io::stdin().read_line(&mut line).is_ok_and(|count| count > 0) {}
    let summary = running.stop();
    for name in &summary.never_fired {
        eprintln!("rule {name} never fired");
    }
    Ok(summary.record)
}

fn execute(command: Command) -> Result<(), CliError> {
    match command {
        Command::Run { plan, control, record } => {
            let decisions = run_plan(read_plan(&plan)?, control.as_deref())?;
            let Some(path) = record else { return Ok(()) };
            std::fs::write(&path, record::to_json_lines(&decisions))
                .map_err(|source| CliError::File { path, source })
        }
        Command::Check { plan } => {
            let plan = read_plan(&plan)?;
            println!("{} links, {} rules, seed {}", plan.links.len(), plan.rules.len(), plan.seed);
            Ok(())
        }
        Command::Ctl { socket, words } => send_command(&socket, &words),
        Command::Replay { plan, record } => {
            let recorded = record::from_json_lines(&read_file(&record)?)
                .map_err(|source| CliError::Record { path: record, source })?;
            let replayed = run_plan(read_plan(&plan)?, None)?;
            first_difference(&recorded, &replayed).map_or(Ok(()), |line| Err(CliError::RecordsDiffer(line)))
        }
    }
}

/// Sends one command line to a running tool, and prints the answer.
fn send_command(socket: &Path, words: &[String]) -> Result<(), CliError> {
    let failed = |source: io::Error| CliError::File { path: socket.to_owned(), source };
    let mut stream = UnixStream::connect(socket).map_err(failed)?;
    writeln!(stream, "{}", words.join(" ")).map_err(failed)?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).map_err(failed)?;
    match answer.trim().split_once(' ') {
        Some(("error", why)) => Err(CliError::Rejected(why.to_owned())),
        _ if answer.is_empty() => Err(CliError::NoAnswer),
        _ => {
            println!("{}", answer.trim());
            Ok(())
        }
    }
}

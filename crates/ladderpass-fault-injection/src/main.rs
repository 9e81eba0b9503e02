//! `ladderpass-fault-injection`: links between sockets, and what is done to them on command.
//!
//! It owns the command line alone.

use clap::{Parser, Subcommand};
use ladderpass_fault_injection::driver::Running;
use ladderpass_fault_injection::{Plan, difference, record};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Faults between sockets on loopback, at an exact byte or message, the same each time from a seed
#[derive(Parser)]
#[command(
    name = "ladderpass-fault-injection",
    version,
    after_help = "Exit codes: 0 done; 1 what it is told is wrong, or records differ; 2 the command line is wrong."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a plan in the foreground, until standard input ends or it is interrupted
    Run {
        plan: PathBuf,
        /// Where `ctl` finds it
        #[arg(long, value_name = "SOCKET")]
        control: Option<PathBuf>,
        /// Where its decisions go, at the end
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
    },
    /// Read a plan and say what holds
    Check { plan: PathBuf },
    /// Ask one that runs: add RULE, lift NAME, list, wait NAME HITS MS, stats
    Ctl {
        socket: PathBuf,
        #[arg(required = true, trailing_var_arg = true)]
        words: Vec<String>,
    },
    /// Play a plan again, and compare its decisions with a record
    Replay { plan: PathBuf, record: PathBuf },
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ladderpass-fault-injection: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|fault| format!("{}: {fault}", path.display()))
}

fn plan(path: &Path) -> Result<Plan, String> {
    Plan::read(&text(path)?).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Plays it until standard input ends; what it decided.
fn play(plan: Plan, control: Option<&Path>) -> Result<Vec<record::Decision>, String> {
    let names: Vec<String> = plan.links.iter().map(|link| link.name.clone()).collect();
    let running = Running::start(plan, control).map_err(|fault| fault.to_string())?;
    for (name, address) in names.iter().zip(&running.addresses) {
        println!("{name} {address}");
    }
    let mut line = String::new();
    while std::io::stdin().read_line(&mut line).is_ok_and(|count| count > 0) {}
    let left = running.stop();
    for name in &left.never_fired {
        eprintln!("rule {name} never fired");
    }
    Ok(left.record)
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Run { plan: path, control, record } => {
            let decided = play(plan(&path)?, control.as_deref())?;
            let Some(to) = record else { return Ok(()) };
            std::fs::write(&to, record::lines(&decided)).map_err(|fault| format!("{}: {fault}", to.display()))
        }
        Command::Check { plan: path } => {
            let plan = plan(&path)?;
            println!("{} links, {} rules, seed {}", plan.links.len(), plan.rules.len(), plan.seed);
            Ok(())
        }
        Command::Ctl { socket, words } => {
            let fault = |fault: std::io::Error| format!("{}: {fault}", socket.display());
            let mut stream = UnixStream::connect(&socket).map_err(fault)?;
            writeln!(stream, "{}", words.join(" ")).map_err(fault)?;
            let mut answer = String::new();
            BufReader::new(stream).read_line(&mut answer).map_err(fault)?;
            match answer.trim().split_once(' ') {
                Some(("error", why)) => Err(why.to_owned()),
                _ if answer.is_empty() => Err("it has ended without an answer".into()),
                _ => {
                    println!("{}", answer.trim());
                    Ok(())
                }
            }
        }
        Command::Replay { plan: path, record } => {
            let before =
                record::read(&text(&record)?).map_err(|fault| format!("{}: {fault}", record.display()))?;
            let now = play(plan(&path)?, None)?;
            difference(&before, &now).map_or(Ok(()), |differ| Err(format!("the records differ at {differ}")))
        }
    }
}

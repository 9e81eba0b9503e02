//! The router's process: command line, log setup and start.

use clap::{Parser, Subcommand};
use ladderpass::{launch, sockets};
use ladderpass_config::operator::Log;
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::FmtSpan;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

const HELP: &str = "\
The platform configures the router by environment variables: RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY
(address:port), and RELAY_CONFIG, the path of a JSON file. RUST_LOG sets the log levels, also by target:
`info,ladderpass=debug`.

Signals: SIGHUP reads the JSON file and the operator's file again, and keeps the current configuration if the new one
is invalid; SIGTERM and SIGINT stop the router once all accepted RPCs are answered.

Exit codes: 0 the router was stopped, or the checked configuration is valid; 1 the configuration is invalid, or the
router can't start or continue; 2 the command line is invalid.

Examples:
  ladderpass                                        serve, as the platform starts it
  ladderpass --operator deploy/operator.yaml        serve, with the settings of the operator's file
  ladderpass check --operator deploy/operator.yaml  check and print the configuration, start nothing";

/// A proxy in front of a primary and its replicas: reads go to replicas that are fresh enough, writes to the primary
#[derive(Parser)]
#[command(name = "ladderpass", version, after_help = HELP)]
struct Cli {
    /// The operator's file (YAML); without it the router uses only the platform's configuration
    #[arg(long, global = true, value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve in the foreground (the default without a command)
    Serve,
    /// Read and check the whole configuration, print it with its defaults, and exit
    Check,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // Until the event loop handles signals, SIGHUP would end the process.
    if let Err(error) = sockets::block_reload_signal() {
        eprintln!("SIGHUP not blocked during the start: {error}");
    }
    let configuration = launch::Launch::read_at_start(|key| std::env::var(key).ok(), cli.operator.as_deref());
    if let Some(Command::Check) = cli.command {
        return match configuration {
            Ok(launch) => {
                print!("{}", launch.summary());
                ExitCode::SUCCESS
            }
            Err(errors) => {
                eprintln!("{errors}");
                ExitCode::FAILURE
            }
        };
    }
    let log = configuration.as_ref().map_or(Log::default(), |launch| launch.operator.log);
    start_log(log.json);
    let launch = match configuration {
        Ok(launch) => launch,
        Err(errors) => return exit_with_errors(&errors),
    };
    match sockets::run(launch, cli.operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_errors(&error),
    }
}

/// Logs each line of the errors' text, and returns the process's exit code for a failure.
fn exit_with_errors(errors: &impl Display) -> ExitCode {
    errors.to_string().lines().for_each(|error| tracing::error!("{error}"));
    ExitCode::FAILURE
}

/// Sets up the log, which goes to standard error. A tracing span is logged with its duration when it closes. The router
/// creates tracing spans at debug level only.
fn start_log(json: bool) {
    let filter = std::env::var("RUST_LOG").unwrap_or_default();
    let filter = if filter.is_empty() { "info" } else { &filter };
    let (targets, parse_error) = match filter.parse::<Targets>() {
        Ok(targets) => (targets, None),
        Err(error) => (Targets::new().with_default(tracing::Level::INFO), Some(error)),
    };
    let lines =
        tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_span_events(FmtSpan::CLOSE);
    let registry = tracing_subscriber::registry().with(targets);
    match json {
        true => registry.with(lines.json()).init(),
        false => registry.with(lines.with_ansi(false)).init(),
    }
    if let Some(error) = parse_error {
        tracing::warn!(%error, "RUST_LOG is neither a level nor target=level, using info");
    }
}

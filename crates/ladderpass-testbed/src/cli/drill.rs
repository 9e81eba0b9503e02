//! `drill`: plays a drill from its file, then prints and writes the results.

use super::args::DrillArgs;
use super::error::CliError;
use super::testbed::read_file;
use ladderpass_testbed::drill::Drill;
use ladderpass_testbed::drill::play::{DrillRecord, Programs, play};

pub fn run_drill(args: &DrillArgs) -> Result<(), CliError> {
    let drill = Drill::read(&read_file(&args.file)?).map_err(|error| CliError::file(&args.file, error))?;
    let programs =
        Programs { router: &args.router, faulty: args.faulty.as_deref(), earlier: args.earlier.as_deref() };
    let record = play(&drill, programs, args.seed).map_err(CliError::failed)?;
    if args.loud {
        print_logs(&record);
    }
    println!("{}", record.table(&drill));
    if let Some(folder) = &args.out {
        record.write(&drill, folder).map_err(|error| CliError::file(folder, error))?;
    }
    match record.violations.len() + record.router_failures.len() {
        0 => Ok(()),
        count => Err(CliError::DrillViolations(count)),
    }
}

/// Prints all log lines of all routers, each prefixed with the router's name.
fn print_logs(record: &DrillRecord) {
    for (router, log) in record.logs.iter().enumerate() {
        for line in log {
            println!("r{router} {line}");
        }
    }
}

//! The program `ladderpass-testbed`: loads, experiments, proofs and charts on emulated members.
//!
//! It is a command line over the library of this package. A router in production doesn't need it.

#![warn(clippy::too_many_lines)]

mod cli;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(cli::Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ladderpass-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}

//! `prove` and `capacity`: run the proofs of issues, and the longer measurements for the capacity page.

use super::args::{CapacityArgs, ProveArgs};
use super::error::CliError;
use ladderpass_testbed::drill::play::Programs;
use ladderpass_testbed::prove;

pub fn prove(args: &ProveArgs) -> Result<(), CliError> {
    let (router, earlier, faulty) = (args.router.as_path(), args.earlier.as_deref(), args.faulty.as_deref());
    let programs = Programs { router, faulty, earlier };
    let (seed, out) = (args.seed, args.out.join(&args.name));
    let holds = match args.name.as_str() {
        "overload" => prove::overload::prove(router, earlier, seed, &out),
        "capacity" => prove::capacity::prove(router, seed),
        "faults" => prove::faults::prove(router, faulty, seed),
        "fleet-overload" => prove::fleet_overload::prove(programs, seed, &out),
        "fleet-budgets" => prove::fleet_budgets::prove(programs, seed, &out),
        "fleet-ramp" => prove::fleet_ramp::prove(programs, seed, &out),
        "membership" => prove::membership::prove(programs, seed, &out),
        other => return Err(CliError::UnknownProof(other.to_owned())),
    };
    match holds.map_err(CliError::failed)? {
        true => Ok(()),
        false => Err(CliError::ProofFallsShort),
    }
}

pub fn measure_capacity(args: &CapacityArgs) -> Result<(), CliError> {
    let programs = Programs { router: &args.router, faulty: None, earlier: None };
    prove::capacity::make_long_runs(programs, args.seed, &args.out).map_err(CliError::failed)
}

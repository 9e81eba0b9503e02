//! `hollow`: prints how much a simulated router sends and computes per second, or how that grows with the numbers of routers,
//! groups and members.

use super::args::SimulatedRoutersArgs;
use super::error::CliError;
use ladderpass_testbed::capacity::control;
use ladderpass_testbed::capacity::simulated_routers::Shape;

/// Number of members of each group, unless the command line sets the total.
const MEMBERS_PER_GROUP: usize = 3;
/// Number of routers whose CPU time is measured.
const OBSERVED_ROUTERS: usize = 2;

pub fn simulate(args: &SimulatedRoutersArgs) -> Result<(), CliError> {
    match args.slopes {
        true => print_slopes(args),
        false => print_rates(args),
    }
}

fn print_slopes(args: &SimulatedRoutersArgs) -> Result<(), CliError> {
    let memory = control::memory(args.seed).map_err(CliError::failed)?;
    let settings = control::Settings { long: args.long };
    let slopes = control::measure(args.seed, &settings, memory).map_err(CliError::failed)?;
    for slope in &slopes {
        let (points, fit) = (&slope.points, slope.fit());
        println!("{} ({} by {}): {points:?}\n  {fit:?}", slope.name, slope.y, slope.x);
    }
    Ok(())
}

fn print_rates(args: &SimulatedRoutersArgs) -> Result<(), CliError> {
    let shape = Shape {
        members: args.members.unwrap_or(MEMBERS_PER_GROUP * args.groups),
        rate: args.rate,
        fleet: args.fleet,
        seed: args.seed,
        observed: OBSERVED_ROUTERS,
        ..Shape::of(args.routers, args.groups)
    };
    let rates = control::rates(&shape, args.seconds).map_err(CliError::failed)?;
    println!("{rates:#?}");
    Ok(())
}

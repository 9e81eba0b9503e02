//! Reads the options that set up the emulator and the router of `up` and `load`, and executes `up`.

use super::args::TestbedArgs;
use super::error::CliError;
use ladderpass_emulator::{RunningEmulator, Scenario};
use ladderpass_testbed::router::{Router, Start};
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;

/// Interval at which `up` checks that the router still runs.
const ROUTER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

pub fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|error| CliError::file(path, error))
}

/// Reads the scenario of the emulator from the file that the command line names. Returns the default scenario if the command
/// line names none.
pub fn read_scenario(args: &TestbedArgs) -> Result<Scenario, CliError> {
    let Some(path) = &args.scenario else { return Ok(Scenario::default()) };
    Scenario::read(&read_file(path)?).map_err(|error| CliError::file(path, error))
}

/// Builds the start options of the router from the command line.
pub fn router_start(args: &TestbedArgs) -> Result<Start, CliError> {
    let mut start = Start::new(&args.router);
    start.operator = args.operator.as_deref().map(read_file).transpose()?;
    start.cpu = args.cpu;
    start.print_log = args.loud;
    start.allowed.memory_mb = args.memory_mb;
    Ok(start)
}

/// Runs an emulator and a router until this process is interrupted. Returns only with an error, as when the router ends.
pub fn serve_until_interrupted(args: &TestbedArgs) -> Result<(), CliError> {
    let scenario = read_scenario(args)?;
    let emulator =
        RunningEmulator::start(scenario.clone(), args.seed, Ipv4Addr::LOCALHOST).map_err(CliError::failed)?;
    let start = Start { print_log: true, ..router_start(args)? };
    let mut router = Router::start(&scenario, &emulator, &start, args.seed).map_err(CliError::failed)?;
    print_usage(&scenario, &emulator, &router);
    loop {
        std::thread::sleep(ROUTER_CHECK_INTERVAL);
        if let Some(code) = router.ended() {
            return Err(CliError::RouterEnded(code));
        }
    }
}

fn print_usage(scenario: &Scenario, emulator: &RunningEmulator, router: &Router) {
    let methods: Vec<&str> = scenario.methods.iter().map(|method| method.name.as_str()).collect();
    println!("members {:?}, discovery {}", emulator.addresses, emulator.discovery);
    println!(
        "router  {} (methods {methods:?}); ask it with any client of PostgreSQL's simple queries:",
        router.address
    );
    println!(
        "  SELECT payload FROM entries WHERE ref = 'k' /* id=1,c={},d=1000,cluster=0 */",
        methods.first().unwrap_or(&"")
    );
    println!("interrupt to end");
}

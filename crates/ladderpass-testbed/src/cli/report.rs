//! `report`: prints tables and draws charts of results that an earlier `load` has written.

use super::args::ReportArgs;
use super::error::CliError;
use ladderpass_testbed::results;

pub fn report_results(args: &ReportArgs) -> Result<(), CliError> {
    for path in &args.results {
        println!("{}\n\n{}", path.display(), results::report(path).map_err(CliError::failed)?);
    }
    Ok(())
}

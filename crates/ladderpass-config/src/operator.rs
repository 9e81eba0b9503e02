//! Reads the operator's file, a YAML file with the settings of an installation that the users' settings do not cover.
//! Durations and sizes are written with their units.
//!
//! - `file` defines the keys.
//! - `yaml` reads the keys, and skips those that can't be read.
//! - `units` reads values with a unit or a range.
//! - `overload` and `peers` read the sections of the same names, which have checks of their own.
//! - `errors` defines the errors, which name the line, the key and what is allowed.

mod errors;
mod file;
mod overload;
mod peers;
mod units;
mod yaml;

pub use errors::{OperatorFileError, OperatorFileErrors, ValueProblem};
pub use peers::Peers;

use errors::FoundErrors;
use file::{FleetSection, LogSection, MembersSection, OperatorFile};
use ladderpass_overload::Settings;
use ladderpass_routing::Span;
use overload::read_overload;
use peers::read_peers;
use units::set_duration;
use yaml::{ParsedFile, is_blank, parse_file};

/// The settings in the operator's file. The default values apply without a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// The settings of the log.
    pub log: Log,
    /// The settings of the overload control, or `None` where the overload control is off.
    pub overload: Option<Settings>,
    /// The routers to exchange gossip with, or `None` where gossip is off.
    pub peers: Option<Peers>,
    /// Whether all routers shed load together, by one admission threshold for each group.
    pub shared_admission: bool,
    /// Whether retries are granted from one retry budget of all routers.
    pub shared_retry_budget: bool,
    /// The zone of this router, or `None` where the zones in the endpoint list are not used.
    pub zone: Option<String>,
    /// Whether the weights in the endpoint list are the members' concurrency: how many RPCs a member can process at
    /// once without slowing them.
    pub weights_are_concurrency: bool,
}

/// The format of the log, and how often the metrics are logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Log {
    /// Whether each line of the log is a JSON object, rather than text.
    pub json: bool,
    /// The time between two log lines with the metrics.
    pub metrics_interval: Span,
}

impl Default for Log {
    fn default() -> Log {
        Log { json: false, metrics_interval: Span::from_millis(10_000) }
    }
}

/// Reads and checks the text of the operator's file. An empty file results in the defaults.
///
/// # Errors
/// Returns the errors that were found: first errors of keys and types, then errors of single values, then errors of
/// combinations of values. If a key can't be read, errors of combinations are omitted.
pub fn read(text: &str) -> Result<Operator, OperatorFileErrors> {
    if is_blank(text) {
        return Ok(Operator::default());
    }
    let mut errors = FoundErrors::default();
    let mut operator = Operator::default();
    let ParsedFile { file, is_complete } = parse_file(text, &mut errors.values);
    if let Some(file) = file {
        read_sections(file, &mut operator, &mut errors);
    }
    let FoundErrors { mut values, combinations } = errors;
    // If a key could not be read, a combination may only seem to be wrong because this key is missing.
    if is_complete {
        values.extend(combinations, |error| error);
    }
    values.into_result().map(|()| operator)
}

fn read_sections(file: OperatorFile, operator: &mut Operator, errors: &mut FoundErrors) {
    if let Some(log) = file.log {
        read_log(log, &mut operator.log, errors);
    }
    operator.overload = match file.overload {
        Some(overload) if overload.enabled != Some(false) => Some(read_overload(overload, errors)),
        _ => None,
    };
    let has_peers = file.peers.is_some();
    operator.peers = file.peers.and_then(|peers| read_peers(peers, errors));
    if let Some(fleet) = file.fleet {
        read_fleet(&fleet, has_peers, operator, errors);
    }
    if let Some(members) = file.members {
        read_members(members, operator, errors);
    }
}

fn read_log(section: LogSection, log: &mut Log, errors: &mut FoundErrors) {
    if let Some(format) = section.format {
        match format.value.as_str() {
            "text" => log.json = false,
            "json" => log.json = true,
            other => {
                let problem = ValueProblem::LogFormat(other.to_owned());
                errors.values.push(OperatorFileError::at(&format, "log.format", problem));
            }
        }
    }
    let interval = section.metrics_interval;
    errors.ok_or_push(set_duration(&mut log.metrics_interval, "log.figures", interval, 100..=3_600_000));
}

fn read_fleet(section: &FleetSection, has_peers: bool, operator: &mut Operator, errors: &mut FoundErrors) {
    operator.shared_admission = section.shared_admission.value;
    if operator.shared_admission && !has_peers {
        let problem = ValueProblem::SharedAdmissionWithoutPeers;
        errors.combinations.push(OperatorFileError::at(&section.shared_admission, "fleet.sheds", problem));
    }
    if let Some(shared_retry_budget) = &section.shared_retry_budget {
        operator.shared_retry_budget = shared_retry_budget.value;
        if operator.shared_retry_budget && !operator.shared_admission {
            let problem = ValueProblem::SharedBudgetWithoutAdmission;
            errors.combinations.push(OperatorFileError::at(shared_retry_budget, "fleet.budgets", problem));
        }
    }
}

fn read_members(section: MembersSection, operator: &mut Operator, errors: &mut FoundErrors) {
    if let Some(zone) = section.zone.as_ref().filter(|zone| zone.value.trim().is_empty()) {
        errors.values.push(OperatorFileError::at(zone, "members.zone", ValueProblem::EmptyZone));
    }
    operator.zone = section.zone.map(|zone| zone.value);
    operator.weights_are_concurrency = section.weights_are_concurrency.unwrap_or(false);
}

//! Rules that drop or delay datagrams among routers.

use crate::prove::scenarios::owned_names;
use ladderpass_fault_injection::plan::Distribution;
use ladderpass_fault_injection::{DatagramAction, DatagramRule};

/// Returns a rule that drops a fraction of all datagrams.
pub fn loss_rule(name: &str, probability: f64) -> DatagramRule {
    rule(name, &[], probability, DatagramAction::Drop)
}

/// Returns a rule that delays a fraction of the datagrams of one router by a constant time, in milliseconds.
pub fn delay_rule(name: &str, router: &str, probability: f64, ms: f64) -> DatagramRule {
    let action = DatagramAction::Delay { ms, distribution: Distribution::Constant };
    rule(name, &[router], probability, action)
}

fn rule(name: &str, from: &[&str], probability: f64, action: DatagramAction) -> DatagramRule {
    DatagramRule {
        name: name.into(),
        from: owned_names(from),
        to: Vec::new(),
        both: false,
        split: Vec::new(),
        after_ms: 0,
        for_ms: 0,
        probability,
        action,
    }
}

//! Parts of drills that several proofs share: members under overload, faulty routers and times of faults.

use ladderpass_emulator::Scenario;
use std::collections::BTreeMap;
use std::ops::Range;

/// The number of routers in the drills on admission control and retry budgets.
pub const FLEET_ROUTERS: usize = 8;

/// Operator's file with which each router sheds load by itself.
pub const SEPARATE_ADMISSION: &str = "log: {figures: 250ms}";
/// Operator's file with which routers share admission control.
pub const SHARED_ADMISSION: &str = "fleet: {sheds: true}\nlog: {figures: 250ms}";
/// Operator's file with which routers share admission control and retry budgets.
pub const SHARED_ADMISSION_AND_BUDGETS: &str = "fleet: {sheds: true, budgets: true}\nlog: {figures: 250ms}";
/// The interval at which routers with the operator's files of this module log their metrics, in seconds.
pub const METRICS_INTERVAL_S: f64 = 0.25;

/// The mean work of an RPC of [`overloaded_scenario`], in milliseconds.
const WORK_MS: f64 = 20.0;
const VALUE_BYTES: usize = 16;

/// The period in which a fault acts. Times are in seconds from the start of the load.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// When the fault starts, in seconds from the start of the load.
    pub at_s: f64,
    /// How long the fault lasts, in seconds.
    pub lasts_s: f64,
}

impl FaultWindow {
    /// Returns when the fault ends.
    pub fn end_s(&self) -> f64 {
        self.at_s + self.lasts_s
    }
}

/// Returns a scenario of three members that each work on two RPCs at a time. An RPC takes 20 ms on average, so that the
/// members together can serve 300 RPCs a second. `shares` are the fractions of reads and writes.
pub fn overloaded_scenario(shares: [f64; 2]) -> Scenario {
    let mut scenario = Scenario { cores: 2, ..Scenario::default() };
    for (method, share) in scenario.methods.iter_mut().zip(shares) {
        (method.work_ms, method.share, method.value_bytes) = (WORK_MS, share, VALUE_BYTES);
    }
    scenario
}

/// Converts names to the owned strings that drills contain.
pub fn owned_names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Returns the names of the routers with these numbers.
pub fn router_names(routers: Range<usize>) -> Vec<String> {
    routers.map(|router| format!("r{router}")).collect()
}

/// Returns the value of [`Drill::faulty`](crate::drill::Drill::faulty) that switches the same fault on in all these routers.
pub fn faulty_routers(routers: Range<usize>, switch: &str) -> BTreeMap<String, String> {
    router_names(routers).into_iter().map(|name| (name, switch.to_owned())).collect()
}

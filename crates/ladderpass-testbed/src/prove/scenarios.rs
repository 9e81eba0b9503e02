//! Parts of drills that several proofs share: members under overload, faulty routers, times of faults.

use ladderpass_emulator::Scenario;
use std::collections::BTreeMap;
use std::ops::Range;

/// Routers of the drills on admission control and retry budgets.
pub const FLEET_ROUTERS: usize = 8;

/// Operator's file: each router sheds load by itself.
pub const SEPARATE_ADMISSION: &str = "log: {figures: 250ms}";
/// Operator's file: routers share admission control.
pub const SHARED_ADMISSION: &str = "fleet: {sheds: true}\nlog: {figures: 250ms}";
/// Operator's file: routers share admission control and retry budgets.
pub const SHARED_ADMISSION_AND_BUDGETS: &str = "fleet: {sheds: true, budgets: true}\nlog: {figures: 250ms}";
/// How often these routers log their metrics, in seconds.
pub const METRICS_INTERVAL_S: f64 = 0.25;

/// Mean work of an RPC of [`overloaded_scenario`], in milliseconds.
const WORK_MS: f64 = 20.0;
const VALUE_BYTES: usize = 16;

/// When a fault acts, in seconds from the start of the load.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// Its start.
    pub at_s: f64,
    /// How long it lasts.
    pub lasts_s: f64,
}

impl FaultWindow {
    /// Its end.
    pub fn end_s(&self) -> f64 {
        self.at_s + self.lasts_s
    }
}

/// Three members that work on two RPCs at a time, 20 ms each on average: they can serve 300 RPCs a second. `shares` are the
/// fractions of reads and writes.
pub fn overloaded_scenario(shares: [f64; 2]) -> Scenario {
    let mut scenario = Scenario { cores: 2, ..Scenario::default() };
    for (method, share) in scenario.methods.iter_mut().zip(shares) {
        (method.work_ms, method.share, method.value_bytes) = (WORK_MS, share, VALUE_BYTES);
    }
    scenario
}

/// Names as a drill has them.
pub fn owned_names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Names of routers by their numbers.
pub fn router_names(routers: Range<usize>) -> Vec<String> {
    routers.map(|router| format!("r{router}")).collect()
}

/// Routers that all run with the same fault switched on.
pub fn faulty_routers(routers: Range<usize>, switch: &str) -> BTreeMap<String, String> {
    router_names(routers).into_iter().map(|name| (name, switch.to_owned())).collect()
}

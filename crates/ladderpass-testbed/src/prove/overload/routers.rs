//! The routers that the proof compares, which differ in their programs and operator's files.

use crate::router::{self, Start};
use std::fmt::Display;
use std::path::Path;

/// Operator's file that switches overload control on with its defaults. Without the file a router has no overload control.
const OVERLOAD_CONTROL: &str = "log: {figures: 200ms}\noverload: {}\n";
/// Operator's file with which the router rejects all RPCs that it may reject, so that the cost of rejections can be measured
/// alone.
const REJECT_ALL: &str = "overload:\n  memory: {from: 0.0001, full: 0.0002}\n";
/// How long the warm-up lasts, in seconds, before each load whose RPCs are due whether or not earlier ones are answered. The
/// warm-up has half of the calm load or, while the calm load is being determined, half of the rate that is tried. All
/// connections are open during the warm-up.
pub const WARM_UP_S: f64 = 0.3;

/// The routers that the proof compares.
pub struct Routers {
    /// The router with overload control.
    pub controlled: Start,
    /// The router without an operator's file.
    pub uncontrolled: Start,
    /// The router with overload control that rejects all RPCs that it may reject.
    pub rejecting: Start,
    /// The earlier program without an operator's file, if it is given.
    pub earlier: Option<Start>,
}

impl Routers {
    /// Creates the routers from their programs.
    pub fn new(binary: &Path, earlier: Option<&Path>) -> Routers {
        Routers {
            controlled: start(binary, Some(OVERLOAD_CONTROL)),
            uncontrolled: start(binary, None),
            rejecting: start(binary, Some(REJECT_ALL)),
            earlier: earlier.map(|earlier| start(earlier, None)),
        }
    }
}

/// Returns a router that is pinned to the machine's last core, as the first core handles most interrupts.
fn start(binary: &Path, operator: Option<&str>) -> Start {
    let last_core = router::cores() - 1;
    Start { operator: operator.map(str::to_owned), cpu: Some(last_core), ..Start::new(binary) }
}

/// Returns the text of a value that was measured without an operator's file, for comparison.
pub fn uncontrolled_text(value: impl Display) -> String {
    format!("{value} without the file")
}

//! The routers that the proof compares, by their programs and operator's files.

use crate::router::{self, Start};
use std::fmt::Display;
use std::path::Path;

/// Operator's file: overload control with its defaults. Without it a router has none.
const OVERLOAD_CONTROL: &str = "log: {figures: 200ms}\noverload: {}\n";
/// Operator's file: the router rejects all RPCs that it may, so that the cost of rejections can be measured alone.
const REJECT_ALL: &str = "overload:\n  memory: {from: 0.0001, full: 0.0002}\n";
/// Before each load, the router gets half of the calm load for this time, with all connections open.
pub const WARM_UP_S: f64 = 0.3;

/// The routers that the proof compares.
pub struct Routers {
    /// With overload control.
    pub controlled: Start,
    /// Without an operator's file.
    pub uncontrolled: Start,
    /// With overload control that rejects all RPCs.
    pub rejecting: Start,
    /// The earlier program, without an operator's file.
    pub earlier: Option<Start>,
}

impl Routers {
    /// The routers by their programs.
    pub fn new(binary: &Path, earlier: Option<&Path>) -> Routers {
        Routers {
            controlled: start(binary, Some(OVERLOAD_CONTROL)),
            uncontrolled: start(binary, None),
            rejecting: start(binary, Some(REJECT_ALL)),
            earlier: earlier.map(|earlier| start(earlier, None)),
        }
    }
}

/// A router on the machine's last core: the first one handles most interrupts.
fn start(binary: &Path, operator: Option<&str>) -> Start {
    let last_core = router::cores() - 1;
    Start { operator: operator.map(str::to_owned), cpu: Some(last_core), ..Start::new(binary) }
}

/// Text of a value that was measured without an operator's file, for comparison.
pub fn uncontrolled_text(value: impl Display) -> String {
    format!("{value} without the file")
}

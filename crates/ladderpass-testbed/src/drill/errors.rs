//! Errors of a drill file. Each error prints as one line that names the wrong key.

use thiserror::Error;

/// What makes a drill file invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DrillError {
    /// The file can't be parsed. The error has the deserializer's message on one line, which begins with the key.
    #[error("{0}")]
    Syntax(String),
    /// A number is too small or too large.
    #[error("{key}: {value}; allowed are {min} to {max}")]
    OutOfRange {
        /// Key of the number in the file.
        key: &'static str,
        /// The number in the file.
        value: f64,
        /// Smallest allowed value of the number.
        min: f64,
        /// Largest allowed value of the number.
        max: f64,
    },
    /// The drill has no phase, or a phase that is too long or has too high a rate.
    #[error("phases: allowed are pairs of up to 3600 seconds and 20000 RPCs a second")]
    Phases,
    /// The emulator's scenario is not valid. The text begins with the key within the scenario.
    #[error("scenario.{0}")]
    Scenario(String),
    /// A key or an entry of `faulty`, `clocks`, `earlier` or `quiet` does not name a router of the drill.
    #[error("faulty, clocks, earlier, quiet: {0:?}; allowed are r0, r1, ...")]
    UnknownRouter(String),
    /// A fault event is not valid.
    #[error("deeds[{index}].{source}")]
    Event {
        /// Index of the event in the file's list.
        index: usize,
        /// What is wrong with the event.
        source: FaultEventError,
    },
}

/// What makes a fault event invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FaultEventError {
    /// The event has no action, or several actions.
    #[error("at {at}: {name:?}; allowed is one thing to do")]
    NotOneAction {
        /// When the event begins, in seconds from the start of the load.
        at: f64,
        /// The event's actions, as printed in tables.
        name: String,
    },
    /// The event begins outside the load, or lasts longer than the load.
    #[error("at, for: {at} and {lasts}; allowed are 0 to {load_s}")]
    OutsideLoad {
        /// When the event begins, in seconds from the start of the load.
        at: f64,
        /// Duration of the event, in seconds.
        lasts: f64,
        /// Duration of the load, in seconds.
        load_s: f64,
    },
    /// The event has a duration, but its action takes effect once and has no end.
    #[error("for: {name} takes effect once and has no duration")]
    NoEnd {
        /// The event's action, as printed in tables.
        name: String,
    },
    /// The event names a router that the drill does not have.
    #[error("{name:?}; allowed are r0 to r{last}")]
    UnknownRouter {
        /// The router's name in the file.
        name: String,
        /// Index of the drill's last router.
        last: usize,
    },
    /// A side of a split or an end of a cut names a place that the drill does not have.
    #[error("{0:?}; allowed are r0, member-0, discovery, front")]
    UnknownPlace(String),
    /// The event names a member that the scenario does not have.
    #[error("member {member}; there are {count}")]
    UnknownMember {
        /// The member's index in the file.
        member: u32,
        /// Number of members in the scenario.
        count: usize,
    },
}

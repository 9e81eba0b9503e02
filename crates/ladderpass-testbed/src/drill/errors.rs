//! Why a drill's file is refused. Each error prints as one line that names the key.

use thiserror::Error;

/// A drill that is not valid, by the key.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DrillError {
    /// It can't be read: the deserializer's message on one line, which begins with the key.
    #[error("{0}")]
    Syntax(String),
    /// A number that is too small or too large.
    #[error("{key}: {value}; allowed are {min} to {max}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
        /// The least that is allowed.
        min: f64,
        /// The most that is allowed.
        max: f64,
    },
    /// No phase, or one that is too long or too fast.
    #[error("phases: allowed are pairs of up to 3600 seconds and 20000 RPCs a second")]
    Phases,
    /// The emulator's scenario; the text begins with the key within it.
    #[error("scenario.{0}")]
    Scenario(String),
    /// A key or an entry of `faulty`, `clocks`, `earlier` or `quiet` that is no router of the drill.
    #[error("faulty, clocks, earlier, quiet: {0:?}; allowed are r0, r1, ...")]
    UnknownRouter(String),
    /// A fault event that is not valid.
    #[error("deeds[{index}].{source}")]
    Event {
        /// Index of the event in the file.
        index: usize,
        /// What is wrong with it.
        source: FaultEventError,
    },
}

/// A fault event that is not valid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FaultEventError {
    /// It does nothing, or several things.
    #[error("at {at}: {name:?}; allowed is one thing to do")]
    NotOneAction {
        /// When it begins, in seconds of the load.
        at: f64,
        /// What it does, as tables name it.
        name: String,
    },
    /// It begins outside the load, or lasts longer than the load.
    #[error("at, for: {at} and {lasts}; allowed are 0 to {load_s}")]
    OutsideLoad {
        /// When it begins, in seconds of the load.
        at: f64,
        /// How long it lasts, in seconds.
        lasts: f64,
        /// Length of the load, in seconds.
        load_s: f64,
    },
    /// It has a duration, and nothing that could end.
    #[error("for: {name} has no end")]
    NoEnd {
        /// What it does, as tables name it.
        name: String,
    },
    /// A router that the drill does not have.
    #[error("{name:?}; allowed are r0 to r{last}")]
    UnknownRouter {
        /// The name that was given.
        name: String,
        /// Index of the drill's last router.
        last: usize,
    },
    /// A side of a split, or an end of a cut, that the drill does not have.
    #[error("{0:?}; allowed are r0, member-0, discovery, front")]
    UnknownPlace(String),
    /// A member that the scenario does not have.
    #[error("member {member}; there are {count}")]
    UnknownMember {
        /// The number that was given.
        member: u32,
        /// How many members there are.
        count: usize,
    },
}

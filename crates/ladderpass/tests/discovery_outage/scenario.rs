//! The cases of an outage: how watches end meanwhile, the state before it, and how the list is delivered.

use crate::common::{launch_with_discovery, router_config, simulated_members};
use Ending::{
    Any, Denied, EmptyLines, EndsEarly, HalfAList, Hangs, HeadAlone, ListForEver, NeverUp, NotChunked,
    OlderList, Refused, Reset, SpoiltLine, Status,
};
use ladderpass::launch;

/// How a watch ends while discovery is away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The connect is never answered.
    NeverUp,
    /// It connects, and never answers.
    Hangs,
    Refused,
    /// No descriptor for it.
    Denied,
    /// Reset once it was written.
    Reset,
    Status,
    NotChunked,
    SpoiltLine,
    /// A response head, and then a close.
    EndsEarly,
    /// A response head, and then nothing.
    HeadAlone,
    /// A response head, and empty lines for ever.
    EmptyLines,
    /// A list that begins, and then nothing, or bytes for ever.
    HalfAList,
    ListForEver,
    /// A list from before.
    OlderList,
    /// Another one of these each time.
    Any,
}

pub const ENDINGS: [Ending; 15] = [
    NeverUp,
    Hangs,
    Refused,
    Denied,
    Reset,
    Status,
    NotChunked,
    SpoiltLine,
    EndsEarly,
    HeadAlone,
    EmptyLines,
    HalfAList,
    ListForEver,
    OlderList,
    Any,
];

/// The state when discovery goes down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Before {
    /// The process starts while it is away.
    Start,
    /// The watch is reset, or falls silent.
    Watch,
    SilentWatch,
    /// It has moved: SIGHUP, while the old address serves on with nothing new.
    HangUp,
    /// SIGHUP in the middle of an outage of the old address, mostly while a watch is being opened.
    HangUpInOutage,
}

pub const BEFORE: [Before; 5] =
    [Before::Start, Before::Watch, Before::SilentWatch, Before::HangUp, Before::HangUpInOutage];

/// How the list is delivered, by the settings: polled within `MustAskIn`, or pushed with this `DrainGrace`.
#[derive(Clone, Copy, Debug)]
pub enum Mode {
    Polled(i64),
    Pushed(i64),
}

pub const MODES: [Mode; 5] = [
    Mode::Polled(1000),
    Mode::Polled(10_000),
    Mode::Polled(60_000),
    Mode::Pushed(1000),
    Mode::Pushed(60_000),
];
/// Where discovery is at the start.
pub const OLD_PORT: u16 = 8500;
/// Where it is after a reload.
pub const NEW_PORT: u16 = 8600;

/// A router of three members, whose random numbers are of this seed, with discovery at this port.
pub fn launch_with(mode: Mode, seed: u64, port: u16) -> launch::Launch {
    let members = simulated_members(3);
    let text = router_config(&members)
        .replace("\"Probes\":true", "\"Probes\":false")
        .replace("8c1f30d27a5be964", &format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let text = match mode {
        Mode::Polled(ms) => text.replace("\"MustAskIn\":10000000000", &format!("\"MustAskIn\":{ms}000000")),
        Mode::Pushed(ms) => text
            .replace("\"subscribe\"", "\"automatic\"")
            .replace("\"MustAskIn\":10000000000", &format!("\"DrainGrace\":{ms}000000")),
    };
    assert!(!text.contains("\"MustAskIn\":10000000000") || matches!(mode, Mode::Polled(10_000)));
    launch_with_discovery(&text, &format!("127.0.0.1:{port}"))
}

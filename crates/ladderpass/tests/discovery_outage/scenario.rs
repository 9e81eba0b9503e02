//! The cases of an outage: how watches end meanwhile, the state before it, and how the list is delivered.

use crate::common::{launch_with_discovery, router_config, simulated_members};
use Ending::{
    ConnectHangs, EndlessEmptyLines, EndlessList, ErrorStatus, HeadThenClose, HeadThenSilence, InvalidLine,
    NoAnswer, NoDescriptor, NotChunked, OlderList, Random, Refused, Reset, UnfinishedList,
};
use ladderpass::launch;

/// How a watch ends while discovery is away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The connect is never answered.
    ConnectHangs,
    /// It connects, and never answers.
    NoAnswer,
    Refused,
    /// No descriptor for it.
    NoDescriptor,
    /// Reset once it was written.
    Reset,
    ErrorStatus,
    NotChunked,
    InvalidLine,
    /// A response head, and then a close.
    HeadThenClose,
    /// A response head, and then nothing.
    HeadThenSilence,
    /// A response head, and empty lines for ever.
    EndlessEmptyLines,
    /// A list that begins, and then nothing, or bytes for ever.
    UnfinishedList,
    EndlessList,
    /// A list from before.
    OlderList,
    /// Another one of these each time.
    Random,
}

pub const ENDINGS: [Ending; 15] = [
    ConnectHangs,
    NoAnswer,
    Refused,
    NoDescriptor,
    Reset,
    ErrorStatus,
    NotChunked,
    InvalidLine,
    HeadThenClose,
    HeadThenSilence,
    EndlessEmptyLines,
    UnfinishedList,
    EndlessList,
    OlderList,
    Random,
];

/// The state when discovery goes down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageStart {
    /// The process starts while it is away.
    ProcessStart,
    /// The watch is reset, or falls silent.
    WatchCloses,
    WatchFallsSilent,
    /// It has moved: SIGHUP, while the old address serves on with nothing new.
    Reload,
    /// SIGHUP in the middle of an outage of the old address, mostly while a watch is being opened.
    ReloadDuringOutage,
}

pub const OUTAGE_STARTS: [OutageStart; 5] = [
    OutageStart::ProcessStart,
    OutageStart::WatchCloses,
    OutageStart::WatchFallsSilent,
    OutageStart::Reload,
    OutageStart::ReloadDuringOutage,
];

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
pub fn outage_launch(mode: Mode, seed: u64, port: u16) -> launch::Launch {
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

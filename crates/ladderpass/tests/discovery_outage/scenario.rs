//! The cases of an outage of discovery: how the outage begins, how watches end during the outage, and how the endpoint
//! list is delivered.

use crate::common::{launch_with_discovery, router_config, simulated_members};
use Ending::{
    ConnectHangs, EndlessEmptyLines, EndlessList, ErrorStatus, HeadThenClose, HeadThenSilence, InvalidLine,
    NoAnswer, NoDescriptor, NotChunked, OlderList, Random, Refused, Reset, UnfinishedList,
};
use ladderpass::launch;

/// How a watch ends while discovery is unreachable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The connect to discovery gets no answer.
    ConnectHangs,
    /// The connection is established, and the watch request gets no answer.
    NoAnswer,
    /// The connection to discovery is refused.
    Refused,
    /// The router has no descriptor for the connection to discovery.
    NoDescriptor,
    /// The connection is closed after the watch request, without an answer.
    Reset,
    /// Discovery's response has the status 503.
    ErrorStatus,
    /// Discovery's response has a content length in place of chunks.
    NotChunked,
    /// Discovery's response has a line that is no valid JSON.
    InvalidLine,
    /// The response head arrives, and then the connection is closed.
    HeadThenClose,
    /// The response head arrives, and then nothing.
    HeadThenSilence,
    /// The response head arrives, and then empty lines for ever.
    EndlessEmptyLines,
    /// The beginning of an endpoint list arrives, and then nothing.
    UnfinishedList,
    /// The beginning of an endpoint list arrives, and then bytes for ever.
    EndlessList,
    /// An endpoint list with an older generation arrives.
    OlderList,
    /// Each watch ends in a way that is drawn at random from the other variants.
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

/// How the outage of discovery begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageStart {
    /// The router starts while discovery is unreachable.
    ProcessStart,
    /// Discovery closes the open watch.
    WatchCloses,
    /// The open watch stays open, but discovery sends nothing on it any more.
    WatchFallsSilent,
    /// SIGHUP moves discovery to a new address, which is unreachable, while the old address serves on without a change.
    Reload,
    /// SIGHUP moves discovery to a new address in the middle of an outage of the old one, mostly while a watch is being
    /// opened.
    ReloadDuringOutage,
}

pub const OUTAGE_STARTS: [OutageStart; 5] = [
    OutageStart::ProcessStart,
    OutageStart::WatchCloses,
    OutageStart::WatchFallsSilent,
    OutageStart::Reload,
    OutageStart::ReloadDuringOutage,
];

/// How the endpoint list is delivered according to the settings.
#[derive(Clone, Copy, Debug)]
pub enum Mode {
    /// The router polls the list, with this `MustAskIn` in milliseconds.
    Polled(i64),
    /// Discovery pushes the list, with this `DrainGrace` in milliseconds.
    Pushed(i64),
}

pub const MODES: [Mode; 5] = [
    Mode::Polled(1000),
    Mode::Polled(10_000),
    Mode::Polled(60_000),
    Mode::Pushed(1000),
    Mode::Pushed(60_000),
];
/// The port of discovery at the start.
pub const OLD_PORT: u16 = 8500;
/// The port of discovery after a reload of the configuration.
pub const NEW_PORT: u16 = 8600;

/// The launch parameters of a router in front of three members, with this random seed and with discovery at this port.
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

//! Compares every byte that the router writes with a recording. Two routers that gossip with each other run without
//! sockets on a simulated clock, with clients, members and a discovery service that fail at random.
//!
//! `recorded/first_run.txt` holds the whole transcript of a short run, and `recorded/digests.txt` one digest for each
//! of many longer runs. A change to the router that is meant to preserve behaviour leaves both files as they are. A
//! change of what the router writes, or when, records the files again (`LADDERPASS_RECORD=1 cargo test -p ladderpass
//! --test recorded_bytes`), and the commit of the change says what differs and why. The recordings were made on arm64
//! Linux. On other systems the last bit of a logarithm may differ, and with it a random choice.

#[path = "../common/mod.rs"]
mod common;
mod remotes;
mod simulation;

use ladderpass_routing::Span;
use simulation::Simulation;
use std::path::PathBuf;

const SEEDS: u64 = 48;
const FIRST_RUN: Span = Span::from_millis(1500);
const LONG_RUN: Span = Span::from_millis(8000);

fn transcript(seed: u64, length: Span) -> String {
    let mut simulation = Simulation::new(seed);
    simulation.run(length);
    simulation.transcript
}

/// The 64-bit FNV-1a hash of the text.
fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn assert_matches_recording(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name);
    if std::env::var_os("LADDERPASS_RECORD").is_some() {
        return std::fs::write(&path, text).expect("the recording can be written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the recording can be read");
    let first_difference = text.lines().zip(recorded.lines()).position(|(now, before)| now != before);
    let line = first_difference.unwrap_or_else(|| text.lines().count().min(recorded.lines().count()));
    let (now, before) = (text.lines().nth(line), recorded.lines().nth(line));
    assert!(text == recorded, "{name}, line {}:\nnow    {now:?}\nbefore {before:?}", line + 1);
}

#[test]
fn a_short_run_equals_its_recorded_transcript() {
    assert_matches_recording("first_run.txt", &transcript(1, FIRST_RUN));
}

#[test]
fn long_runs_equal_their_recorded_digests() {
    let digests: Vec<String> = (2..2 + SEEDS)
        .map(|seed| {
            let text = transcript(seed, LONG_RUN);
            format!("{seed} {} lines {:016x}\n", text.lines().count(), digest(&text))
        })
        .collect();
    assert_matches_recording("digests.txt", &digests.concat());
}

/// Two runs with the same seed are equal, and the short run covers what the recordings are meant to cover.
#[test]
fn a_run_is_repeatable_and_has_each_kind_of_message() {
    let first = transcript(1, FIRST_RUN);
    assert_eq!(first, transcript(1, FIRST_RUN));
    for wanted in [
        "user\\x00ladderpass\\x00",
        "GET /",
        "SHOW server_load",
        "SELECT payload",
        "INSERT INTO",
        "C53300\\x00",
        "C58000\\x00",
        "C42601\\x00",
        "is told to end",
        "exits",
        "to 127.0.0.1:7401: !",
    ] {
        assert!(first.contains(wanted), "the transcript lacks {wanted}");
    }
}

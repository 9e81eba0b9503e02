//! Slopes of a router's data path: clients that rest, statements, connections to members, and turns of its loop.
//!
//! It owns how they are measured. It must never be needed by a router that serves.

use super::slope::Slope;

/// How much is measured: the short form for the proof, the long one for the page.
#[derive(Clone, Debug)]
pub struct Settings {
    pub long: bool,
}

pub fn measure(_seed: u64, _settings: &Settings) -> Vec<Slope> {
    Vec::new()
}

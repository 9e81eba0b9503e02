//! How long bytes waited in the kernel, by the wall clock.
#![allow(dead_code)]

#[path = "../src/wires.rs"]
mod wires;

/// All that `wires` needs of the reducer.
mod reducer {
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub struct ConnId(pub u64);
}

use ladderpass_core::Span;
use std::time::Duration;
use wires::age;

#[test]
fn a_clock_that_was_set_tells_nothing() {
    let at = Duration::from_secs;
    assert_eq!(age(at(10), at(11)), Span::ZERO);
    assert_eq!(age(at(10_000), at(11)), Span::ZERO);
    assert_eq!(age(at(12), at(11)), Span::from_millis(1000));
}

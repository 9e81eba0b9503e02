//! Runs the tests of one binary one after another, for tests that each put a load on the machine.

use std::sync::{Mutex, MutexGuard};

/// Held by the test that is running: RPCs of two loads at the same time would miss their deadlines.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of this binary holds the guard. The test that gets it runs alone until it drops the guard;
/// a test that panicked has released it too.
pub fn wait_for_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

//! Runs the tests of one binary one after another, for tests that each put a load on the machine.

use std::sync::{Mutex, MutexGuard};

/// The lock that the running test holds. RPCs of two loads at the same time would miss their deadlines.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of this binary holds the lock's guard. The test that gets the guard runs alone until it
/// drops the guard; a test that panicked has released the guard too.
pub fn wait_for_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

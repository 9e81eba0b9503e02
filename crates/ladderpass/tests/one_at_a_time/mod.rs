//! Lets the tests of one binary run one after another, where each is a load of its own.

use std::sync::{Mutex, MutexGuard};

/// Held by the test that runs: loads beside each other would miss their deadlines.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of this binary has its turn; the turn lasts as long as the guard. A test that panicked has
/// ended its turn too.
pub fn wait_for_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

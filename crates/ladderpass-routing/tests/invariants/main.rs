//! Random runs of one router with given seeds. The invariants are checked after every step of a run.

mod check;
#[path = "../common/mod.rs"]
mod common;
mod run;

use quickcheck::{Gen, QuickCheck};
use run::Run;

/// The invariants hold at every step, and two runs with the same seed make the same decisions.
#[test]
fn the_invariants_hold_after_every_step_and_equal_seeds_give_equal_runs() {
    fn final_states(seed: u64) -> Vec<String> {
        let mut run = Run::new(seed);
        (0..400).for_each(|_| run.step());
        let mut states: Vec<_> = run
            .rpcs
            .iter()
            .map(|(rpc, state)| format!("{rpc:?} {:?} {}", state.attempt, state.is_answered))
            .collect();
        states.sort();
        states
    }
    let seeded = Gen::from_size_and_seed(64, 20_261_201);
    let run = |seed: u64| final_states(seed) == final_states(seed);
    QuickCheck::new().rng(seeded).tests(200).quickcheck(run as fn(u64) -> bool);
}

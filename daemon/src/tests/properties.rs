//! Property test of the core: random steps from a seed, with the invariants checked after each step.

use super::harness::CoreHarness;
use quickcheck::{Gen, QuickCheck};

#[test]
fn each_rpc_gets_one_answer_and_runs_at_most_once_in_any_order() {
    fn holds(seed: u64, steps: Vec<(u8, u16)>) -> bool {
        let mut harness = CoreHarness::new(seed);
        for (kind, n) in steps {
            harness.random_step(kind, n as usize);
        }
        harness.run_to_completion();
        true
    }
    let mut runs = QuickCheck::new().tests(120).rng(Gen::from_size_and_seed(300, 11));
    runs.quickcheck(holds as fn(u64, Vec<(u8, u16)>) -> bool);
}

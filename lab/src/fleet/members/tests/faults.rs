//! Tests of `faults.rs`.

use super::*;
use crate::fleet::fault_script;

/// Documented bound for five members.
const TRANSITION_MS: u64 = 3_120;

#[test]
fn faults_depend_on_the_seed_alone_and_parse_after_printing() {
    for seed in 0..32 {
        let FaultPlan { name, faults } = generate_faults(5, seed, TRANSITION_MS);
        let again = generate_faults(5, seed, TRANSITION_MS);
        assert_eq!((again.name, &again.faults), (name, &faults));
        let text: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
        assert_eq!(fault_script::parse(&text, 5).unwrap(), faults, "{name}");
    }
}

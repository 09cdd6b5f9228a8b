//! Tests of `faults.rs`.

use super::*;
use crate::fleet::fault_script;

#[test]
fn faults_depend_on_the_seed_alone_and_parse_after_printing() {
    for seed in 0..20 {
        for kind in KINDS {
            let faults = generate_faults(kind, 5, seed);
            assert_eq!(faults, generate_faults(kind, 5, seed));
            let text: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
            assert_eq!(fault_script::parse(&text, 5).unwrap(), faults);
        }
    }
}

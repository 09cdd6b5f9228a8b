//! Tests of `version_order.rs`.

use super::*;

#[test]
fn two_answers_reveal_version_order() {
    // A change that adds both tenants: never the first one recognised, and not the second.
    assert!(out_of_order(true, false, false));
    assert!(![(true, true), (false, false), (false, true)].iter().any(|(a, b)| out_of_order(*a, *b, false)));
    // One that removes both.
    assert!(out_of_order(false, true, true));
    assert!(![(true, true), (false, false), (true, false)].iter().any(|(a, b)| out_of_order(*a, *b, true)));
}

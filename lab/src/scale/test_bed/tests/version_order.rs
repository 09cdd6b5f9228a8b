//! Tests of `version_order.rs`.

use super::*;

#[test]
fn detects_a_newer_version_before_an_older_one() {
    // A change that adds both tenants: a violation if only the first one is recognised.
    assert!(out_of_order(true, false, false));
    assert!(![(true, true), (false, false), (false, true)]
        .iter()
        .any(|(first, second)| out_of_order(*first, *second, false)));
    // A change that removes both tenants: a violation if only the second one is recognised.
    assert!(out_of_order(false, true, true));
    assert!(![(true, true), (false, false), (true, false)]
        .iter()
        .any(|(first, second)| out_of_order(*first, *second, true)));
}

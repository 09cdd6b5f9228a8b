//! Tests of `fields.rs`.

use super::*;

#[test]
fn fields_are_unique() {
    let mut names = FIELDS.to_vec();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), FIELDS.len());
}

//! Unit tests of versions and steps.

use crate::support::put_tenant;
use asterrill_consensus::{
    contradicts, Access, Change, Step, StepError, Version, MAX_SETTINGS_BYTES, MAX_STEP_CHANGES,
};

#[test]
fn a_step_applies_completely_or_not_at_all_and_versions_are_identified_by_hash() {
    let empty = Version::default();
    let step = |base, changes| Step { base, proposer: "n1".into(), changes };
    let one = empty
        .apply(&step(Some(0), vec![put_tenant("a", Access::Allowed), put_tenant("b", Access::Denied)]))
        .unwrap();
    let reordered = empty
        .apply(&step(Some(0), vec![put_tenant("b", Access::Denied), put_tenant("a", Access::Allowed)]))
        .unwrap();
    assert_eq!(one.hash(), reordered.hash(), "the hash does not depend on the order of changes");
    assert!(matches!(
        one.apply(&step(Some(0), vec![put_tenant("a", Access::Denied)])),
        Err(StepError::WrongBase { newest: 1, .. })
    ));
    assert_eq!(one.apply(&step(None, vec![put_tenant("a", Access::Allowed)])), Err(StepError::NoChange));
    assert!(matches!(
        one.apply(&step(None, vec![put_tenant("\n", Access::Allowed)])),
        Err(StepError::InvalidKey(_))
    ));
    assert_eq!(
        one.apply(&step(None, vec![put_tenant("a", Access::Allowed); MAX_STEP_CHANGES + 1])),
        Err(StepError::TooManyChanges)
    );
    assert_eq!(
        one.apply(&step(None, vec![Change::Settings("x".repeat(MAX_SETTINGS_BYTES + 1))])),
        Err(StepError::SettingsTooLong)
    );
    let two = one
        .apply(&step(Some(1), vec![Change::Settings("{}".into()), put_tenant("a", Access::Denied)]))
        .unwrap();
    assert!(contradicts(&one, &two) && contradicts(&two, &one) && !contradicts(&one, &reordered));
    let restored = two.apply(&step(None, two.changes_to(&one))).unwrap();
    assert!(restored.hash() != one.hash() && restored.contents().entries == one.contents().entries);
    assert_eq!(Version::from_contents(two.contents(), two.hash()), Some(two.clone()));
    assert_eq!(Version::from_contents(two.contents(), one.hash()), None);
}

//! Tests of `kept.rs`.

use super::*;
use quickcheck::QuickCheck;

#[test]
fn what_is_kept_is_read_again_and_holds_only_while_its_age_can_be_told() {
    let agreed: BTreeSet<Name> = ["n1", "n 2"].iter().filter_map(|name| Name::new(name)).collect();
    let kept = Kept { start: 7, wall: 1_000, agreed, at: vec!["127.0.0.1:7946".parse().unwrap()] };
    assert_eq!(Kept::read(&kept.write()), Some(kept.clone()));
    let (start, agreed, at) = Kept::weigh(Some(kept.clone()), 1_500, 600);
    assert_eq!((start, agreed.len(), at.len()), (1_500, 2, 1));
    for (wall, why) in [(1_700, "too old"), (900, "written in the future")] {
        let (start, agreed, at) = Kept::weigh(Some(kept.clone()), wall, 600);
        assert!(start >= wall && start > 7 && agreed.is_empty() && at.is_empty(), "{why}");
    }
    assert_eq!(Kept::weigh(Some(Kept { start: 9_000, ..kept }), 900, 600).0, 9_001, "a clock set back");
    assert_eq!(Kept::weigh(None, 5, 600), (5, BTreeSet::new(), Vec::new()));
}

#[test]
fn no_text_whatever_ends_in_a_panic() {
    fn holds(text: String) -> bool {
        Kept::read(&text).is_none_or(|kept| Kept::read(&kept.write()) == Some(kept))
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(String) -> bool);
}

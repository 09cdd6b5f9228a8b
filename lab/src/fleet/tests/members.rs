//! Tests of `members.rs`.

use super::*;

#[test]
fn faults_are_drawn_from_the_seed_and_views_follow_from_who_hears_whom() {
    for seed in 0..32 {
        let (kind, lines) = draw(5, seed);
        assert_eq!(draw(5, seed), (kind, lines.clone()));
        let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
        assert_eq!(script::parse(&text, 5).unwrap(), lines, "{kind}");
    }
    let mut truth = Truth { up: vec![true; 5], awake: vec![true; 5], cut: BTreeSet::new(), rough: false };
    assert!((0..5).all(|n| truth.view(n) == "whole"));
    let split = |groups: &[&[usize]]| What::Split(groups.iter().map(|g| g.to_vec()).collect());
    truth.suffer(&Line { at_ms: 0, what: split(&[&[0, 1], &[2, 3], &[4]]), whom: vec![] });
    assert_eq!([0, 2, 4].map(|n| truth.view(n)), ["minority", "minority", "alone"]);
    truth.suffer(&Line { at_ms: 0, what: split(&[&[0, 1, 2], &[2, 3, 4]]), whom: vec![] });
    assert!((0..5).all(|n| truth.view(n) == "whole"), "a bridge keeps them together");
    truth.suffer(&Line { at_ms: 0, what: What::Pause, whom: vec![2] });
    assert_eq!(truth.view(0), "minority");
}

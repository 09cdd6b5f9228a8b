//! Tests of `reachability.rs`.

use super::*;

#[test]
fn expected_views_follow_from_the_reachability() {
    let mut reachability = Reachability::complete(5);
    assert!((0..5).all(|n| reachability.expected_view(n) == "whole"));
    let split = |groups: &[&[usize]]| {
        let groups = groups.iter().map(|group| group.to_vec()).collect();
        ScheduledFault::new(0, FaultKind::GossipPartition(groups), &[])
    };
    reachability.apply(&split(&[&[0, 1], &[2, 3], &[4]]));
    assert_eq!([0, 2, 4].map(|n| reachability.expected_view(n)), ["minority", "minority", "alone"]);
    reachability.apply(&split(&[&[0, 1, 2], &[2, 3, 4]]));
    assert!(
        (0..5).all(|n| reachability.expected_view(n) == "whole"),
        "a member of both groups connects them"
    );
    reachability.apply(&ScheduledFault::new(0, FaultKind::Pause, &[2]));
    assert_eq!(reachability.expected_view(0), "minority");
}

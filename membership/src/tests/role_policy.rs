//! Tests of `role_policy.rs`.

use super::*;

#[test]
fn factors_of_all_partition_sides_sum_to_at_most_the_limit() {
    let even = role_policy(View::Complete, 0.2, 5, 5);
    assert!((even.quota_factor - 1.0).abs() < 1e-9);
    assert!(even.allowed_changes == AllowedChanges::Any && even.ready);
    let minority = role_policy(View::Minority, 0.2, 5, 5);
    assert!((minority.quota_factor - STATIC_QUOTA_FRACTION).abs() < 1e-9);
    assert!(minority.allowed_changes == AllowedChanges::RollbackOnly && minority.ready);
    assert_eq!(role_policy(View::Isolated, 1.0, 5, 5), minority);
    for lost in 0..3 {
        let majority = 5 - lost;
        let leading = role_policy(View::Majority, 1.0 / majority as f64, 5, 5).quota_factor;
        let all = majority as f64 * leading + lost as f64 * minority.quota_factor;
        assert!((all - 5.0).abs() < 1e-9, "{all}");
    }
    // More members than expected divide the same limit.
    assert!((6.0 * role_policy(View::Complete, 1.0 / 6.0, 5, 6).quota_factor - 5.0).abs() < 1e-9);
}

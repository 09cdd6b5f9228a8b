//! Tests of `service.rs`.

use super::*;

#[test]
fn full_service_lasts_ten_seconds_and_recovery_is_bounded_by_cold_cores() {
    let bucket = |in_time: f64| Bucket { offered: 10.0, in_time, attempts: 10 };
    let mut buckets = vec![bucket(10.0); 300];
    buckets[80..120].fill(bucket(2.0));
    buckets[150..160].fill(bucket(2.0));
    assert_eq!(full_service_start_ms(&buckets, 10_000, 0.98), Some(16_000));
    assert_eq!(
        full_service_start_ms(&buckets[..250], 10_000, 0.98),
        None,
        "ten full seconds are not over yet"
    );
    assert_eq!(min_recovery_ms(OutageKind::All, 10, 10, 0.0), 0);
    let all = min_recovery_ms(OutageKind::All, 10, 10, 0.8);
    assert!((3_000..=3_200).contains(&all), "{all}");
    assert!(min_recovery_ms(OutageKind::Most, 10, 7, 0.8) < all);
}

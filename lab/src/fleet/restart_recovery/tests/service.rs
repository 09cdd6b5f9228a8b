//! Tests of `service.rs`.

use super::*;

#[test]
fn full_service_lasts_ten_seconds_and_the_floor_is_what_cold_cores_bear() {
    let bucket = |in_time: f64| Bucket { offered: 10.0, in_time, attempts: 10 };
    let mut buckets = vec![bucket(10.0); 300];
    buckets[80..120].fill(bucket(2.0));
    buckets[150..160].fill(bucket(2.0));
    assert_eq!(full_from(&buckets, 10_000, 0.98), Some(16_000));
    assert_eq!(full_from(&buckets[..250], 10_000, 0.98), None, "not known yet");
    assert_eq!(recovery_floor_ms(OutageKind::All, 10, 10, 0.0), 0);
    let all = recovery_floor_ms(OutageKind::All, 10, 10, 0.8);
    assert!((3_000..=3_200).contains(&all), "{all}");
    assert!(recovery_floor_ms(OutageKind::Most, 10, 7, 0.8) < all);
}

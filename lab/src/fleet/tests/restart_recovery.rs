//! Tests of `restart_recovery.rs`.

use super::*;

#[test]
fn a_script_is_drawn_from_its_seed_and_can_be_read_again() {
    for seed in 0..20 {
        for kind in KINDS {
            let lines = draw(kind, 5, seed);
            assert_eq!(lines, draw(kind, 5, seed));
            let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
            assert_eq!(script::parse(&text, 5).unwrap(), lines);
        }
    }
}

#[test]
fn full_service_is_ten_seconds_in_a_row_and_the_floor_is_what_cold_cores_bear() {
    let tenth = |in_time: f64| Tenth { asked: 10.0, in_time, attempts: 10 };
    let mut tenths = vec![tenth(10.0); 300];
    tenths[80..120].fill(tenth(2.0));
    tenths[150..160].fill(tenth(2.0));
    assert_eq!(full_from(&tenths, 10_000, 0.98), Some(16_000));
    assert_eq!(full_from(&tenths[..250], 10_000, 0.98), None, "not known yet");
    assert_eq!(floor(Kind::All, 10, 10, 0.0), 0);
    let all = floor(Kind::All, 10, 10, 0.8);
    assert!((3_000..=3_200).contains(&all), "{all}");
    assert!(floor(Kind::Most, 10, 7, 0.8) < all);
}

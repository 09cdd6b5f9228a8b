//! Tests of `conduct.rs`.

use super::*;

#[test]
fn the_parts_of_all_sides_are_together_at_most_what_there_is() {
    let even = conduct(View::Whole, 0.2, 5, 5);
    assert!((even.part - 1.0).abs() < 1e-9 && even.changes == Changes::Any && even.ready);
    let few = conduct(View::Minority, 0.2, 5, 5);
    assert!((few.part - SLICES).abs() < 1e-9 && few.changes == Changes::OnlyBack && few.ready);
    assert_eq!(conduct(View::Alone, 1.0, 5, 5), few);
    for lost in 0..3 {
        let lead = 5 - lost;
        let all =
            lead as f64 * conduct(View::Majority, 1.0 / lead as f64, 5, 5).part + lost as f64 * few.part;
        assert!((all - 5.0).abs() < 1e-9, "{all}");
    }
    // More members than are expected divide the same.
    assert!((6.0 * conduct(View::Whole, 1.0 / 6.0, 5, 6).part - 5.0).abs() < 1e-9);
}

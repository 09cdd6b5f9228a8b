//! Tests of `statistics.rs`.

use super::*;

fn figures(of: Value) -> Map<String, Value> {
    of.as_object().cloned().unwrap()
}

#[test]
fn turns_merge_to_medians_and_the_last_text() {
    let turn = |ms: Value, by: &str| figures(json!({"start_ms": ms, "changes_by": by, "load": null}));
    let merged = medians(vec![turn(json!(9), "text"), turn(json!(1), "text"), turn(json!(4), "step")]);
    assert_eq!((&merged["start_ms"], &merged["changes_by"]), (&json!(4.0), &json!("step")));
    assert_eq!(merged["spread"], json!({"start_ms": [1.0, 9.0]}));
    assert_eq!(merged["load"], Value::Null);
    let one = medians(vec![turn(json!(9), "text")]);
    assert_eq!(one["start_ms"], json!(9));
}

#[test]
fn median_is_the_middle_or_the_mean_of_two() {
    let of = |all: &[f64]| median(&mut all.to_vec());
    assert_eq!([of(&[]), of(&[3.0]), of(&[9.0, 1.0, 2.0, 4.0])], [None, Some(3.0), Some(3.0)]);
}

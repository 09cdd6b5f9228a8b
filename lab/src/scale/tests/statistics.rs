//! Tests of `statistics.rs`.

use super::*;

fn figures(value: Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap()
}

#[test]
fn turns_merge_to_medians_and_the_last_text() {
    let turn = |start_ms: Value, changes_by: &str| {
        figures(json!({"start_ms": start_ms, "changes_by": changes_by, "load": null}))
    };
    let merged = merge_turns(vec![turn(json!(9), "text"), turn(json!(1), "text"), turn(json!(4), "step")]);
    assert_eq!((&merged["start_ms"], &merged["changes_by"]), (&json!(4.0), &json!("step")));
    assert_eq!(merged["spread"], json!({"start_ms": [1.0, 9.0]}));
    assert_eq!(merged["load"], Value::Null);
    let single = merge_turns(vec![turn(json!(9), "text")]);
    assert_eq!(single["start_ms"], json!(9));
}

#[test]
fn median_is_the_middle_or_the_mean_of_two() {
    let median_of = |values: &[f64]| median(&mut values.to_vec());
    assert_eq!(
        [median_of(&[]), median_of(&[3.0]), median_of(&[9.0, 1.0, 2.0, 4.0])],
        [None, Some(3.0), Some(3.0)]
    );
}

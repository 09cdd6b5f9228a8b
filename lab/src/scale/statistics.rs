//! Medians, rounding, and figures of several turns in one.

use serde_json::{json, Map, Value};

/// The median; of an even number the mean of the two in the middle. Sorts what it is given.
pub fn median(all: &mut [f64]) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    let (low, high) = (all.get(all.len().checked_sub(1)? / 2)?, all.get(all.len() / 2)?);
    Some((low + high) / 2.0)
}

/// A figure with three places.
pub fn round(figure: f64) -> f64 {
    (figure * 1_000.0).round() / 1_000.0
}

/// A figure with three places, for a report.
pub fn rounded(figure: f64) -> Value {
    json!(round(figure))
}

/// Of figures the medians over turns, with `spread`; of all else what the last turn said.
pub fn medians(mut turns: Vec<Map<String, Value>>) -> Map<String, Value> {
    let Some(mut last) = turns.pop() else { return Map::new() };
    if turns.is_empty() {
        return last;
    }
    let mut spread = Map::new();
    for (name, value) in &mut last {
        let all = turns.iter().filter_map(|turn| turn.get(name)).chain([&*value]);
        let mut all: Vec<f64> = all.filter_map(Value::as_f64).collect();
        if let Some(median) = median(&mut all).filter(|_| all.len() > 1) {
            if let [first, .., end] = all[..] {
                spread.insert(name.clone(), json!([first, end]));
            }
            *value = json!(median);
        }
    }
    last.insert("spread".into(), Value::Object(spread));
    last
}

#[cfg(test)]
#[path = "tests/statistics.rs"]
mod tests;

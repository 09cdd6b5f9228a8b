//! Medians, rounding, and the summary of repeated measurements.

use serde_json::{json, Map, Value};

/// Returns the median, which for an even number of values is the mean of the middle two. Sorts the values.
pub fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let (low, high) = (values.get(values.len().checked_sub(1)? / 2)?, values.get(values.len() / 2)?);
    Some((low + high) / 2.0)
}

/// Rounds a figure to three decimal places.
pub fn round(figure: f64) -> f64 {
    (figure * 1_000.0).round() / 1_000.0
}

/// Rounds a figure to three decimal places and returns it as a JSON value for a report.
pub fn rounded(figure: f64) -> Value {
    json!(round(figure))
}

/// Merges the figures of repeated measurements: numbers become medians, with the minimum and maximum of each under
/// `spread`. Other values are those of the last measurement.
pub fn merge_turns(mut turns: Vec<Map<String, Value>>) -> Map<String, Value> {
    let Some(mut last) = turns.pop() else { return Map::new() };
    if turns.is_empty() {
        return last;
    }
    let mut spread = Map::new();
    for (name, value) in &mut last {
        let all = turns.iter().filter_map(|turn| turn.get(name)).chain([&*value]);
        let mut numbers: Vec<f64> = all.filter_map(Value::as_f64).collect();
        if let Some(median) = median(&mut numbers).filter(|_| numbers.len() > 1) {
            if let [min, .., max] = numbers[..] {
                spread.insert(name.clone(), json!([min, max]));
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

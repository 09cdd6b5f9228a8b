//! Tests of `budgets.rs`.

use super::*;
use serde_json::json;

fn figures(value: Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap()
}

#[test]
fn reports_exactly_the_fields_over_their_budget() {
    let at_budget = json!({"rss_kb_small": 6_000, "rss_kb": 38_768, "rss_kb_after": 38_768, "rss_kb_after_reloads": null, "peak_kb_after_reloads": 38_768,
        "rss_kb_end": 38_768, "peak_kb": 38_768, "cpu_ms_per_change": 3.0, "cpu_ms_per_reload": 80.0,
        "gap_ms_max": 4.0, "added_ms_p99": 7.5, "entry_bytes": 60.0, "bytes_per_change": 1_084.0,
        "bytes_per_change_disk": 1_084.0});
    assert!(over_budget(&figures(at_budget.clone())).is_empty());
    let names = MEMORY_FIELDS.into_iter().chain(BUDGETS.iter().map(|(name, _)| *name));
    for name in names {
        let mut exceeded = at_budget.clone();
        exceeded[name] = json!(exceeded[name].as_f64().unwrap_or(38_768.0) + 1.0);
        let reported = over_budget(&figures(exceeded));
        assert!(reported.len() == 1 && reported[0].starts_with(&format!("{name}: ")), "{name}: {reported:?}");
    }
    assert!(over_budget(&Map::new()).is_empty(), "a figure that was not measured is over no budget");
}

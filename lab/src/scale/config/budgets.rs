//! Budgets of one process with as many methods and tenants as the fleet has.

use serde_json::{Map, Value};

/// Maximum values of fields at 4,700 methods and 49,000 tenants, in the unit of the field.
pub(super) const BUDGETS: [(&str, f64); 6] = [
    ("cpu_ms_per_change", 3.0),
    ("cpu_ms_per_reload", 80.0),
    ("gap_ms_max", 4.0),
    ("added_ms_p99", 7.5),
    ("bytes_per_change", 1_024.0),
    ("bytes_per_change_disk", 1_024.0),
];
/// Memory fields, which are limited by [`MAX_ADDED_MEMORY_KB`]. The last two include the changes of every entry.
pub(super) const MEMORY_FIELDS: [&str; 6] =
    ["rss_kb", "rss_kb_after", "rss_kb_after_reloads", "peak_kb_after_reloads", "rss_kb_end", "peak_kb"];
/// Maximum memory in addition to that of the same build with a few methods and no tenants.
const MAX_ADDED_MEMORY_KB: f64 = 32.0 * 1024.0;

/// Returns a description of each field that is over its budget, with its value and the budget.
pub fn over_budget(figures: &Map<String, Value>) -> Vec<String> {
    let figure = |name: &str| figures.get(name).and_then(Value::as_f64);
    let small_site = figure("rss_kb_small").unwrap_or(0.0);
    let entry_bytes = figure("entry_bytes").unwrap_or(0.0);
    let memory = MEMORY_FIELDS.into_iter().filter_map(|name| {
        let added = figure(name)? - small_site;
        (added > MAX_ADDED_MEMORY_KB)
            .then(|| format!("{name}: {added:.0} kB over the small site, {MAX_ADDED_MEMORY_KB:.0} at most"))
    });
    let others = BUDGETS.into_iter().filter_map(|(name, budget)| {
        // The byte budgets limit what a change takes in addition to its entry.
        let offset = if name.starts_with("bytes") { entry_bytes } else { 0.0 };
        let value = figure(name)? - offset;
        (value > budget).then(|| format!("{name}: {value:.2}, {budget} at most"))
    });
    memory.chain(others).collect()
}

#[cfg(test)]
#[path = "tests/budgets.rs"]
mod tests;

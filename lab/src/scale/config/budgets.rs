//! Budgets of one process at the fleet's size.

use serde_json::{Map, Value};

/// Budgets at 4,700 methods and 49,000 tenants, in the unit of the field.
pub(super) const BUDGETS: [(&str, f64); 6] = [
    ("cpu_ms_per_change", 3.0),
    ("cpu_ms_per_reload", 80.0),
    ("gap_ms_max", 4.0),
    ("added_ms_p99", 7.5),
    ("bytes_per_change", 1_024.0),
    ("bytes_per_change_disk", 1_024.0),
];
/// What memory is held to, less that of the small site: the last two after a change of everything as well.
pub(super) const MEMORY: [&str; 6] =
    ["rss_kb", "rss_kb_after", "rss_kb_after_reloads", "peak_kb_after_reloads", "rss_kb_end", "peak_kb"];
const MEMORY_KB: f64 = 32.0 * 1024.0;

/// The fields that are over their budget, each with its value and the budget.
pub fn over_budget(figures: &Map<String, Value>) -> Vec<String> {
    let of = |name: &str| figures.get(name).and_then(Value::as_f64);
    let small = of("rss_kb_small").unwrap_or(0.0);
    let entry = of("entry_bytes").unwrap_or(0.0);
    let memory = MEMORY.into_iter().filter_map(|name| {
        let more = of(name)? - small;
        (more > MEMORY_KB)
            .then(|| format!("{name}: {more:.0} kB over the small site, {MEMORY_KB:.0} at most"))
    });
    let others = BUDGETS.into_iter().filter_map(|(name, most)| {
        let above = if name.starts_with("bytes") { entry } else { 0.0 };
        let value = of(name)? - above;
        (value > most).then(|| format!("{name}: {value:.2}, {most} at most"))
    });
    memory.chain(others).collect()
}

#[cfg(test)]
#[path = "tests/budgets.rs"]
mod tests;

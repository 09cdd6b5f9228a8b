//! Readable description of a change. The cost depends on the entries that differ, not on the size of a version.

use crate::bounded_list::BoundedList;
use crate::changed_entries::{ChangedEntries, GlobalValues};
use asterrill::{Method, Us};
use asterrill_entries::{Change, Configuration, Name};

/// Describes how the changes alter the running version, one line per altered value. Returns at most
/// [`crate::MAX_LISTED_ITEMS`] lines, followed by one with the number of omitted lines. The list is empty if the
/// changes have no effect.
pub fn difference(running: &Configuration, changes: &[Change]) -> Vec<String> {
    let changed = ChangedEntries::from_changes(changes);
    let mut lines = Description(BoundedList::new());
    if let Some(globals) = changed.globals {
        lines.compare_globals(&GlobalValues::of(running.globals()), &GlobalValues::of(globals));
    }
    for (name, new) in &changed.methods {
        if let (Some(old), Some(new)) = (running.method(name), new) {
            lines.compare_methods(name, old, new);
        }
    }
    for (name, new) in &changed.tenants {
        if let Some(new) = new {
            let old = running.tenant(name).unwrap_or(0.0);
            lines.compare(&|| format!("tenant {name}: RPCs per second"), old, *new, "");
        }
    }
    for (name, new) in &changed.methods {
        if new.is_none() && running.method(name).is_some() {
            lines.0.push_with(|| format!("method {name}: removed"));
        }
    }
    for (name, new) in &changed.tenants {
        if new.is_none() && running.tenant(name).is_some() {
            lines.0.push_with(|| format!("tenant {name}: removed"));
        }
    }
    for (name, new) in &changed.methods {
        if new.is_some() && running.method(name).is_none() {
            lines.0.push_with(|| format!("method {name}: new"));
        }
    }
    lines.0.finish(|omitted| format!("and {omitted} more"))
}

struct Description(BoundedList<String>);

impl Description {
    fn compare(&mut self, label: &dyn Fn() -> String, old: f64, new: f64, unit: &str) {
        if old != new {
            self.0.push_with(|| format!("{}: {old}{unit} -> {new}{unit}", label()));
        }
    }

    fn compare_globals(&mut self, old: &GlobalValues, new: &GlobalValues) {
        let (running, new_running) = (old.max_running_per_core, new.max_running_per_core);
        self.compare(&|| "cores".into(), old.cores, new.cores, "");
        self.compare(&|| "max running RPCs per core".into(), running, new_running, "");
        self.compare(&|| "memory limit".into(), old.memory_kb, new.memory_kb, " kB");
        let (quota, new_quota) = (old.call_quota.unwrap_or(0.0), new.call_quota.unwrap_or(0.0));
        self.compare(&|| "upstream call quota".into(), quota, new_quota, "");
    }

    fn compare_methods(&mut self, name: &Name, old: &Method, new: &Method) {
        let mut compare = |label: &str, old: f64, new: f64, unit: &str| {
            self.compare(&|| format!("method {name}: {label}"), old, new, unit);
        };
        compare("criticality", old.criticality, new.criticality, "");
        compare("latency target", milliseconds(old.latency_target), milliseconds(new.latency_target), " ms");
        compare("deadline", milliseconds(old.deadline), milliseconds(new.deadline), " ms");
        compare("late value ratio", old.late_value_ratio, new.late_value_ratio, "");
        compare("skip value ratio", old.skip_value_ratio, new.skip_value_ratio, "");
        compare(
            "idempotency window",
            milliseconds(old.idempotency_window),
            milliseconds(new.idempotency_window),
            " ms",
        );
    }
}

fn milliseconds(us: Us) -> f64 {
    us as f64 / 1e3
}

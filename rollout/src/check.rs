//! Checks of a change against the running version and the load that the server observes. Only entries that differ are
//! checked, so the cost does not depend on the size of a version.

use crate::bounded_list::BoundedList;
use crate::changed_entries::{ChangedEntries, GlobalValues};
use crate::dry_run::{dry_run, ObservedLoad};
use asterrill::{Idempotency, Method};
use asterrill_entries::{Change, Configuration, EntryKind, Name};
use std::fmt;

/// Problem of a change, which is an error or a risk.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// Error: the change is always rejected.
    Invalid(String),
    /// Risk: the change is accepted only if it is forced.
    Risky(String),
    /// Number of problems beyond [`crate::MAX_LISTED_ITEMS`], none of them more severe than the last one listed.
    Omitted(usize),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Invalid(text) => write!(f, "invalid: {text}"),
            Problem::Risky(text) => write!(f, "risky: {text} (can be forced)"),
            Problem::Omitted(count) => write!(f, "and {count} more"),
        }
    }
}

/// Additional fraction of the last minute's RPCs that a change may reject, compared with the running version, before it
/// is risky.
const MAX_ADDED_REJECTED_FRACTION: f64 = 0.05;

/// Returns the problems of a change, errors before risks. Lists at most [`crate::MAX_LISTED_ITEMS`] problems,
/// followed by the number of omitted ones.
///
/// `staged` is `running` after `changes`. `max_factor`, 1 or more, is the largest factor by which a value may differ
/// from the running one without being risky. Entries that the changes do not set or remove are not checked again,
/// except that the global values are always checked, including against the memory in use. To check a version on its
/// own, pass it as both `running` and `staged`, with the changes that create it from an empty configuration.
pub fn check(
    running: &Configuration, staged: &Configuration, changes: &[Change], observed: &ObservedLoad,
    max_factor: f64,
) -> Vec<Problem> {
    let checks = Checks {
        running,
        staged,
        changed: &ChangedEntries::from_changes(changes),
        old: GlobalValues::of(running.globals()),
        new: GlobalValues::of(staged.globals()),
        observed,
        max_factor,
    };
    let mut problems = Problems(BoundedList::new());
    checks.find_invalid_methods(&mut problems);
    checks.find_invalid_globals(&mut problems);
    checks.find_risky_methods_and_tenants(&mut problems);
    checks.find_risky_globals(&mut problems);
    checks.find_removed_tenants(&mut problems);
    checks.find_rejected_load(&mut problems);
    problems.0.finish(Problem::Omitted)
}

struct Problems(BoundedList<Problem>);

impl Problems {
    fn invalid(&mut self, text: impl FnOnce() -> String) {
        self.0.push_with(|| Problem::Invalid(text()));
    }
    fn risky(&mut self, text: impl FnOnce() -> String) {
        self.0.push_with(|| Problem::Risky(text()));
    }
}

/// Input of the checks.
struct Checks<'a> {
    running: &'a Configuration,
    staged: &'a Configuration,
    changed: &'a ChangedEntries<'a>,
    old: GlobalValues,
    new: GlobalValues,
    observed: &'a ObservedLoad,
    max_factor: f64,
}

impl Checks<'_> {
    fn find_invalid_methods(&self, problems: &mut Problems) {
        if self.staged.count(EntryKind::Method) == 0 {
            problems.invalid(|| "the configuration has no methods".into());
        }
        for name in self.changed.methods.keys() {
            if let Some(method) = self.staged.method(name) {
                find_invalid_terms(name, method, problems);
            }
        }
    }

    fn find_invalid_globals(&self, problems: &mut Problems) {
        let GlobalValues { cores, max_running_per_core, memory_kb, call_quota } = self.new;
        let ObservedLoad { in_use_kb, available_kb, .. } = *self.observed;
        if cores < 1.0 {
            problems.invalid(|| "the configuration has no cores".into());
        }
        if max_running_per_core < 1.0 {
            problems.invalid(|| {
                format!("max running RPCs per core is {max_running_per_core}, expected at least 1")
            });
        }
        if call_quota.is_some_and(|quota| quota <= 0.0) {
            problems.invalid(|| "the upstream call quota is 0, expected a positive number".into());
        }
        if memory_kb < in_use_kb {
            problems.invalid(|| {
                format!("memory limit of {memory_kb:.0} kB is below the {in_use_kb:.0} kB in use")
            });
        }
        if available_kb > 0.0 && memory_kb > available_kb {
            problems.invalid(|| {
                format!("memory limit of {memory_kb:.0} kB exceeds the {available_kb:.0} kB available")
            });
        }
    }

    /// Reports a risk if a value differs from the running one by more than the factor.
    fn compare(&self, label: &dyn Fn() -> String, old: f64, new: f64, problems: &mut Problems) {
        let (less, more) = if old < new { (old, new) } else { (new, old) };
        let factor = self.max_factor;
        if more > 0.0 && less * factor < more {
            problems.risky(|| {
                format!("{} changes from {old} to {new}, by more than a factor of {factor}", label())
            });
        }
    }

    fn find_risky_methods_and_tenants(&self, problems: &mut Problems) {
        for name in self.changed.methods.keys() {
            let (Some(old), Some(new)) = (self.running.method(name), self.staged.method(name)) else {
                continue;
            };
            let criticality = || format!("criticality of method {name}");
            self.compare(&criticality, old.criticality, new.criticality, problems);
            let (from, to) = (old.latency_target as f64, new.latency_target as f64);
            self.compare(&|| format!("latency target of method {name} (us)"), from, to, problems);
            let (from, to) = (old.deadline as f64, new.deadline as f64);
            self.compare(&|| format!("deadline of method {name} (us)"), from, to, problems);
        }
        for name in self.changed.tenants.keys() {
            if let (Some(old), Some(new)) = (self.running.tenant(name), self.staged.tenant(name)) {
                self.compare(&|| format!("quota of tenant {name}"), old, new, problems);
            }
        }
    }

    fn find_risky_globals(&self, problems: &mut Problems) {
        let (old, new) = (&self.old, &self.new);
        self.compare(&|| "cores".into(), old.cores, new.cores, problems);
        let running = || "max running RPCs per core".into();
        self.compare(&running, old.max_running_per_core, new.max_running_per_core, problems);
        self.compare(&|| "memory limit (kB)".into(), old.memory_kb, new.memory_kb, problems);
        if let (Some(old), Some(new)) = (old.call_quota, new.call_quota) {
            self.compare(&|| "upstream call quota".into(), old, new, problems);
        }
    }

    fn find_removed_tenants(&self, problems: &mut Problems) {
        for name in self.changed.tenants.keys() {
            if self.running.tenant(name).is_some() && self.staged.tenant(name).is_none() {
                problems.risky(|| format!("tenant {name} is removed"));
            }
        }
    }

    /// Reports a risk if the dry run of the change rejects more of the last minute's RPCs than the dry run of the
    /// running version. The dry run is a rough estimate that does not consider tenants.
    fn find_rejected_load(&self, problems: &mut Problems) {
        if self.changed.globals.is_none() && self.changed.methods.is_empty() {
            return;
        }
        let added = dry_run(self.staged, self.observed) - dry_run(self.running, self.observed);
        if added > MAX_ADDED_REJECTED_FRACTION {
            let percent = added * 100.0;
            problems.risky(|| {
                format!(
                    "the change would have rejected an additional {percent:.0}% of the last minute's RPCs"
                )
            });
        }
    }
}

fn find_invalid_terms(name: &Name, method: &Method, problems: &mut Problems) {
    if method.latency_target == 0 {
        problems.invalid(|| format!("method {name}: latency target is 0 ms, expected a positive number"));
    }
    if method.deadline < method.latency_target {
        let (deadline, target) = (method.deadline as f64 / 1e3, method.latency_target as f64 / 1e3);
        problems.invalid(|| {
            format!(
                "method {name}: deadline of {deadline} ms is shorter than the latency target of {target} ms"
            )
        });
    }
    let (late, skip) = (method.late_value_ratio, method.skip_value_ratio);
    if late > 1.0 || skip > 1.0 {
        problems.invalid(|| {
            format!("method {name}: late value ratio is {late} and skip value ratio is {skip}, expected at most 1")
        });
    }
    if method.idempotency == Idempotency::Keyed && method.idempotency_window == 0 {
        problems.invalid(|| {
            format!("method {name}: idempotency keys are accepted, but the idempotency window is 0")
        });
    }
}

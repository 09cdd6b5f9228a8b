//! What a change must not do, from its figures alone and from what the server observes now. Looks at what differs, and
//! costs that, however much a version holds.

use crate::bounded_list::BoundedList;
use crate::changed_entries::{ChangedEntries, GlobalValues};
use crate::dry_run::{dry_run, ObservedLoad};
use asterrill::{Idempotency, Method};
use asterrill_entries::{Change, Configuration, EntryKind, Name};
use std::fmt;

/// What is wrong with a change, or risky.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// The change is never taken.
    Invalid(String),
    /// The change is taken if forced.
    Risky(String),
    /// So many more than [`crate::MAX_LISTED_ITEMS`], none of them worse than the last that is listed.
    Omitted(usize),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Invalid(text) => write!(f, "wrong: {text}"),
            Problem::Risky(text) => write!(f, "risky: {text} (may be forced)"),
            Problem::Omitted(count) => write!(f, "and {count} more"),
        }
    }
}

/// Fraction of the last minute's RPCs above which rejecting them, where the running version would not, is risky.
const RISKY_REJECTED_FRACTION: f64 = 0.05;

/// The problems of a change, the invalid ones first, [`crate::MAX_LISTED_ITEMS`] of them at most and then how many more there
/// are.
///
/// `staged` is what `running` becomes by `changes`; `max_factor`: by how much a figure may differ from the running one,
/// 1 or more. What the changes do not touch is not looked at again, but for the memory that is in use now. To check a
/// version by itself, hand it in as both, with the changes that lead to it from nothing.
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

/// What the checks look at.
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
            problems.invalid(|| "there is no method".into());
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
            problems.invalid(|| "there is no core".into());
        }
        if max_running_per_core < 1.0 {
            problems.invalid(|| format!("max running RPCs per core is {max_running_per_core}, under 1"));
        }
        if call_quota.is_some_and(|quota| quota <= 0.0) {
            problems.invalid(|| "the quota of upstream calls is 0".into());
        }
        if memory_kb < in_use_kb {
            problems
                .invalid(|| format!("memory of {memory_kb:.0} kB is under the {in_use_kb:.0} kB held now"));
        }
        if available_kb > 0.0 && memory_kb > available_kb {
            problems.invalid(|| {
                format!("memory of {memory_kb:.0} kB is more than the {available_kb:.0} kB there are")
            });
        }
    }

    /// A figure that differs from the running one by more than the factor.
    fn compare(&self, figure: &dyn Fn() -> String, old: f64, new: f64, problems: &mut Problems) {
        let (less, more) = if old < new { (old, new) } else { (new, old) };
        let factor = self.max_factor;
        if more > 0.0 && less * factor < more {
            problems.risky(|| format!("{} goes from {old} to {new}, by more than {factor} times", figure()));
        }
    }

    fn find_risky_methods_and_tenants(&self, problems: &mut Problems) {
        for name in self.changed.methods.keys() {
            let (Some(old), Some(new)) = (self.running.method(name), self.staged.method(name)) else {
                continue;
            };
            let criticality = || format!("the criticality of {name}");
            self.compare(&criticality, old.criticality, new.criticality, problems);
            let (from, to) = (old.latency_target as f64, new.latency_target as f64);
            self.compare(&|| format!("the latency target of {name} (us)"), from, to, problems);
            let (from, to) = (old.deadline as f64, new.deadline as f64);
            self.compare(&|| format!("the deadline of {name} (us)"), from, to, problems);
        }
        for name in self.changed.tenants.keys() {
            if let (Some(old), Some(new)) = (self.running.tenant(name), self.staged.tenant(name)) {
                self.compare(&|| format!("the quota of tenant {name}"), old, new, problems);
            }
        }
    }

    fn find_risky_globals(&self, problems: &mut Problems) {
        let (old, new) = (&self.old, &self.new);
        self.compare(&|| "cores".into(), old.cores, new.cores, problems);
        let running = || "max running RPCs per core".into();
        self.compare(&running, old.max_running_per_core, new.max_running_per_core, problems);
        self.compare(&|| "memory (kB)".into(), old.memory_kb, new.memory_kb, problems);
        if let (Some(old), Some(new)) = (old.call_quota, new.call_quota) {
            self.compare(&|| "the quota of upstream calls".into(), old, new, problems);
        }
    }

    fn find_removed_tenants(&self, problems: &mut Problems) {
        for name in self.changed.tenants.keys() {
            if self.running.tenant(name).is_some() && self.staged.tenant(name).is_none() {
                problems.risky(|| format!("tenant {name} is gone"));
            }
        }
    }

    /// What the change would have rejected in the last minute beyond what the running version would have by the same
    /// rough measure. Tenants have no part in it.
    fn find_rejected_load(&self, problems: &mut Problems) {
        if self.changed.globals.is_none() && self.changed.methods.is_empty() {
            return;
        }
        let added = dry_run(self.staged, self.observed) - dry_run(self.running, self.observed);
        if added > RISKY_REJECTED_FRACTION {
            let percent = added * 100.0;
            problems.risky(|| {
                format!("it would have rejected {percent:.0} in 100 more of the last minute's RPCs")
            });
        }
    }
}

fn find_invalid_terms(name: &Name, method: &Method, problems: &mut Problems) {
    if method.latency_target == 0 {
        problems.invalid(|| format!("method {name}: its latency target is 0"));
    }
    if method.deadline < method.latency_target {
        let (deadline, target) = (method.deadline as f64 / 1e3, method.latency_target as f64 / 1e3);
        problems.invalid(|| {
            format!("method {name}: its deadline of {deadline} ms is under its latency target of {target} ms")
        });
    }
    if method.late_value_ratio > 1.0 || method.skip_value_ratio > 1.0 {
        problems.invalid(|| format!("method {name}: a value ratio is above 1"));
    }
    if method.idempotency == Idempotency::Keyed && method.idempotency_window == 0 {
        problems.invalid(|| format!("method {name}: it takes idempotency keys, but has no window"));
    }
}

//! What a change must not do, from its figures alone and from what the server sees now.

use std::collections::BTreeMap;
use std::fmt;

/// The figures of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodFacts {
    pub criticality: f64,
    /// Microseconds.
    pub latency_target: f64,
    pub deadline: f64,
    pub late_share: f64,
    pub skip_share: f64,
    pub tokened: bool,
    pub window: f64,
}

/// The figures of a version that are compared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    pub methods: BTreeMap<String, MethodFacts>,
    /// RPCs a second of each tenant over the fleet.
    pub tenants: BTreeMap<String, f64>,
    pub cores: f64,
    /// Running RPCs a core that are survived.
    pub crowd: f64,
    pub memory_kb: f64,
    /// Of the calls that the layer below survives; none where no share is told.
    pub call_share: Option<f64>,
}

/// What the server has seen in the last minute, and holds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// Of each method: RPCs read in the last minute, and the mean work of one in microseconds.
    pub methods: BTreeMap<String, (f64, f64)>,
    /// Over how many seconds that was seen, at most 60.
    pub seconds: f64,
    /// Memory of what is held and runs, in kB.
    pub held_kb: f64,
    /// Memory that the program may take for it, in kB; 0 where that is not known.
    pub free_kb: f64,
}

/// What is wrong with a change, or risky.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// Never taken.
    Wrong(String),
    /// Taken if forced.
    Risky(String),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Wrong(text) => write!(f, "wrong: {text}"),
            Problem::Risky(text) => write!(f, "risky: {text} (may be forced)"),
        }
    }
}

/// Share of the last minute's RPCs, above which turning them away beside the running version is risky.
const TURNED_AWAY: f64 = 0.05;

/// All problems of a change. `factor`: by how much a figure may differ from the running one, 1 or more.
pub fn check(old: &Facts, new: &Facts, seen: &Seen, factor: f64) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut wrong = |text: String| problems.push(Problem::Wrong(text));
    if new.methods.is_empty() {
        wrong("there is no method".into());
    }
    for (name, m) in &new.methods {
        if m.latency_target <= 0.0 {
            wrong(format!("method {name}: its latency target is nothing"));
        }
        if m.deadline < m.latency_target {
            let (deadline, target) = (m.deadline / 1e3, m.latency_target / 1e3);
            wrong(format!(
                "method {name}: its deadline of {deadline} ms is under its latency target of {target} ms"
            ));
        }
        if m.late_share > 1.0 || m.skip_share > 1.0 {
            wrong(format!("method {name}: a share is above 1"));
        }
        if m.tokened && m.window <= 0.0 {
            wrong(format!("method {name}: it is tokened, but has no window"));
        }
    }
    if new.cores < 1.0 {
        wrong("there is no core".into());
    }
    if new.crowd < 1.0 {
        wrong(format!("the crowd survived is {}, under 1 a core", new.crowd));
    }
    if new.call_share.is_some_and(|share| share <= 0.0) {
        wrong("the share of the calls below is nothing".into());
    }
    if new.memory_kb < seen.held_kb {
        wrong(format!("memory of {:.0} kB is under the {:.0} kB held now", new.memory_kb, seen.held_kb));
    }
    if seen.free_kb > 0.0 && new.memory_kb > seen.free_kb {
        wrong(format!("memory of {:.0} kB is more than the {:.0} kB there are", new.memory_kb, seen.free_kb));
    }
    let mut differs = |what: String, old: f64, new: f64| {
        let (less, more) = if old < new { (old, new) } else { (new, old) };
        if more > 0.0 && less * factor < more {
            problems.push(Problem::Risky(format!(
                "{what} goes from {old} to {new}, by more than {factor} times"
            )));
        }
    };
    for (name, m) in &new.methods {
        let Some(o) = old.methods.get(name) else { continue };
        differs(format!("the criticality of {name}"), o.criticality, m.criticality);
        differs(format!("the latency target of {name} (us)"), o.latency_target, m.latency_target);
        differs(format!("the deadline of {name} (us)"), o.deadline, m.deadline);
    }
    for (name, rate) in &new.tenants {
        if let Some(o) = old.tenants.get(name) {
            differs(format!("the share of tenant {name}"), *o, *rate);
        }
    }
    differs("cores".into(), old.cores, new.cores);
    differs("the crowd survived".into(), old.crowd, new.crowd);
    differs("memory (kB)".into(), old.memory_kb, new.memory_kb);
    if let (Some(o), Some(n)) = (old.call_share, new.call_share) {
        differs("the share of the calls below".into(), o, n);
    }
    for name in old.tenants.keys().filter(|name| !new.tenants.contains_key(*name)) {
        problems.push(Problem::Risky(format!("tenant {name} is gone")));
    }
    // Against what the running version would have turned away by the same rough measure.
    let share = dry_run(new, seen) - dry_run(old, seen);
    if share > TURNED_AWAY {
        let text =
            format!("of the last minute's RPCs it would have turned away {:.0} in 100 more", share * 100.0);
        problems.push(Problem::Risky(text));
    }
    problems
}

/// The share of the last minute's RPCs that a version would have turned away: those of methods that it does not
/// know, those whose mean work leaves no time within the deadline, and of the rest what is beyond its cores, the
/// least critical first.
pub fn dry_run(new: &Facts, seen: &Seen) -> f64 {
    let all: f64 = seen.methods.values().map(|(n, _)| n).sum();
    if all <= 0.0 || seen.seconds <= 0.0 {
        return 0.0;
    }
    let mut away = 0.0;
    let mut rest = Vec::new();
    for (name, (count, work)) in &seen.methods {
        match new.methods.get(name) {
            Some(m) if *work < m.deadline => rest.push((m.criticality, *count, *work)),
            _ => away += count,
        }
    }
    rest.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut room = new.cores * seen.seconds * 1e6;
    for (_, count, work) in rest {
        let taken = if work > 0.0 { (room / work).min(count) } else { count };
        room -= taken * work;
        away += count - taken;
    }
    away / all
}

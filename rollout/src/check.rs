//! What a change must not do, from its figures alone and from what the server sees now; and what it changes, in lines.
//! Both look at what differs, and cost that, however much a version holds.

use asterrill::{Idempotency, Method};
use asterrill_entries::{Change, Configuration, EntryKind, GlobalSettings, Name, UpstreamKind};
use std::collections::BTreeMap;
use std::fmt;

/// Lines and problems that are listed; of more only the count is said.
pub const LISTED: usize = 200;

/// What the server has seen in the last minute, and holds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObservedLoad {
    /// Of each method.
    pub methods: BTreeMap<Name, MethodLoad>,
    /// Over how many seconds that was seen, at most 60.
    pub seconds: f64,
    /// Memory of what is held and runs, in kB.
    pub in_use_kb: f64,
    /// Memory that the program may take for it, in kB; 0 where that is not known.
    pub available_kb: f64,
}

/// RPCs of one method in the last minute.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MethodLoad {
    /// RPCs read.
    pub requests: f64,
    /// Mean CPU work of one, in microseconds.
    pub mean_work_us: f64,
}

/// What is wrong with a change, or risky.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// Never taken.
    Wrong(String),
    /// Taken if forced.
    Risky(String),
    /// So many more than [`LISTED`], none of them worse than the last that is listed.
    More(usize),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Wrong(text) => write!(f, "wrong: {text}"),
            Problem::Risky(text) => write!(f, "risky: {text} (may be forced)"),
            Problem::More(count) => write!(f, "and {count} more"),
        }
    }
}

/// Share of the last minute's RPCs, above which turning them away beside the running version is risky.
const TURNED_AWAY: f64 = 0.05;

/// A list with a bound: what does not fit is counted, and its text is not made.
struct List<T> {
    lines: Vec<T>,
    more: usize,
}

impl<T> List<T> {
    fn new() -> List<T> {
        List { lines: Vec::new(), more: 0 }
    }
    fn put(&mut self, line: impl FnOnce() -> T) {
        if self.lines.len() < LISTED {
            self.lines.push(line());
        } else {
            self.more += 1;
        }
    }
    fn end(mut self, more: impl FnOnce(usize) -> T) -> Vec<T> {
        if self.more > 0 {
            self.lines.push(more(self.more));
        }
        self.lines
    }
}

/// The figures of a frame that are compared.
struct Figures {
    cores: f64,
    /// Running RPCs a core that are survived.
    crowd: f64,
    memory_kb: f64,
    /// Of the calls that the layer below survives; none where no share is told.
    call_share: Option<f64>,
}

fn figures(frame: &GlobalSettings) -> Figures {
    Figures {
        cores: frame.cores as f64,
        crowd: frame.max_running_per_core,
        memory_kb: frame.ram_kb,
        call_share: frame.upstream_call_quota.filter(|_| frame.upstream == UpstreamKind::Shared),
    }
}

/// Cores of one server.
pub(crate) fn cores(content: &Configuration) -> f64 {
    figures(content.globals()).cores
}

/// What the changes touch, each key once and in the order of names, and whether the frame is among it.
struct Touched<'a> {
    frame: Option<&'a GlobalSettings>,
    methods: BTreeMap<&'a Name, Option<&'a Method>>,
    tenants: BTreeMap<&'a Name, Option<f64>>,
}

/// Of several changes of one key the last counts, as when they are applied.
fn touched(changes: &[Change]) -> Touched<'_> {
    let mut all = Touched { frame: None, methods: BTreeMap::new(), tenants: BTreeMap::new() };
    for change in changes {
        match change {
            Change::SetGlobals(frame) => all.frame = Some(frame),
            Change::PutMethod(name, method) => drop(all.methods.insert(name, Some(method))),
            Change::RemoveMethod(name) => drop(all.methods.insert(name, None)),
            Change::PutTenant(name, rate) => drop(all.tenants.insert(name, Some(*rate))),
            Change::RemoveTenant(name) => drop(all.tenants.insert(name, None)),
        }
    }
    all
}

/// The problems of a change, what is wrong first, [`LISTED`] of them at most and then how many more there are.
///
/// `staged` is what `running` becomes by `changes`; `factor`: by how much a figure may differ from the running one, 1
/// or more. What the changes do not touch is not looked at again, but for the memory that is held now. To check a
/// version by itself, hand it in as both, with the changes that lead to it from nothing.
pub fn check(
    running: &Configuration, staged: &Configuration, changes: &[Change], seen: &ObservedLoad, factor: f64,
) -> Vec<Problem> {
    let touched = touched(changes);
    let (old, new) = (figures(running.globals()), figures(staged.globals()));
    let mut problems = List::new();
    let mut wrong = |text: &dyn Fn() -> String| problems.put(|| Problem::Wrong(text()));
    if staged.count(EntryKind::Method) == 0 {
        wrong(&|| "there is no method".into());
    }
    for (name, m) in touched.methods.keys().filter_map(|name| Some((name, staged.method(name)?))) {
        if m.latency_target == 0 {
            wrong(&|| format!("method {name}: its latency target is nothing"));
        }
        if m.deadline < m.latency_target {
            let (deadline, target) = (m.deadline as f64 / 1e3, m.latency_target as f64 / 1e3);
            wrong(&|| {
                format!(
                    "method {name}: its deadline of {deadline} ms is under its latency target of {target} ms"
                )
            });
        }
        if m.late_value_ratio > 1.0 || m.skip_value_ratio > 1.0 {
            wrong(&|| format!("method {name}: a share is above 1"));
        }
        if m.idempotency == Idempotency::Keyed && m.idempotency_window == 0 {
            wrong(&|| format!("method {name}: it is tokened, but has no window"));
        }
    }
    if new.cores < 1.0 {
        wrong(&|| "there is no core".into());
    }
    if new.crowd < 1.0 {
        wrong(&|| format!("the crowd survived is {}, under 1 a core", new.crowd));
    }
    if new.call_share.is_some_and(|share| share <= 0.0) {
        wrong(&|| "the share of the calls below is nothing".into());
    }
    if new.memory_kb < seen.in_use_kb {
        wrong(&|| {
            format!("memory of {:.0} kB is under the {:.0} kB held now", new.memory_kb, seen.in_use_kb)
        });
    }
    if seen.available_kb > 0.0 && new.memory_kb > seen.available_kb {
        wrong(&|| {
            format!(
                "memory of {:.0} kB is more than the {:.0} kB there are",
                new.memory_kb, seen.available_kb
            )
        });
    }
    let mut differs = |what: &dyn Fn() -> String, old: f64, new: f64| {
        let (less, more) = if old < new { (old, new) } else { (new, old) };
        if more > 0.0 && less * factor < more {
            problems.put(|| {
                let what = what();
                Problem::Risky(format!("{what} goes from {old} to {new}, by more than {factor} times"))
            });
        }
    };
    for name in touched.methods.keys() {
        let (Some(o), Some(m)) = (running.method(name), staged.method(name)) else { continue };
        differs(&|| format!("the criticality of {name}"), o.criticality, m.criticality);
        let (from, to) = (o.latency_target as f64, m.latency_target as f64);
        differs(&|| format!("the latency target of {name} (us)"), from, to);
        differs(&|| format!("the deadline of {name} (us)"), o.deadline as f64, m.deadline as f64);
    }
    for name in touched.tenants.keys() {
        if let (Some(o), Some(rate)) = (running.tenant(name), staged.tenant(name)) {
            differs(&|| format!("the share of tenant {name}"), o, rate);
        }
    }
    differs(&|| "cores".into(), old.cores, new.cores);
    differs(&|| "the crowd survived".into(), old.crowd, new.crowd);
    differs(&|| "memory (kB)".into(), old.memory_kb, new.memory_kb);
    if let (Some(o), Some(n)) = (old.call_share, new.call_share) {
        differs(&|| "the share of the calls below".into(), o, n);
    }
    for name in touched.tenants.keys() {
        if running.tenant(name).is_some() && staged.tenant(name).is_none() {
            problems.put(|| Problem::Risky(format!("tenant {name} is gone")));
        }
    }
    // Against what the running version would have turned away by the same rough measure. Tenants have no part in it.
    if touched.frame.is_some() || !touched.methods.is_empty() {
        let share = dry_run(staged, seen) - dry_run(running, seen);
        if share > TURNED_AWAY {
            let share = share * 100.0;
            let text = format!("of the last minute's RPCs it would have turned away {share:.0} in 100 more");
            problems.put(|| Problem::Risky(text));
        }
    }
    problems.end(Problem::More)
}

/// The share of the last minute's RPCs that a version would have turned away: those of methods that it does not
/// know, those whose mean work leaves no time within the deadline, and of the rest what is beyond its cores, the
/// least critical first. Costs what was seen.
pub fn dry_run(new: &Configuration, seen: &ObservedLoad) -> f64 {
    let all: f64 = seen.methods.values().map(|load| load.requests).sum();
    if all <= 0.0 || seen.seconds <= 0.0 {
        return 0.0;
    }
    let mut away = 0.0;
    let mut rest = Vec::new();
    for (name, MethodLoad { requests: count, mean_work_us: work }) in &seen.methods {
        match new.method(name) {
            Some(m) if *work < m.deadline as f64 => rest.push((m.criticality, *count, *work)),
            _ => away += count,
        }
    }
    rest.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut room = cores(new) * seen.seconds * 1e6;
    for (_, count, work) in rest {
        let taken = if work > 0.0 { (room / work).min(count) } else { count };
        room -= taken * work;
        away += count - taken;
    }
    away / all
}

/// What the changes make of the running version, a line each, [`LISTED`] at most and then how many more there are;
/// nothing where they mean what runs.
pub fn difference(running: &Configuration, changes: &[Change]) -> Vec<String> {
    let touched = touched(changes);
    let mut lines = List::new();
    let mut differs = |what: &dyn Fn() -> String, old: f64, new: f64, unit: &str| {
        if old != new {
            lines.put(|| format!("{}: {old}{unit} -> {new}{unit}", what()));
        }
    };
    if let Some(frame) = touched.frame {
        let (old, new) = (figures(running.globals()), figures(frame));
        differs(&|| "cores".into(), old.cores, new.cores, "");
        differs(&|| "crowd survived a core".into(), old.crowd, new.crowd, "");
        differs(&|| "memory".into(), old.memory_kb, new.memory_kb, " kB");
        let share = |figures: &Figures| figures.call_share.unwrap_or(0.0);
        differs(&|| "share of the calls below".into(), share(&old), share(&new), "");
    }
    for (name, n) in &touched.methods {
        let (Some(o), Some(n)) = (running.method(name), n) else { continue };
        let mut differs = |what: &str, old: f64, new: f64, unit: &str| {
            differs(&|| format!("method {name}: {what}"), old, new, unit);
        };
        let ms = |us: asterrill::Us| us as f64 / 1e3;
        differs("criticality", o.criticality, n.criticality, "");
        differs("latency target", ms(o.latency_target), ms(n.latency_target), " ms");
        differs("deadline", ms(o.deadline), ms(n.deadline), " ms");
        differs("late share", o.late_value_ratio, n.late_value_ratio, "");
        differs("skip share", o.skip_value_ratio, n.skip_value_ratio, "");
        differs("window", ms(o.idempotency_window), ms(n.idempotency_window), " ms");
    }
    for (name, n) in touched.tenants.iter().filter_map(|(name, n)| Some((name, (*n)?))) {
        let old = running.tenant(name).unwrap_or(0.0);
        differs(&|| format!("tenant {name}: RPCs a second"), old, n, "");
    }
    for (name, _) in touched.methods.iter().filter(|(name, n)| n.is_none() && running.method(name).is_some())
    {
        lines.put(|| format!("method {name}: removed"));
    }
    for (name, _) in touched.tenants.iter().filter(|(name, n)| n.is_none() && running.tenant(name).is_some())
    {
        lines.put(|| format!("tenant {name}: removed"));
    }
    for (name, _) in touched.methods.iter().filter(|(name, n)| n.is_some() && running.method(name).is_none())
    {
        lines.put(|| format!("method {name}: new"));
    }
    lines.end(|more| format!("and {more} more"))
}

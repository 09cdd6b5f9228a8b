//! `scale-forms`: forms in which a version could be stored, side by side: memory of the first, memory of twenty more that differ in
//! one entry each, CPU of making one, of finding what differs, of going back. Each form and size has a process to itself.

use crate::process::{resident_kb, OWN};
use crate::report::{Report, ScenarioError};
use clap::ValueEnum;
use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::hint::black_box;
use std::process::Command;
use std::sync::Arc;

const SIZES: [usize; 4] = [5, 5_370, 17_500, 53_700];
const VERSIONS: usize = 20;
const TURNS: usize = 5;

/// What a version could be stored as.
#[derive(ValueEnum, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Form {
    /// A persistent ordered map; versions share nodes
    Map,
    /// A sorted vector; versions share names, each is a copy
    Vector,
    /// One hash map, and for each version what it changed
    Journal,
    /// A tree of JSON for each version
    Tree,
    /// A text for each version
    Text,
}

type Name = Arc<str>;

fn names(size: usize) -> impl Iterator<Item = Name> {
    (0..size).map(|n| format!("tenant-{n:05}").into())
}
/// The entry that version `n` changes, and its value.
fn change(n: usize, size: usize) -> (usize, f64) {
    (n * 7_919 % size, 1_000.0 + n as f64)
}
fn row(name: &str, value: f64) -> Value {
    json!({"Name": name, "QuotaRps": value})
}

/// Versions of one form, the newest last.
trait Versions: Sized {
    fn new(size: usize) -> Self;
    /// One more, that differs from the newest in one entry.
    fn next(&mut self, n: usize);
    /// How many entries differ between the newest two.
    fn differing(&self) -> usize;
    /// Back to the version before the newest.
    fn back(&mut self);
}

struct Maps(Vec<OrdMap<Name, f64>>);

impl Versions for Maps {
    fn new(size: usize) -> Maps {
        Maps(vec![names(size).map(|name| (name, 100.0)).collect()])
    }
    fn next(&mut self, n: usize) {
        let Some(last) = self.0.last() else { return };
        let (at, value) = change(n, last.len());
        let name = format!("tenant-{at:05}");
        let name =
            last.get_key_value(name.as_str()).map_or_else(|| name.as_str().into(), |(name, _)| name.clone());
        let next = last.update(name, value);
        self.0.push(next);
    }
    fn differing(&self) -> usize {
        let [.., before, now] = &self.0[..] else { return 0 };
        before.diff(now).filter(|item| matches!(item, DiffItem::Update { .. })).count()
    }
    fn back(&mut self) {
        self.0.pop();
    }
}

struct Vectors(Vec<Arc<Vec<(Name, f64)>>>);

impl Versions for Vectors {
    fn new(size: usize) -> Vectors {
        Vectors(vec![Arc::new(names(size).map(|name| (name, 100.0)).collect())])
    }
    fn next(&mut self, n: usize) {
        let Some(last) = self.0.last() else { return };
        let mut next = Vec::clone(last);
        let (at, value) = change(n, next.len());
        let name = format!("tenant-{at:05}");
        if let Ok(at) = next.binary_search_by(|(name_there, _)| (**name_there).cmp(&name)) {
            next[at].1 = value;
        }
        self.0.push(Arc::new(next));
    }
    fn differing(&self) -> usize {
        let [.., before, now] = &self.0[..] else { return 0 };
        before.iter().zip(now.iter()).filter(|(one, other)| one != other).count()
    }
    fn back(&mut self) {
        self.0.pop();
    }
}

struct Journal {
    now: HashMap<Name, f64>,
    changed: Vec<(Name, f64)>,
}

impl Versions for Journal {
    fn new(size: usize) -> Journal {
        Journal { now: names(size).map(|name| (name, 100.0)).collect(), changed: Vec::new() }
    }
    fn next(&mut self, n: usize) {
        let (at, value) = change(n, self.now.len());
        let name = format!("tenant-{at:05}");
        let entry = self.now.get_key_value(name.as_str()).map(|(name, before)| (name.clone(), *before));
        if let Some((name, before)) = entry {
            self.now.insert(name.clone(), value);
            self.changed.push((name, before));
        }
    }
    fn differing(&self) -> usize {
        self.changed.last().map_or(0, |_| 1)
    }
    fn back(&mut self) {
        if let Some((name, before)) = self.changed.pop() {
            self.now.insert(name, before);
        }
    }
}

struct Trees(Vec<Value>);

impl Versions for Trees {
    fn new(size: usize) -> Trees {
        Trees(vec![names(size).map(|name| row(&name, 100.0)).collect()])
    }
    fn next(&mut self, n: usize) {
        let Some(mut next) = self.0.last().cloned() else { return };
        let (at, value) = change(n, next.as_array().map_or(1, Vec::len));
        next[at]["QuotaRps"] = json!(value);
        self.0.push(next);
    }
    fn differing(&self) -> usize {
        let [.., Value::Array(before), Value::Array(now)] = &self.0[..] else { return 0 };
        before.iter().zip(now).filter(|(one, other)| one != other).count()
    }
    fn back(&mut self) {
        self.0.pop();
    }
}

struct Texts(Vec<String>);

impl Versions for Texts {
    fn new(size: usize) -> Texts {
        Texts(vec![names(size).map(|name| format!("{}\n", row(&name, 100.0))).collect()])
    }
    fn next(&mut self, n: usize) {
        let Some(last) = self.0.last() else { return };
        let (at, value) = change(n, last.lines().count().max(1));
        let one = |(line, text): (usize, &str)| match line == at {
            true => format!("{}\n", row(&format!("tenant-{at:05}"), value)),
            false => format!("{text}\n"),
        };
        let next = last.lines().enumerate().map(one).collect();
        self.0.push(next);
    }
    fn differing(&self) -> usize {
        let [.., before, now] = &self.0[..] else { return 0 };
        before.lines().zip(now.lines()).filter(|(one, other)| one != other).count()
    }
    fn back(&mut self) {
        self.0.pop();
    }
}

/// The middle of some turns, in microseconds of CPU for one of so many.
fn cpu_us(times: usize, mut run: impl FnMut(usize)) -> Result<f64, ScenarioError> {
    let used = || -> Result<f64, ScenarioError> {
        let used = getrusage(UsageWho::RUSAGE_SELF)?;
        Ok((used.user_time() + used.system_time()).num_microseconds() as f64)
    };
    let mut turns = Vec::new();
    for turn in 0..TURNS {
        let before = used()?;
        (0..times).for_each(|n| run(turn * times + n));
        turns.push((used()? - before) / times as f64);
    }
    turns.sort_by(f64::total_cmp);
    Ok(turns[TURNS / 2])
}

fn measure<V: Versions>(size: usize) -> Result<Value, ScenarioError> {
    let empty = resident_kb(OWN);
    let mut versions = V::new(size);
    let first = resident_kb(OWN);
    (0..VERSIONS).for_each(|n| versions.next(n));
    let all = resident_kb(OWN);
    let differing = versions.differing();
    let times = (2_000_000 / size).clamp(5, 2_000);
    let differ = cpu_us(times, |_| {
        black_box(versions.differing());
    })?;
    // A change and the way back together, as memory would grow else; then the change alone is the difference to the way back.
    let both = cpu_us(times, |n| {
        versions.next(VERSIONS + n);
        versions.back();
    })?;
    Ok(json!({"size": size, "first_kb": first - empty, "each_kb": (all - first) / VERSIONS as f64,
        "differing": differing, "differ_us": differ, "change_and_back_us": both}))
}

fn one(form: Form, size: usize) -> Result<Value, ScenarioError> {
    match form {
        Form::Map => measure::<Maps>(size),
        Form::Vector => measure::<Vectors>(size),
        Form::Journal => measure::<Journal>(size),
        Form::Tree => measure::<Trees>(size),
        Form::Text => measure::<Texts>(size),
    }
}

/// Which form, and how many entries, a process measures; without, one is started for each.
#[derive(clap::Args, Clone, Copy, Debug)]
pub struct FormOptions {
    #[arg(long, global = true, value_enum, hide = true)]
    form: Option<Form>,
    #[arg(long, global = true, hide = true, default_value_t = 5)]
    of: usize,
}

pub fn scenario(report: &mut Report, to: FormOptions) -> Result<(), ScenarioError> {
    if let Some(form) = to.form {
        report.set("figures", one(form, to.of.max(1))?);
        return Ok(());
    }
    for form in Form::value_variants() {
        let name = form.to_possible_value().map(|name| name.get_name().to_string()).unwrap_or_default();
        let mut rows = Vec::new();
        for size in SIZES {
            let mut command = Command::new(std::env::current_exe()?);
            command.args(["scale-forms", "--json", "--form", &name, "--of", &size.to_string()]);
            let output = command.output()?;
            let output: Value = serde_json::from_slice(&output.stdout)?;
            report.rule("a change of one entry is not one difference", output["figures"]["differing"] == 1);
            rows.push(output["figures"].clone());
        }
        report.set(&name, rows.into());
    }
    Ok(())
}

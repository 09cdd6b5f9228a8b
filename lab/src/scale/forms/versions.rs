//! Versions of a list, in several forms.

use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::Arc;

type Name = Arc<str>;

/// The names of entries.
fn names(size: usize) -> impl Iterator<Item = Name> {
    (0..size).map(|n| format!("tenant-{n:05}").into())
}

/// The entry that version `n` changes, and its value.
fn change(n: usize, size: usize) -> (usize, f64) {
    (n * 7_919 % size, 1_000.0 + n as f64)
}

/// An entry as JSON.
fn row(name: &str, value: f64) -> Value {
    json!({"Name": name, "QuotaRps": value})
}

/// Versions of one form, the newest last.
pub(super) trait Versions: Sized {
    fn new(size: usize) -> Self;
    /// One more, that differs from the newest in one entry.
    fn next(&mut self, n: usize);
    /// How many entries differ between the newest two.
    fn differing(&self) -> usize;
    /// Back to the version before the newest.
    fn back(&mut self);
}

/// Persistent ordered maps, which share nodes.
pub(super) struct Maps(Vec<OrdMap<Name, f64>>);

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

/// Sorted vectors, which share names.
pub(super) struct Vectors(Vec<Arc<Vec<(Name, f64)>>>);

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

/// One hash map, and what each version changed.
pub(super) struct Journal {
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

/// Trees of JSON.
pub(super) struct Trees(Vec<Value>);

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

/// Texts, an entry a line.
pub(super) struct Texts(Vec<String>);

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

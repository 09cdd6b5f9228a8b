//! Versions of a list of tenants, stored in several forms.

use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::Arc;

type Name = Arc<str>;

/// Returns the names of the entries in ascending order.
fn entry_names(size: usize) -> impl Iterator<Item = Name> {
    (0..size).map(|n| format!("tenant-{n:05}").into())
}

/// Returns the index of the entry that version `version` changes, and its new value.
fn changed_entry(version: usize, size: usize) -> (usize, f64) {
    (version * 7_919 % size, 1_000.0 + version as f64)
}

/// Returns an entry as JSON.
fn entry_json(name: &str, value: f64) -> Value {
    json!({"Name": name, "QuotaRps": value})
}

/// Sequence of versions in one form.
pub(super) trait Versions: Sized {
    /// Creates the first version, with `size` entries.
    fn new(size: usize) -> Self;
    /// Adds a version that differs from the newest in one entry. `version` determines the entry and its value.
    fn push_change(&mut self, version: usize);
    /// Returns the number of entries that differ between the newest two versions.
    fn count_differences(&self) -> usize;
    /// Removes the newest version.
    fn revert(&mut self);
}

/// Persistent ordered maps, which share nodes between versions.
pub(super) struct PersistentMaps(Vec<OrdMap<Name, f64>>);

impl Versions for PersistentMaps {
    fn new(size: usize) -> PersistentMaps {
        PersistentMaps(vec![entry_names(size).map(|name| (name, 100.0)).collect()])
    }
    fn push_change(&mut self, version: usize) {
        let Some(last) = self.0.last() else { return };
        let (index, value) = changed_entry(version, last.len());
        let name = format!("tenant-{index:05}");
        let name =
            last.get_key_value(name.as_str()).map_or_else(|| name.as_str().into(), |(name, _)| name.clone());
        let next = last.update(name, value);
        self.0.push(next);
    }
    fn count_differences(&self) -> usize {
        let [.., previous, newest] = &self.0[..] else { return 0 };
        previous.diff(newest).filter(|item| matches!(item, DiffItem::Update { .. })).count()
    }
    fn revert(&mut self) {
        self.0.pop();
    }
}

/// Sorted vectors, which share the names of entries between versions.
pub(super) struct SortedVectors(Vec<Arc<Vec<(Name, f64)>>>);

impl Versions for SortedVectors {
    fn new(size: usize) -> SortedVectors {
        SortedVectors(vec![Arc::new(entry_names(size).map(|name| (name, 100.0)).collect())])
    }
    fn push_change(&mut self, version: usize) {
        let Some(last) = self.0.last() else { return };
        let mut next = Vec::clone(last);
        let (index, value) = changed_entry(version, next.len());
        let name = format!("tenant-{index:05}");
        if let Ok(position) = next.binary_search_by(|(existing, _)| (**existing).cmp(&name)) {
            next[position].1 = value;
        }
        self.0.push(Arc::new(next));
    }
    fn count_differences(&self) -> usize {
        let [.., previous, newest] = &self.0[..] else { return 0 };
        previous.iter().zip(newest.iter()).filter(|(one, other)| one != other).count()
    }
    fn revert(&mut self) {
        self.0.pop();
    }
}

/// Hash map of the newest version, and a log of the previous values that each version replaced.
pub(super) struct UndoLog {
    newest: HashMap<Name, f64>,
    replaced: Vec<(Name, f64)>,
}

impl Versions for UndoLog {
    fn new(size: usize) -> UndoLog {
        UndoLog { newest: entry_names(size).map(|name| (name, 100.0)).collect(), replaced: Vec::new() }
    }
    fn push_change(&mut self, version: usize) {
        let (index, value) = changed_entry(version, self.newest.len());
        let name = format!("tenant-{index:05}");
        let entry =
            self.newest.get_key_value(name.as_str()).map(|(name, previous)| (name.clone(), *previous));
        if let Some((name, previous)) = entry {
            self.newest.insert(name.clone(), value);
            self.replaced.push((name, previous));
        }
    }
    fn count_differences(&self) -> usize {
        self.replaced.last().map_or(0, |_| 1)
    }
    fn revert(&mut self) {
        if let Some((name, previous)) = self.replaced.pop() {
            self.newest.insert(name, previous);
        }
    }
}

/// JSON documents.
pub(super) struct JsonDocuments(Vec<Value>);

impl Versions for JsonDocuments {
    fn new(size: usize) -> JsonDocuments {
        JsonDocuments(vec![entry_names(size).map(|name| entry_json(&name, 100.0)).collect()])
    }
    fn push_change(&mut self, version: usize) {
        let Some(mut next) = self.0.last().cloned() else { return };
        let (index, value) = changed_entry(version, next.as_array().map_or(1, Vec::len));
        next[index]["QuotaRps"] = json!(value);
        self.0.push(next);
    }
    fn count_differences(&self) -> usize {
        let [.., Value::Array(previous), Value::Array(newest)] = &self.0[..] else { return 0 };
        previous.iter().zip(newest).filter(|(one, other)| one != other).count()
    }
    fn revert(&mut self) {
        self.0.pop();
    }
}

/// Texts with one entry per line.
pub(super) struct Texts(Vec<String>);

impl Versions for Texts {
    fn new(size: usize) -> Texts {
        Texts(vec![entry_names(size).map(|name| format!("{}\n", entry_json(&name, 100.0))).collect()])
    }
    fn push_change(&mut self, version: usize) {
        let Some(last) = self.0.last() else { return };
        let (index, value) = changed_entry(version, last.lines().count().max(1));
        let edit = |(line, text): (usize, &str)| match line == index {
            true => format!("{}\n", entry_json(&format!("tenant-{index:05}"), value)),
            false => format!("{text}\n"),
        };
        let next = last.lines().enumerate().map(edit).collect();
        self.0.push(next);
    }
    fn count_differences(&self) -> usize {
        let [.., previous, newest] = &self.0[..] else { return 0 };
        previous.lines().zip(newest.lines()).filter(|(one, other)| one != other).count()
    }
    fn revert(&mut self) {
        self.0.pop();
    }
}

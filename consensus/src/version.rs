//! Versions of the replicated configuration: the operators' settings and the lists, under one number and hash.

use crate::lists::{Access, ListEntry, ListKind};
use crate::step::{
    Change, Step, StepError, MAX_KEY_BYTES, MAX_LIST_ENTRIES, MAX_SETTINGS_BYTES, MAX_STEP_CHANGES,
};
use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

type List = OrdMap<String, ListEntry>;

/// Version of the settings and lists. Cheap to clone: clones and successive versions share unchanged parts of the lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Version {
    /// Number of the version, counted from 1; 0 is the empty version before any change.
    pub number: u64,
    /// Hash of the previous version, see [`Version::hash`].
    pub parent_hash: u64,
    /// Name of the node whose operator proposed the version.
    pub proposer: String,
    /// Settings of the operators, as text.
    pub settings: Arc<str>,
    lists: [List; 3],
    /// XOR of the hashes of all entries and of the settings text, so that it does not depend on the order of changes.
    digest: u64,
}

/// Encoded form of a version, as it is sent and stored.
#[derive(Serialize, Deserialize)]
pub struct VersionContents {
    /// Number of the version, see [`Version::number`].
    pub number: u64,
    /// Hash of the previous version, see [`Version::parent_hash`].
    pub parent_hash: u64,
    /// Name of the proposing node, see [`Version::proposer`].
    pub proposer: String,
    /// Settings of the operators, see [`Version::settings`].
    pub settings: String,
    /// List, key and entry of all entries of all lists, in the order of [`ListKind::ALL`] and then of keys.
    pub entries: Vec<(ListKind, String, ListEntry)>,
}

fn entry_hash(kind: ListKind, key: &str, entry: ListEntry) -> u64 {
    let prefix = [kind as u8, entry.access as u8];
    xxh3_64(&[&prefix[..], &entry.expires_at.to_le_bytes(), key.as_bytes()].concat())
}

fn settings_hash(settings: &str) -> u64 {
    xxh3_64(&[b"text", settings.as_bytes()].concat())
}

impl Version {
    /// Returns the hash by which nodes compare versions. It covers the contents, the number and all earlier versions.
    pub fn hash(&self) -> u64 {
        let fields = [self.number, self.parent_hash, self.digest].map(u64::to_le_bytes);
        xxh3_64(&fields.concat())
    }

    /// Returns the entry of a key, if there is one.
    pub fn entry(&self, kind: ListKind, key: &str) -> Option<ListEntry> {
        self.entries_of(kind).get(key).copied()
    }

    /// Returns the keys and entries of a list, ordered by key.
    pub fn list(&self, kind: ListKind) -> impl Iterator<Item = (&String, &ListEntry)> {
        self.entries_of(kind).iter()
    }

    /// Returns the number of entries in a list.
    pub fn len(&self, kind: ListKind) -> usize {
        self.entries_of(kind).len()
    }

    /// Reports whether this is the empty version 0, from before any change.
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }

    fn entries_of(&self, kind: ListKind) -> &List {
        &self.lists[kind as usize]
    }

    fn set_entry(&mut self, kind: ListKind, key: String, entry: Option<ListEntry>) {
        let list = &mut self.lists[kind as usize];
        let replaced = match entry {
            Some(entry) => list.insert(key.clone(), entry),
            None => list.remove(&key),
        };
        self.digest ^= replaced.map_or(0, |replaced| entry_hash(kind, &key, replaced));
        self.digest ^= entry.map_or(0, |entry| entry_hash(kind, &key, entry));
    }

    fn set_settings(&mut self, settings: Arc<str>) {
        self.digest ^= settings_hash(&self.settings) ^ settings_hash(&settings);
        self.settings = settings;
    }

    /// Returns the next version, which results from a step.
    ///
    /// # Errors
    /// Returns a [`StepError`] if the step is based on another version, changes nothing, or exceeds a limit.
    pub fn apply(&self, step: &Step) -> Result<Version, StepError> {
        if let Some(base) = step.base.filter(|base| *base != self.number) {
            return Err(StepError::WrongBase { base, newest: self.number, by: self.proposer.clone() });
        }
        if step.changes.len() > MAX_STEP_CHANGES {
            return Err(StepError::TooManyChanges);
        }
        let mut next = self.clone();
        for change in &step.changes {
            next.apply_change(change)?;
        }
        if next.digest == self.digest {
            return Err(StepError::NoChange);
        }
        next.parent_hash = self.hash();
        next.number = self.number + 1;
        next.proposer = step.proposer.clone();
        Ok(next)
    }

    fn apply_change(&mut self, change: &Change) -> Result<(), StepError> {
        match change {
            Change::Put { kind, key, entry } => {
                if key.is_empty() || key.len() > MAX_KEY_BYTES || key.chars().any(char::is_control) {
                    return Err(StepError::InvalidKey(key.chars().take(MAX_KEY_BYTES).collect()));
                }
                self.set_entry(*kind, key.clone(), Some(*entry));
                if self.len(*kind) > MAX_LIST_ENTRIES {
                    return Err(StepError::ListFull(kind.name().into()));
                }
            }
            Change::Remove { kind, key } => self.set_entry(*kind, key.clone(), None),
            Change::Settings(settings) if settings.len() > MAX_SETTINGS_BYTES => {
                return Err(StepError::SettingsTooLong);
            }
            Change::Settings(settings) => self.set_settings(settings.as_str().into()),
        }
        Ok(())
    }

    /// Returns the changes that lead from the contents of this version to those of another.
    pub fn changes_to(&self, other: &Version) -> Vec<Change> {
        let mut changes = Vec::new();
        for kind in ListKind::ALL {
            for item in self.entries_of(kind).diff(other.entries_of(kind)) {
                changes.push(match item {
                    DiffItem::Add(key, entry) | DiffItem::Update { new: (key, entry), .. } => {
                        Change::Put { kind, key: key.clone(), entry: *entry }
                    }
                    DiffItem::Remove(key, _) => Change::Remove { kind, key: key.clone() },
                });
            }
        }
        if self.settings != other.settings {
            changes.push(Change::Settings(other.settings.to_string()));
        }
        changes
    }

    /// Returns removals for at most `limit` entries that have expired at `unix_now` (microseconds of the Unix clock).
    pub fn expired_changes(&self, unix_now: u64, limit: usize) -> Vec<Change> {
        self.all_entries()
            .filter(|(_, _, entry)| entry.expires_at > 0 && entry.expires_at <= unix_now)
            .take(limit)
            .map(|(kind, key, _)| Change::Remove { kind, key: key.clone() })
            .collect()
    }

    fn all_entries(&self) -> impl Iterator<Item = (ListKind, &String, &ListEntry)> {
        ListKind::ALL.into_iter().flat_map(|kind| self.list(kind).map(move |(key, entry)| (kind, key, entry)))
    }

    /// Returns the form of the version that is sent and stored.
    pub fn contents(&self) -> VersionContents {
        VersionContents {
            number: self.number,
            parent_hash: self.parent_hash,
            proposer: self.proposer.clone(),
            settings: self.settings.to_string(),
            entries: self.all_entries().map(|(kind, key, entry)| (kind, key.clone(), *entry)).collect(),
        }
    }

    /// Returns the version with these contents; `None` unless its [`Version::hash`] is `expected_hash`.
    pub fn from_contents(contents: VersionContents, expected_hash: u64) -> Option<Version> {
        let mut version = Version {
            number: contents.number,
            parent_hash: contents.parent_hash,
            proposer: contents.proposer,
            ..Version::default()
        };
        for (kind, key, entry) in contents.entries {
            version.set_entry(kind, key, Some(entry));
        }
        if !contents.settings.is_empty() {
            version.set_settings(contents.settings.into());
        }
        (version.hash() == expected_hash).then_some(version)
    }
}

/// Reports whether enforcing `newer` contradicts enforcing `older`.
///
/// This is so if `newer` denies a key that `older` does not, allows one that `older` denies, or lacks an entry that
/// `older` has. The result follows from the contents of the two versions, whatever steps lie between them. Settings
/// are not compared: each node applies them as a separate transaction.
pub fn contradicts(older: &Version, newer: &Version) -> bool {
    ListKind::ALL.into_iter().any(|kind| {
        let diff = older.entries_of(kind).diff(newer.entries_of(kind));
        diff.into_iter().any(|item| match item {
            DiffItem::Add(_, entry) => entry.access == Access::Denied,
            DiffItem::Remove(..) => true,
            DiffItem::Update { old, new } => old.1.access != new.1.access,
        })
    })
}

/// Reports whether one change contradicts enforcing `older`.
///
/// If [`contradicts`] is true because of a change of a step, this is true for that change. It may also be true for
/// others, such as a change that a later one reverts.
pub fn change_contradicts(older: &Version, change: &Change) -> bool {
    match change {
        Change::Put { kind, key, entry } => match older.entry(*kind, key) {
            None => entry.access == Access::Denied,
            Some(existing) => existing.access != entry.access,
        },
        Change::Remove { kind, key } => older.entry(*kind, key).is_some(),
        Change::Settings(_) => false,
    }
}

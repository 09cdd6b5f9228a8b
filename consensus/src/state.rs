//! One version, whole: the operator's settings and the lists, under one number, hash and base.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Entries of one list, bytes of a key, changes of one step, bytes of the settings' text.
pub const ENTRIES: usize = 200_000;
pub const KEY: usize = 64;
pub const CHANGES: usize = 1_000;
pub const TEXT: usize = 64 * 1024;

/// What a list is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    Tenants,
    Callers,
    Methods,
}

impl Kind {
    pub const ALL: [Kind; 3] = [Kind::Tenants, Kind::Callers, Kind::Methods];
    pub fn name(self) -> &'static str {
        match self {
            Kind::Tenants => "tenants",
            Kind::Callers => "callers",
            Kind::Methods => "methods",
        }
    }
    pub fn named(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// What a list says of whom it names. Who is on no list is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// Let in, on a word that can be taken back: it holds while a lease does.
    In,
    /// Barred, or put aside.
    Out,
}

/// An entry, and until when it is on its list: microseconds of the Unix clock, 0 for no end. The keepers decide when that
/// is over, once for all; no node looks at its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub standing: Standing,
    pub until: u64,
}

/// One change of what a version says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Put { kind: Kind, key: String, entry: Entry },
    Take { kind: Kind, key: String },
    Text(String),
}

/// A step from one version to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version that it was made from; none for whichever is the newest when its turn comes.
    pub base: Option<u64>,
    /// The member whose operator proposed it.
    pub by: String,
    pub changes: Vec<Change>,
}

/// Why a step is no step from here.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Refused {
    #[error("it was made from version {base}, and version {newest} by {by} is the newest")]
    Base { base: u64, newest: u64, by: String },
    #[error("nothing changes by it")]
    Nothing,
    #[error("a step has {CHANGES} changes at most")]
    Many,
    #[error("a key has 1 to {KEY} bytes without control characters: {0:?}")]
    Key(String),
    #[error("the list {0} has {ENTRIES} entries at most")]
    Full(String),
    #[error("settings have {TEXT} bytes at most")]
    Long,
    #[error("{0} versions wait to come into force already")]
    Waiting(u64),
    #[error("version {0} is not known any more")]
    Forgotten(u64),
}

type List = OrdMap<String, Entry>;

/// A version, whole. Cheap to copy: lists share what they have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub number: u64,
    /// The hash of the version before.
    pub parent: u64,
    pub by: String,
    pub text: Arc<str>,
    lists: [List; 3],
    /// Of the entries and the text, whatever the order they came in.
    digest: u64,
}

/// A version on its way.
#[derive(Serialize, Deserialize)]
pub struct Whole {
    pub number: u64,
    pub parent: u64,
    pub by: String,
    pub text: String,
    pub lists: Vec<(Kind, String, Entry)>,
}

fn mark(kind: Kind, key: &str, entry: Entry) -> u64 {
    let head = [kind as u8, entry.standing as u8];
    xxh3_64(&[&head[..], &entry.until.to_le_bytes(), key.as_bytes()].concat())
}
fn mark_text(text: &str) -> u64 {
    xxh3_64(&[b"text", text.as_bytes()].concat())
}

impl State {
    /// The hash by which a version is believed: of what it says, its number, and all that came before.
    pub fn hash(&self) -> u64 {
        let parts = [self.number, self.parent, self.digest].map(u64::to_le_bytes);
        xxh3_64(&parts.concat())
    }
    pub fn entry(&self, kind: Kind, key: &str) -> Option<Entry> {
        self.lists[kind as usize].get(key).copied()
    }
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = (&String, &Entry)> {
        self.lists[kind as usize].iter()
    }
    pub fn len(&self, kind: Kind) -> usize {
        self.lists[kind as usize].len()
    }
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }

    fn put(&mut self, kind: Kind, key: String, entry: Option<Entry>) {
        let list = &mut self.lists[kind as usize];
        let before = match entry {
            Some(entry) => list.insert(key.clone(), entry),
            None => list.remove(&key),
        };
        self.digest ^= before.map_or(0, |before| mark(kind, &key, before));
        self.digest ^= entry.map_or(0, |entry| mark(kind, &key, entry));
    }

    /// The next version by a step.
    ///
    /// # Errors
    /// [`Refused`]: it starts elsewhere, changes nothing, or is beyond a bound. Nothing is changed then.
    pub fn step(&self, step: &Step) -> Result<State, Refused> {
        if let Some(base) = step.base.filter(|base| *base != self.number) {
            let (newest, by) = (self.number, self.by.clone());
            return Err(Refused::Base { base, newest, by });
        }
        if step.changes.len() > CHANGES {
            return Err(Refused::Many);
        }
        let mut next = self.clone();
        for change in &step.changes {
            match change {
                Change::Put { kind, key, entry } => {
                    if key.is_empty() || key.len() > KEY || key.chars().any(char::is_control) {
                        return Err(Refused::Key(key.chars().take(KEY).collect()));
                    }
                    next.put(*kind, key.clone(), Some(*entry));
                    if next.len(*kind) > ENTRIES {
                        return Err(Refused::Full(kind.name().into()));
                    }
                }
                Change::Take { kind, key } => next.put(*kind, key.clone(), None),
                Change::Text(text) if text.len() > TEXT => return Err(Refused::Long),
                Change::Text(text) => {
                    next.digest ^= mark_text(&next.text) ^ mark_text(text);
                    next.text = text.as_str().into();
                }
            }
        }
        if next.digest == self.digest {
            return Err(Refused::Nothing);
        }
        (next.parent, next.number, next.by) = (self.hash(), self.number + 1, step.by.clone());
        Ok(next)
    }

    /// What leads from this version to what another one says.
    pub fn changes_to(&self, other: &State) -> Vec<Change> {
        let mut changes = Vec::new();
        for kind in Kind::ALL {
            for item in self.lists[kind as usize].diff(&other.lists[kind as usize]) {
                changes.push(match item {
                    imbl::ordmap::DiffItem::Add(key, entry) => {
                        Change::Put { kind, key: key.clone(), entry: *entry }
                    }
                    imbl::ordmap::DiffItem::Update { new: (key, entry), .. } => {
                        Change::Put { kind, key: key.clone(), entry: *entry }
                    }
                    imbl::ordmap::DiffItem::Remove(key, _) => Change::Take { kind, key: key.clone() },
                });
            }
        }
        if self.text != other.text {
            changes.push(Change::Text(other.text.to_string()));
        }
        changes
    }

    /// Entries whose time is over.
    pub fn over(&self, wall: u64, most: usize) -> Vec<Change> {
        let lists = Kind::ALL.into_iter().flat_map(|kind| self.list(kind).map(move |item| (kind, item)));
        let over = lists.filter(|(_, (_, entry))| entry.until > 0 && entry.until <= wall);
        over.take(most).map(|(kind, (key, _))| Change::Take { kind, key: key.clone() }).collect()
    }

    /// For the way; and back, checked against the hash that it is to have.
    pub fn whole(&self) -> Whole {
        let lists = Kind::ALL
            .into_iter()
            .flat_map(|kind| self.list(kind).map(move |(key, entry)| (kind, key.clone(), *entry)));
        let (number, parent, by) = (self.number, self.parent, self.by.clone());
        Whole { number, parent, by, text: self.text.to_string(), lists: lists.collect() }
    }
    pub fn believe(whole: Whole, hash: u64) -> Option<State> {
        let mut state =
            State { number: whole.number, parent: whole.parent, by: whole.by, ..State::default() };
        for (kind, key, entry) in whole.lists {
            state.put(kind, key, Some(entry));
        }
        if !whole.text.is_empty() {
            state.digest ^= mark_text("") ^ mark_text(&whole.text);
            state.text = whole.text.into();
        }
        (state.hash() == hash).then_some(state)
    }
}

/// Whether acting on one version contradicts acting on the other: somebody is let in by one and barred, or no more let in,
/// by the other. Computed from what the two say, whatever steps led there. A change of the settings' text counts as none:
/// each node takes it up as a transaction of its own.
pub fn contradict(a: &State, b: &State) -> bool {
    Kind::ALL.into_iter().any(|kind| {
        let diff = a.lists[kind as usize].diff(&b.lists[kind as usize]);
        diff.into_iter().any(|item| match item {
            imbl::ordmap::DiffItem::Add(_, entry) => entry.standing == Standing::Out,
            imbl::ordmap::DiffItem::Remove(..) => true,
            imbl::ordmap::DiffItem::Update { old, new } => old.1.standing != new.1.standing,
        })
    })
}

/// The same of one change, on what one version says: as much or more than [`contradict`] finds.
pub fn hinder(before: &State, change: &Change) -> bool {
    match change {
        Change::Put { kind, key, entry } => match before.entry(*kind, key) {
            None => entry.standing == Standing::Out,
            Some(known) => known.standing != entry.standing,
        },
        Change::Take { kind, key } => before.entry(*kind, key).is_some(),
        Change::Text(_) => false,
    }
}

//! What is wrong with a version, a change of it, or the text of a step.

use crate::{Digest, Name, MAX_CHANGES, MAX_METHODS, MAX_NAME_BYTES, MAX_TENANTS};

/// What an entry is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKind {
    Method,
    Tenant,
}

impl EntryKind {
    /// As steps write it.
    pub fn word(self) -> &'static str {
        match self {
            EntryKind::Method => "method",
            EntryKind::Tenant => "tenant",
        }
    }
    /// The list of the platform's settings that holds such entries.
    pub fn list_key(self) -> &'static str {
        match self {
            EntryKind::Method => "Categories",
            EntryKind::Tenant => "Tenants",
        }
    }
}

/// Why a version can't say this. Each names the key at fault, in the platform's own words.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    #[error("field {0} is missing or of the wrong form")]
    InvalidField(&'static str),
    #[error("field {key} is out of bounds: {value}")]
    OutOfBounds { key: &'static str, value: f64 },
    #[error("{key} {word} is not known")]
    UnknownWord { key: &'static str, word: String },
    #[error("field {0} is not known")]
    UnknownField(String),
    #[error("field {0} stands twice")]
    DuplicateField(String),
    #[error("Name {name:?} has to be text of 1 to {MAX_NAME_BYTES} bytes{}", if *.word { ", without blanks" } else { "" })]
    InvalidName { name: String, word: bool },
    #[error("Name {name} stands twice in {}", .kind.list_key())]
    DuplicateName { kind: EntryKind, name: Name },
    #[error("{list} has {most} entries at most, the bound {bound}")]
    TooManyEntries { list: &'static str, bound: &'static str, most: usize },
    #[error("{} {name} is not known, and can't be taken", .kind.word())]
    UnknownEntry { kind: EntryKind, name: Name },
    #[error("Categories would be empty: the last method can't be taken")]
    LastMethod,
    #[error("{} {name}: {why}", .kind.word())]
    InEntry { kind: EntryKind, name: Name, why: Box<ConfigError> },
}

impl ConfigError {
    /// A list is full, by the name of its bound.
    pub fn too_many_entries(kind: EntryKind) -> ConfigError {
        let (bound, most) = match kind {
            EntryKind::Method => ("METHODS", MAX_METHODS),
            EntryKind::Tenant => ("TENANTS", MAX_TENANTS),
        };
        ConfigError::TooManyEntries { list: kind.list_key(), bound, most }
    }
    /// The same, with the entry that it was found in.
    pub fn in_entry(self, kind: EntryKind, name: &Name) -> ConfigError {
        ConfigError::InEntry { kind, name: name.clone(), why: Box::new(self) }
    }
}

/// Why a text is no step. Lines count from 1.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StepError {
    #[error("line {line}: not JSON: {why}")]
    Json { line: usize, why: String },
    #[error("line {line}: {why}")]
    InvalidField { line: usize, why: String },
    #[error("line {line}: a line puts, takes or gives a frame; only the first may give base and hash")]
    UnexpectedLine { line: usize },
    #[error("line {line}: {why}")]
    InvalidEntry { line: usize, why: ConfigError },
    #[error("a step has {MAX_CHANGES} changes at most, the bound CHANGES")]
    TooManyChanges,
    #[error("hash {found} of what was read is not the hash {told} that it is to have")]
    HashMismatch { told: Digest, found: Digest },
}

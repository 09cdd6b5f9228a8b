//! What is wrong with a version, a change of it, or the text of a step.

use crate::{Digest, Name, CHANGES, METHODS, NAME, TENANTS};

/// What an entry is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Method,
    Tenant,
}

impl Kind {
    /// As steps write it.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Method => "method",
            Kind::Tenant => "tenant",
        }
    }
    /// The list of the platform's settings that holds such entries.
    pub fn list(self) -> &'static str {
        match self {
            Kind::Method => "Categories",
            Kind::Tenant => "Tenants",
        }
    }
}

/// Why a version can't say this. Each names the key at fault, in the platform's own words.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refused {
    #[error("field {0} is missing or of the wrong form")]
    Field(&'static str),
    #[error("field {key} is out of bounds: {value}")]
    Bounds { key: &'static str, value: f64 },
    #[error("{key} {word} is not known")]
    Word { key: &'static str, word: String },
    #[error("field {0} is not known")]
    Unheard(String),
    #[error("field {0} stands twice")]
    Again(String),
    #[error("Name {name:?} has to be text of 1 to {NAME} bytes{}", if *.word { ", without blanks" } else { "" })]
    Name { name: String, word: bool },
    #[error("Name {name} stands twice in {}", .kind.list())]
    Twice { kind: Kind, name: Name },
    #[error("{list} has {most} entries at most, the bound {bound}")]
    Many { list: &'static str, bound: &'static str, most: usize },
    #[error("{} {name} is not known, and can't be taken", .kind.word())]
    Unknown { kind: Kind, name: Name },
    #[error("Categories would be empty: the last method can't be taken")]
    Last,
    #[error("{} {name}: {why}", .kind.word())]
    Of { kind: Kind, name: Name, why: Box<Refused> },
}

impl Refused {
    /// A list is full, by the name of its bound.
    pub fn full(kind: Kind) -> Refused {
        let (bound, most) = match kind {
            Kind::Method => ("METHODS", METHODS),
            Kind::Tenant => ("TENANTS", TENANTS),
        };
        Refused::Many { list: kind.list(), bound, most }
    }
    /// The same, with the entry that it was found in.
    pub fn of(self, kind: Kind, name: &Name) -> Refused {
        Refused::Of { kind, name: name.clone(), why: Box::new(self) }
    }
}

/// Why a text is no step. Lines count from 1.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StepFault {
    #[error("line {line}: not JSON: {why}")]
    Json { line: usize, why: String },
    #[error("line {line}: {why}")]
    Field { line: usize, why: String },
    #[error("line {line}: a line puts, takes or gives a frame; only the first may give base and hash")]
    Form { line: usize },
    #[error("line {line}: {why}")]
    Entry { line: usize, why: Refused },
    #[error("a step has {CHANGES} changes at most, the bound CHANGES")]
    Many,
    #[error("hash {found} of what was read is not the hash {told} that it is to have")]
    Hash { told: Digest, found: Digest },
}

//! Why a version, a change of it, or the text of a step is refused.

use crate::digest::{Digest, InvalidDigest};
use crate::entry::{EntryKind, Name};
use crate::limits::{MAX_CHANGES, MAX_GAUGES, MAX_METHODS, MAX_NAME_BYTES, MAX_QUOTED_CHARS, MAX_TENANTS};

/// Why a version can't say this. Each message names the key at fault, as the platform spells it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The field is absent, or its value has the wrong type.
    #[error("field {0} is missing or of the wrong form")]
    InvalidField(&'static str),
    /// The number is outside the range of its field.
    #[error("field {key} is out of bounds: {value}")]
    OutOfBounds {
        /// The field's key.
        key: &'static str,
        /// The number, in the unit of the field.
        value: f64,
    },
    /// The word is none of those that the field may have.
    #[error("{key} {keyword} is not known")]
    UnknownKeyword {
        /// The field's key.
        key: &'static str,
        /// The start of the word.
        keyword: String,
    },
    /// There is no such field here; holds the start of its key.
    #[error("field {0} is not known")]
    UnknownField(String),
    /// The field is given more than once.
    #[error("field {0} stands twice")]
    DuplicateField(String),
    /// The name of an entry is empty, too long, or has characters that it may not have.
    #[error("Name {name:?} has to be text of 1 to {MAX_NAME_BYTES} bytes{}", if *.forbids_whitespace { ", without blanks" } else { "" })]
    InvalidName {
        /// The start of the name.
        name: String,
        /// Blanks are forbidden, too.
        forbids_whitespace: bool,
    },
    /// Two entries of one kind have the same name.
    #[error("Name {name} stands twice in {}", .kind.list_key())]
    DuplicateName {
        /// The kind of both.
        kind: EntryKind,
        /// Their name.
        name: Name,
    },
    /// A list is longer than its bound.
    #[error("{list} has {max} entries at most, the bound {limit_name}")]
    TooManyEntries {
        /// The key of the list.
        list: &'static str,
        /// The name of the bound.
        limit_name: &'static str,
        /// The value of the bound.
        max: usize,
    },
    /// The entry that is to be removed does not exist.
    #[error("{} {name} is not known, and can't be taken", .kind.keyword())]
    UnknownEntry {
        /// Its kind.
        kind: EntryKind,
        /// Its name.
        name: Name,
    },
    /// The change would remove the last method.
    #[error("Categories would be empty: the last method can't be taken")]
    LastMethod,
    /// The error was found in this entry.
    #[error("{} {name}: {error}", .kind.keyword())]
    InEntry {
        /// The entry's kind.
        kind: EntryKind,
        /// The entry's name.
        name: Name,
        /// The error.
        error: Box<ConfigError>,
    },
}

impl ConfigError {
    /// There are too many entries of this kind.
    pub fn too_many_entries(kind: EntryKind) -> ConfigError {
        let (limit_name, max) = match kind {
            EntryKind::Method => ("METHODS", MAX_METHODS),
            EntryKind::Tenant => ("TENANTS", MAX_TENANTS),
        };
        ConfigError::TooManyEntries { list: kind.list_key(), limit_name, max }
    }

    /// There are too many gauges.
    pub(crate) fn too_many_gauges() -> ConfigError {
        ConfigError::TooManyEntries { list: "Gauges", limit_name: "GAUGES", max: MAX_GAUGES }
    }

    /// The word is none of those that the field may have.
    pub(crate) fn unknown_keyword(key: &'static str, keyword: &str) -> ConfigError {
        ConfigError::UnknownKeyword { key, keyword: keyword.chars().take(MAX_QUOTED_CHARS).collect() }
    }

    /// The same error, with the entry that it was found in.
    pub fn in_entry(self, kind: EntryKind, name: &Name) -> ConfigError {
        ConfigError::InEntry { kind, name: name.clone(), error: Box::new(self) }
    }
}

impl From<InvalidDigest> for ConfigError {
    fn from(_: InvalidDigest) -> ConfigError {
        ConfigError::InvalidField("hash")
    }
}

/// Why a text is no step, or no version. Lines count from 1.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StepError {
    /// The line is not JSON.
    #[error("line {line}: not JSON: {message}")]
    Json {
        /// The line's number.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// The line is JSON, but holds a field that it may not hold.
    #[error("line {line}: {message}")]
    InvalidField {
        /// The line's number.
        line: usize,
        /// The message, with the key at fault.
        message: String,
    },
    /// The line is none of those that a step has, or stands where it may not.
    #[error("line {line}: a line puts, takes or gives a frame; only the first may give base and hash")]
    UnexpectedLine {
        /// The line's number.
        line: usize,
    },
    /// The line's entry is refused.
    #[error("line {line}: {error}")]
    InvalidEntry {
        /// The line's number.
        line: usize,
        /// Why it is refused.
        error: ConfigError,
    },
    /// The step has more than [`MAX_CHANGES`] changes.
    #[error("a step has {MAX_CHANGES} changes at most, the bound CHANGES")]
    TooManyChanges,
    /// The version that was read has another digest than the text states.
    #[error("hash {found} of what was read is not the hash {expected} that it is to have")]
    HashMismatch {
        /// The digest in the text.
        expected: Digest,
        /// The digest of what was read.
        found: Digest,
    },
}

//! Errors of versions, of changes to them, and of their text form.

use crate::digest::{Digest, InvalidDigest};
use crate::entry::{EntryKind, Name};
use crate::limits::{MAX_CHANGES, MAX_GAUGES, MAX_METHODS, MAX_NAME_BYTES, MAX_QUOTED_CHARS, MAX_TENANTS};

/// An error in a version or in a change to it. Each message names the invalid key, as the platform spells it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The field is absent, or its value has the wrong type or format.
    #[error("field {0} is missing or invalid")]
    InvalidField(&'static str),
    /// The number is outside the range of its field.
    #[error("field {key} is out of bounds: {value}")]
    OutOfBounds {
        /// The field's key.
        key: &'static str,
        /// The value, in the unit of the field.
        value: f64,
    },
    /// The text is not one of the keywords of the field.
    #[error("field {key} has the unknown value {keyword:?}")]
    UnknownKeyword {
        /// The field's key.
        key: &'static str,
        /// The start of the text.
        keyword: String,
    },
    /// The field is not allowed here. Contains the start of its key.
    #[error("unknown field {0}")]
    UnknownField(String),
    /// The field is given more than once.
    #[error("duplicate field {0}")]
    DuplicateField(String),
    /// The name of an entry is empty, too long, or contains characters that are not allowed.
    #[error(
        "invalid Name {name:?}: expected 1 to {MAX_NAME_BYTES} bytes without control characters{}",
        if *.forbids_whitespace { " or whitespace" } else { "" }
    )]
    InvalidName {
        /// The start of the name.
        name: String,
        /// Whether whitespace is forbidden, in addition to control characters.
        forbids_whitespace: bool,
    },
    /// Two entries of one kind have the same name.
    #[error("duplicate Name {name} in {}", .kind.list_key())]
    DuplicateName {
        /// The kind of both entries.
        kind: EntryKind,
        /// Their name.
        name: Name,
    },
    /// A list has too many entries.
    #[error("{list} has more than {max} entries (bound {limit_name})")]
    TooManyEntries {
        /// The key of the list.
        list: &'static str,
        /// The name of the limit.
        limit_name: &'static str,
        /// The value of the limit.
        max: usize,
    },
    /// The entry to remove does not exist.
    #[error("cannot remove {} {name}: it does not exist", .kind.keyword())]
    UnknownEntry {
        /// The entry's kind.
        kind: EntryKind,
        /// The entry's name.
        name: Name,
    },
    /// The change would remove the last method.
    #[error("cannot remove the last method: Categories must not be empty")]
    LastMethod,
    /// An error in the fields of an entry.
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
    /// Returns the error for too many entries of this kind.
    pub fn too_many_entries(kind: EntryKind) -> ConfigError {
        let (limit_name, max) = match kind {
            EntryKind::Method => ("METHODS", MAX_METHODS),
            EntryKind::Tenant => ("TENANTS", MAX_TENANTS),
        };
        ConfigError::TooManyEntries { list: kind.list_key(), limit_name, max }
    }

    /// Returns the error for too many gauges.
    pub(crate) fn too_many_gauges() -> ConfigError {
        ConfigError::TooManyEntries { list: "Gauges", limit_name: "GAUGES", max: MAX_GAUGES }
    }

    /// Returns the error for a text that is not one of the keywords of the field.
    pub(crate) fn unknown_keyword(key: &'static str, keyword: &str) -> ConfigError {
        ConfigError::UnknownKeyword { key, keyword: keyword.chars().take(MAX_QUOTED_CHARS).collect() }
    }

    /// Wraps the error with the entry in which it was found.
    pub fn in_entry(self, kind: EntryKind, name: &Name) -> ConfigError {
        ConfigError::InEntry { kind, name: name.clone(), error: Box::new(self) }
    }
}

impl From<InvalidDigest> for ConfigError {
    fn from(_: InvalidDigest) -> ConfigError {
        ConfigError::InvalidField("hash")
    }
}

/// An error in the text of a step or version. Line numbers start at 1.
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
    /// The line is JSON, but contains an invalid field.
    #[error("line {line}: {message}")]
    InvalidField {
        /// The line's number.
        line: usize,
        /// The message, which names the invalid key.
        message: String,
    },
    /// The line is not a valid line of a step, or is in the wrong place.
    #[error("line {line}: expected exactly one of put, take and frame, or base and hash, which are allowed only on the first line")]
    UnexpectedLine {
        /// The line's number.
        line: usize,
    },
    /// The line's entry is rejected.
    #[error("line {line}: {error}")]
    InvalidEntry {
        /// The line's number.
        line: usize,
        /// The error in the entry.
        error: ConfigError,
    },
    /// The step has more than [`MAX_CHANGES`] changes.
    #[error("the step has more than {MAX_CHANGES} changes (bound CHANGES)")]
    TooManyChanges,
    /// The digest of the version that was read differs from the one that the text states.
    #[error("hash mismatch: expected {expected}, found {found}")]
    HashMismatch {
        /// The digest in the text.
        expected: Digest,
        /// The digest of the version that was read.
        found: Digest,
    },
}

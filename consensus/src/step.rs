//! A step from one version to the next, its limits, and why one may be rejected.

use crate::lists::{ListEntry, ListKind};
use serde::{Deserialize, Serialize};

/// Most entries in one list.
pub const MAX_LIST_ENTRIES: usize = 200_000;
/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Most changes in one step.
pub const MAX_STEP_CHANGES: usize = 1_000;
/// Longest settings text, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 * 1024;

/// One change to the contents of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds or replaces an entry of a list.
    Put {
        /// Which list.
        kind: ListKind,
        /// Which key: 1 to [`MAX_KEY_BYTES`] bytes without control characters.
        key: String,
        /// The new entry.
        entry: ListEntry,
    },
    /// Removes an entry from a list.
    Remove {
        /// Which list.
        kind: ListKind,
        /// Which key.
        key: String,
    },
    /// Replaces the settings text, of at most [`MAX_SETTINGS_BYTES`] bytes.
    Settings(String),
}

/// A step from one version to the next; its changes take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version that the step was made from, and must be applied to; `None` for whichever is the newest.
    pub base: Option<u64>,
    /// Name of the node whose operator proposed the step.
    pub proposer: String,
    /// At most [`MAX_STEP_CHANGES`] changes, applied in this order.
    pub changes: Vec<Change>,
}

/// Why a step can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum StepError {
    /// The step was made from another version than the newest.
    #[error("it was made from version {base}, and version {newest} by {by} is the newest")]
    WrongBase {
        /// The version that the step names.
        base: u64,
        /// The newest version.
        newest: u64,
        /// Who proposed the newest version.
        by: String,
    },
    /// The contents stay as they are.
    #[error("nothing changes by it")]
    NoChange,
    /// More than [`MAX_STEP_CHANGES`] changes.
    #[error("a step has {MAX_STEP_CHANGES} changes at most")]
    TooManyChanges,
    /// A key that is empty, too long or has control characters; its first characters.
    #[error("a key has 1 to {MAX_KEY_BYTES} bytes without control characters: {0:?}")]
    InvalidKey(String),
    /// A list would have more than [`MAX_LIST_ENTRIES`] entries; its name.
    #[error("the list {0} has {MAX_LIST_ENTRIES} entries at most")]
    ListFull(String),
    /// The settings text is longer than [`MAX_SETTINGS_BYTES`].
    #[error("settings have {MAX_SETTINGS_BYTES} bytes at most")]
    SettingsTooLong,
    /// Too many versions are committed and not active yet; how many.
    #[error("{0} versions wait to come into force already")]
    TooManyPending(u64),
    /// The version to go back to is no longer retained; its number.
    #[error("version {0} is not known any more")]
    VersionNotRetained(u64),
}

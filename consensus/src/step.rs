//! Steps from one version to the next, their limits, and the reasons for rejecting a step.

use crate::lists::{ListEntry, ListKind};
use serde::{Deserialize, Serialize};

/// Maximum number of entries in one list.
pub const MAX_LIST_ENTRIES: usize = 200_000;
/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Maximum number of changes in one step.
pub const MAX_STEP_CHANGES: usize = 1_000;
/// Maximum length of the settings text, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 * 1024;

/// Change to the contents of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Addition or replacement of a list entry.
    Put {
        /// List that is changed.
        kind: ListKind,
        /// Key of the entry: 1 to [`MAX_KEY_BYTES`] bytes without control characters.
        key: String,
        /// New entry.
        entry: ListEntry,
    },
    /// Removal of a list entry.
    Remove {
        /// List that is changed.
        kind: ListKind,
        /// Key of the entry.
        key: String,
    },
    /// Replacement of the settings text by one of at most [`MAX_SETTINGS_BYTES`] bytes.
    Settings(String),
}

/// Step from one version to the next. Its changes take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Version that the step is based on and must be applied to; `None` for whichever version is the newest.
    pub base: Option<u64>,
    /// Name of the node whose operator proposed the step.
    pub proposer: String,
    /// Changes, applied in this order; at most [`MAX_STEP_CHANGES`].
    pub changes: Vec<Change>,
}

/// Reason for rejecting a step.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum StepError {
    /// The step is based on a version that is not the newest.
    #[error("the change is based on version {base}, but version {newest} by {by} is the newest")]
    WrongBase {
        /// Version that the step is based on.
        base: u64,
        /// Number of the newest version.
        newest: u64,
        /// Name of the node whose operator proposed the newest version.
        by: String,
    },
    /// The step leaves the contents unchanged.
    #[error("the change has no effect on the newest version")]
    NoChange,
    /// The step has more than [`MAX_STEP_CHANGES`] changes.
    #[error("a step must have at most {MAX_STEP_CHANGES} changes")]
    TooManyChanges,
    /// A key is empty, too long or has control characters. The field has at most its first [`MAX_KEY_BYTES`] characters.
    #[error("a key must have 1 to {MAX_KEY_BYTES} bytes without control characters, found {0:?}")]
    InvalidKey(String),
    /// A list would have more than [`MAX_LIST_ENTRIES`] entries. The field has its name.
    #[error("the list {0} must have at most {MAX_LIST_ENTRIES} entries")]
    ListFull(String),
    /// The settings text is longer than [`MAX_SETTINGS_BYTES`].
    #[error("settings must have at most {MAX_SETTINGS_BYTES} bytes")]
    SettingsTooLong,
    /// Too many versions are committed and not active yet. The field has their number.
    #[error("{0} versions are already committed and not active yet")]
    TooManyPending(u64),
    /// The version to restore is not retained, or never existed. The field has its number.
    #[error("version {0} is not retained")]
    VersionNotRetained(u64),
}

//! State that persists over a restart, and the effect of a step on it.

use super::error::RecordError;
use crate::version::{remember_rolled_back, RolledBack, VersionHash};
use asterrill_entries::Configuration;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of a version: the 32 hex digits of its entries' digest, followed by `-` and the 16 hex digits of the
/// operator's file's `xxh3` if there is such a file. Entries with the same meaning have the same hash.
pub fn version_hash(content: &Configuration, operator_file: &str) -> VersionHash {
    let digest = content.digest();
    if operator_file.is_empty() {
        digest.to_string().into()
    } else {
        format!("{digest}-{:016x}", xxh3_64(operator_file.as_bytes())).into()
    }
}

/// Version in its persisted form. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PersistedVersion {
    /// Number of the version, starting at 1.
    pub number: u64,
    /// Entries of the version.
    pub content: Configuration,
    /// Text of the operator's file, unmodified; empty if there is none.
    pub operator_file: Arc<str>,
}

impl PersistedVersion {
    /// Returns the hash of the version; see [`version_hash`].
    pub fn hash(&self) -> VersionHash {
        version_hash(&self.content, &self.operator_file)
    }
}

impl PartialEq for PersistedVersion {
    fn eq(&self, other: &PersistedVersion) -> bool {
        self.number == other.number
            && self.content.digest() == other.content.digest()
            && self.operator_file == other.operator_file
    }
}

/// State that a process needs after a restart. Cheap to clone.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedState {
    /// Last good version.
    pub good: PersistedVersion,
    /// Version on probation.
    pub probation: Option<PersistedVersion>,
    /// Versions that were rolled back, the oldest first, at most 64.
    pub rolled_back: Vec<RolledBack>,
}

/// Kind of a step, which states what happened to its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepKind {
    /// The version is good without a probation.
    Good,
    /// The version is on probation.
    Probation,
    /// The probation of the version was confirmed.
    Confirmed,
    /// The version was rolled back.
    RolledBack,
}

impl StepKind {
    const ALL: [StepKind; 4] =
        [StepKind::Good, StepKind::Probation, StepKind::Confirmed, StepKind::RolledBack];

    /// Returns the name of the kind in the file.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            StepKind::Good => "good",
            StepKind::Probation => "probation",
            StepKind::Confirmed => "settled",
            StepKind::RolledBack => "undone",
        }
    }

    pub(super) fn parse(word: &str) -> Option<StepKind> {
        StepKind::ALL.into_iter().find(|kind| kind.as_str() == word)
    }
}

impl PersistedState {
    /// Applies one step. `number` and `hash` identify its version; `version` is `Some` if the step holds one.
    pub(super) fn apply_step(
        &mut self, kind: StepKind, number: u64, hash: &str, version: Option<PersistedVersion>,
    ) -> Result<(), RecordError> {
        match (kind, version) {
            (StepKind::Good, Some(version)) => {
                self.good = version;
                self.probation = None;
            }
            (StepKind::Probation, Some(version)) => self.probation = Some(version),
            (StepKind::Confirmed, _) => {
                let matches_step =
                    |version: &mut PersistedVersion| version.number == number && *version.hash() == *hash;
                let confirmed = self.probation.take_if(matches_step);
                self.good = confirmed.ok_or(RecordError::NotOnProbation)?;
            }
            (StepKind::RolledBack, _) => {
                self.probation.take_if(|version| version.number == number);
                remember_rolled_back(&mut self.rolled_back, RolledBack { hash: hash.into(), number });
            }
            (StepKind::Good | StepKind::Probation, None) => return Err(RecordError::NoVersion),
        }
        Ok(())
    }
}

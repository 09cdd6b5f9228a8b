//! What a restart needs: versions as they persist, and what one step makes of them.

use super::error::RecordError;
use crate::version::{remember_rolled_back, RolledBack, VersionHash};
use asterrill_entries::Configuration;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The hash of a version: the 32 hex digits of its entries' digest, and where there is an operator's file a `-` and 16
/// digits of that. The same for the same meaning of the entries.
pub fn version_hash(content: &Configuration, operator_file: &str) -> VersionHash {
    let digest = content.digest();
    if operator_file.is_empty() {
        digest.to_string().into()
    } else {
        format!("{digest}-{:016x}", xxh3_64(operator_file.as_bytes())).into()
    }
}

/// A version as it persists. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PersistedVersion {
    /// From 1 up.
    pub number: u64,
    /// Its entries.
    pub content: Configuration,
    /// The text of the operator's file, as it was written; empty where there is none.
    pub operator_file: Arc<str>,
}

impl PersistedVersion {
    /// The hash of what it says; see [`version_hash`].
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

/// What a restart needs. Cheap to clone.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedState {
    /// The last good version.
    pub good: PersistedVersion,
    /// The version on probation.
    pub probation: Option<PersistedVersion>,
    /// Versions that were rolled back, the oldest first, 64 at the most.
    pub rolled_back: Vec<RolledBack>,
}

/// What a step says of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepKind {
    /// It is good from the start.
    Good,
    /// It is on probation.
    Probation,
    /// Its probation ended well.
    Confirmed,
    /// It was rolled back.
    RolledBack,
}

impl StepKind {
    const ALL: [StepKind; 4] =
        [StepKind::Good, StepKind::Probation, StepKind::Confirmed, StepKind::RolledBack];

    /// The word for it in the file.
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
    /// Applies one step: `number` and `hash` of its version, and that version where the step holds one.
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
                let is_meant =
                    |version: &mut PersistedVersion| version.number == number && *version.hash() == *hash;
                let confirmed = self.probation.take_if(is_meant);
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

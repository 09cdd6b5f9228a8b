//! State machine of the voters' log: the retained versions and the steps between them, the same on each voter.

use crate::command::{Command, CommandOutcome, ProposalId, ResolvedProposal};
use crate::step::{Step, StepError};
use crate::version::{change_contradicts, contradicts, Version, VersionContents};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of versions that are committed and not active yet.
const MAX_PENDING_VERSIONS: u64 = 64;
/// Maximum number of versions that an operator can restore, and of steps that replicas can fetch.
const MAX_RETAINED_VERSIONS: usize = 256;
/// Maximum number of proposals whose outcome is retained. Such a proposal has no effect if it is committed again.
const MAX_RESOLVED_PROPOSALS: usize = 1_024;

/// Versions and steps that this node has.
#[derive(Clone, Debug, Default)]
pub struct VersionLog {
    versions: BTreeMap<u64, Version>,
    /// Step that led to each version, by the number of the version.
    steps: BTreeMap<u64, Step>,
    active: u64,
    resolved: VecDeque<ResolvedProposal>,
}

/// Encoded form of a version log: its first version in full, and the steps after it.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    hash: u64,
    base: VersionContents,
    steps: Vec<Step>,
    active: u64,
    resolved: Vec<ResolvedProposal>,
}

/// Error from decoding a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not a snapshot.
    #[error("failed to decode a snapshot of {bytes} bytes: {source}")]
    Decode {
        /// Length of the bytes.
        bytes: usize,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The first version does not have the hash that the snapshot records.
    #[error("version {number} of the snapshot does not have the recorded hash {expected:016x}")]
    HashMismatch {
        /// Number of the version.
        number: u64,
        /// Hash that the snapshot records.
        expected: u64,
    },
    /// A step can't be applied to the version before it.
    #[error("failed to apply the step after version {number} of the snapshot: {source}")]
    Step {
        /// Number of the version before the step.
        number: u64,
        /// Error of the step.
        source: StepError,
    },
}

impl VersionLog {
    /// Returns the newest version.
    pub fn newest(&self) -> Version {
        self.versions.last_key_value().map(|(_, version)| version.clone()).unwrap_or_default()
    }

    /// Returns the number of the newest version; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.versions.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Returns a version, if it is retained. Version 0 always is.
    pub fn version(&self, number: u64) -> Option<Version> {
        if number == 0 {
            return Some(Version::default());
        }
        self.versions.get(&number).cloned()
    }

    /// Returns the number of the version that leases are granted for.
    pub fn active(&self) -> u64 {
        self.active
    }

    /// Returns the outcome of a proposal, while it is retained.
    pub fn outcome(&self, id: &ProposalId) -> Option<&CommandOutcome> {
        self.resolved.iter().rev().find(|resolved| resolved.id == *id).map(|resolved| &resolved.outcome)
    }

    /// Returns the retained versions, the newest last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.values()
    }

    fn insert(&mut self, version: Version, step: Option<Step>) {
        let number = version.number;
        self.versions.insert(number, version);
        if let Some(step) = step {
            self.steps.insert(number, step);
        }
        while self.steps.len() > MAX_RETAINED_VERSIONS {
            self.steps.pop_first();
        }
        while self.versions.len() > MAX_RETAINED_VERSIONS && self.first_is_before_active() {
            self.versions.pop_first();
        }
    }

    fn first_is_before_active(&self) -> bool {
        self.versions.first_key_value().is_some_and(|(number, _)| *number < self.active)
    }

    /// Applies a committed command.
    ///
    /// Returns the proposal that the command comes from and its outcome; `None` for an activation.
    pub fn apply(&mut self, command: Command) -> Option<ResolvedProposal> {
        let newest = self.newest();
        let (id, step) = match command {
            Command::Activate(number) => {
                if number > self.active && number <= self.number() {
                    self.active = number;
                }
                return None;
            }
            Command::Step { id, step } => (id, Ok(step)),
            Command::Undo { id, base, to } => {
                let step = self.undo_step(&newest, &id.proposer, base, to);
                (id, step)
            }
        };
        // A proposal that is committed again keeps the outcome of the first time.
        if let Some(outcome) = self.outcome(&id).cloned() {
            return Some(ResolvedProposal { id, outcome });
        }
        let outcome = match self.append(&newest, step) {
            Ok(version) => CommandOutcome::Applied { number: version.number, hash: version.hash() },
            Err(error) => CommandOutcome::Rejected(error),
        };
        let resolved = ResolvedProposal { id, outcome };
        while self.resolved.len() >= MAX_RESOLVED_PROPOSALS {
            self.resolved.pop_front();
        }
        self.resolved.push_back(resolved.clone());
        Some(resolved)
    }

    fn undo_step(
        &self, newest: &Version, proposer: &str, base: Option<u64>, to: u64,
    ) -> Result<Step, StepError> {
        let target = self.version(to).ok_or(StepError::VersionNotRetained(to))?;
        Ok(Step { base, proposer: proposer.into(), changes: newest.changes_to(&target) })
    }

    fn append(&mut self, newest: &Version, step: Result<Step, StepError>) -> Result<Version, StepError> {
        let pending = newest.number.saturating_sub(self.active);
        if pending >= MAX_PENDING_VERSIONS {
            return Err(StepError::TooManyPending(pending));
        }
        let step = step?;
        let version = newest.apply(&step)?;
        self.insert(version.clone(), Some(step));
        Ok(version)
    }

    /// Reports whether the step to version `number` by itself contradicts an earlier version.
    ///
    /// If the step is no longer retained, the two versions are compared in full.
    pub fn step_contradicts(&self, older: &Version, number: u64) -> bool {
        match (self.steps.get(&number), self.versions.get(&number)) {
            (Some(step), _) => step.changes.iter().any(|change| change_contradicts(older, change)),
            (None, Some(version)) => contradicts(older, version),
            (None, None) => true,
        }
    }

    /// Returns the steps after the version with this number and hash: up to about `max_bytes` encoded, and at least one
    /// if there is one.
    ///
    /// Returns `None` if not all of them are retained, or this log does not have that version.
    pub fn steps_after(&self, number: u64, hash: u64, max_bytes: usize) -> Option<Vec<Step>> {
        if self.version(number)?.hash() != hash {
            return None;
        }
        let (mut steps, mut size) = (Vec::new(), 0);
        for (at, step) in self.steps.range(number + 1..) {
            let length = postcard::to_stdvec(step).map_or(usize::MAX, |bytes| bytes.len());
            let gap = *at != number + 1 + steps.len() as u64;
            if gap || (size + length > max_bytes && !steps.is_empty()) {
                break;
            }
            size += length;
            steps.push(step.clone());
        }
        (!steps.is_empty() || number == self.number()).then_some(steps)
    }

    /// Applies steps fetched from a voter to the newest version.
    ///
    /// Returns false, without an effect, if one can't be applied or they don't lead to a version with this hash.
    pub fn apply_steps(&mut self, steps: Vec<Step>, hash: u64) -> bool {
        let mut versions = Vec::with_capacity(steps.len());
        let mut last = self.newest();
        for step in &steps {
            let Ok(next) = last.apply(&without_base(step)) else { return false };
            last = next.clone();
            versions.push(next);
        }
        if last.hash() != hash {
            return false;
        }
        for (version, step) in versions.into_iter().zip(steps) {
            self.insert(version, Some(step));
        }
        true
    }

    /// Replaces the complete log by one version.
    pub fn reset_to(&mut self, version: Version) {
        *self = VersionLog::default();
        self.insert(version, None);
    }

    /// Records that a voter grants leases for this version.
    pub fn observe_active(&mut self, number: u64) {
        self.active = self.active.max(number);
    }

    /// Encodes the log, from the active version on, or from the first later version after which no step is missing.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut first = self.number();
        while first > self.active
            && self.versions.contains_key(&(first - 1))
            && self.steps.contains_key(&first)
        {
            first -= 1;
        }
        let base = self.version(first).unwrap_or_default();
        let snapshot = Snapshot {
            hash: base.hash(),
            base: base.contents(),
            steps: self.steps.range(first + 1..).map(|(_, step)| step.clone()).collect(),
            active: self.active,
            resolved: self.resolved.iter().cloned().collect(),
        };
        postcard::to_stdvec(&snapshot).unwrap_or_default()
    }

    /// Decodes what [`VersionLog::snapshot`] returned.
    ///
    /// # Errors
    /// Returns a [`SnapshotError`] if the bytes are not a snapshot, or its version or steps don't match its hash.
    pub fn from_snapshot(bytes: &[u8]) -> Result<VersionLog, SnapshotError> {
        let snapshot: Snapshot = postcard::from_bytes(bytes)
            .map_err(|source| SnapshotError::Decode { bytes: bytes.len(), source })?;
        let (number, expected) = (snapshot.base.number, snapshot.hash);
        let base = Version::from_contents(snapshot.base, expected)
            .ok_or(SnapshotError::HashMismatch { number, expected })?;
        let mut log = VersionLog {
            active: snapshot.active,
            resolved: snapshot.resolved.into(),
            ..VersionLog::default()
        };
        if !base.is_empty() {
            log.insert(base, None);
        }
        for step in snapshot.steps {
            let newest = log.newest();
            let next = newest
                .apply(&without_base(&step))
                .map_err(|source| SnapshotError::Step { number: newest.number, source })?;
            log.insert(next, Some(step));
        }
        Ok(log)
    }
}

/// Returns the step without its base.
///
/// A committed step applies at its position in the log, whatever base it was proposed with.
fn without_base(step: &Step) -> Step {
    Step { base: None, ..step.clone() }
}

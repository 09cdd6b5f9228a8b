//! Steps that are appended to change the state on disk into another one.

use super::format::{ChecksumWriter, StepHeader};
use super::state::{PersistedState, PersistedVersion, StepKind};
use crate::version::VersionHash;
use asterrill_entries::{write_step, Change, Step};
use std::fmt::{self, Write};
use std::sync::Arc;

/// Maximum number of changes that are encoded at once.
const CHANGES_PER_WRITE: usize = 256;

/// Body of a step: the difference between the last good version and another one.
#[derive(Default)]
struct StepBody {
    /// Operator's file; `None` if it has not changed.
    operator_file: Option<Arc<str>>,
    changes: Vec<Change>,
}

impl StepBody {
    fn between(from: &PersistedVersion, to: &PersistedVersion) -> StepBody {
        let differs = from.operator_file != to.operator_file;
        StepBody {
            operator_file: differs.then(|| to.operator_file.clone()),
            changes: from.content.changes_to(&to.content),
        }
    }

    fn write(&self, to: &mut dyn Write) -> fmt::Result {
        if let Some(file) = &self.operator_file {
            to.write_str(file)?;
        }
        self.changes.chunks(CHANGES_PER_WRITE).try_for_each(|changes| {
            let step = Step { base: None, hash: None, changes: changes.to_vec() };
            to.write_str(&write_step(&step))
        })
    }
}

/// Step that is ready to be appended.
struct StepRecord {
    header: String,
    body: StepBody,
    /// Length of the header and the body.
    bytes: u64,
}

/// Version that a step concerns, and what happened to it.
struct StepSubject {
    kind: StepKind,
    number: u64,
    hash: VersionHash,
    /// Content of the version, for steps that hold one.
    version: Option<PersistedVersion>,
}

/// Steps that change the state on disk into another one.
pub struct PendingSteps(Vec<StepRecord>);

impl PendingSteps {
    /// Returns the steps from one state to another, or `None` if steps cannot lead there and a snapshot must be written
    /// instead. The cost depends on the difference between the states.
    pub fn between(from: &PersistedState, to: &PersistedState) -> Option<PendingSteps> {
        let mut update = PendingSteps(Vec::new());
        let mut state = from.clone();
        let with_version = |kind: StepKind, version: &PersistedVersion| StepSubject {
            kind,
            number: version.number,
            hash: version.hash(),
            version: Some(version.clone()),
        };
        if let Some(version) = state.probation.clone().filter(|version| *version == to.good) {
            let (number, hash) = (version.number, version.hash());
            let subject = StepSubject { kind: StepKind::Confirmed, number, hash, version: None };
            update.add(&mut state, subject)?;
        }
        for version in to.rolled_back.iter().filter(|version| !from.rolled_back.contains(version)) {
            let (number, hash) = (version.number, version.hash.clone());
            let subject = StepSubject { kind: StepKind::RolledBack, number, hash, version: None };
            update.add(&mut state, subject)?;
        }
        if state.good != to.good {
            update.add(&mut state, with_version(StepKind::Good, &to.good))?;
        }
        if let Some(version) =
            to.probation.as_ref().filter(|version| state.probation.as_ref() != Some(*version))
        {
            update.add(&mut state, with_version(StepKind::Probation, version))?;
        }
        (state == *to).then_some(update)
    }

    /// Adds a step, and applies it to `state`. Returns `None` if the step cannot follow.
    fn add(&mut self, state: &mut PersistedState, subject: StepSubject) -> Option<()> {
        let StepSubject { kind, number, hash, version } = subject;
        let body = match &version {
            Some(version) => StepBody::between(&state.good, version),
            None => StepBody::default(),
        };
        let base = state.good.number;
        state.apply_step(kind, number, &hash, version).ok()?;
        let mut counter = ChecksumWriter::counting();
        body.write(&mut counter).ok()?;
        let operator_file_bytes = body.operator_file.as_ref().map(|file| file.len() as u64);
        let (body_bytes, body_checksum) = (counter.bytes(), counter.checksum());
        let header =
            StepHeader { kind, number, base, hash, operator_file_bytes, body_bytes, body_checksum }.to_line();
        let bytes = body_bytes + header.len() as u64;
        self.0.push(StepRecord { header, body, bytes });
        Some(())
    }

    /// Returns the number of steps.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Reports whether there is nothing to append.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the total length of the steps, in bytes.
    pub fn bytes(&self) -> u64 {
        self.0.iter().map(|step| step.bytes).sum()
    }

    /// Writes the steps in order.
    ///
    /// # Errors
    /// Returns the errors of `to`.
    pub fn write(&self, to: &mut dyn Write) -> fmt::Result {
        self.0.iter().try_for_each(|step| {
            to.write_str(&step.header)?;
            step.body.write(to)
        })
    }
}

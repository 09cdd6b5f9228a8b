//! Reads a file of versions back after any crash.

use super::error::{RecordError, VersionFileError};
use super::format::{LineReader, StepHeader, MAX_LINE_BYTES};
use super::snapshot_reader::Snapshot;
use super::state::{PersistedState, StepKind};
use super::step_reader::{read_step_body, ReadStep};
use crate::version::{remember_rolled_back, RolledBack};
use std::fmt;
use std::io::BufRead;

/// A record that can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct DamagedRecord {
    /// Which one: the snapshot is 0, the first step 1.
    pub record: u64,
    /// Where it begins, in bytes.
    pub offset: u64,
    /// What is wrong with it.
    pub error: RecordError,
}

impl fmt::Display for DamagedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record {} at byte {}: {}", self.record, self.offset, self.error)
    }
}

/// What a file holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The state up to the last record that was taken up.
    pub state: PersistedState,
    /// Bytes up to the end of the last record that was taken up.
    pub valid_bytes: u64,
    /// Bytes of a torn tail that are left out.
    pub torn_bytes: u64,
    /// The first record that can't be used though complete ones follow. Nothing after it is taken up.
    pub damaged: Option<DamagedRecord>,
}

/// Reads a file of versions, a line at a time: what is held at once is a version and 64 KiB of text.
///
/// # Errors
/// [`VersionFileError`]: another program's, another format's, or one without a complete snapshot at its begin.
pub fn recover(from: impl BufRead) -> Result<Recovered, VersionFileError> {
    let mut lines = LineReader::new(from);
    let Snapshot { version, rolled_back } = Snapshot::read(&mut lines)?;
    let mut recovery = Recovery {
        state: PersistedState { good: version, probation: None, rolled_back },
        valid_bytes: lines.position(),
        record: 0,
        suspect: None,
        damaged: None,
        unfinished_probation: None,
    };
    let mut line = Vec::new();
    loop {
        let at = lines.position();
        lines.next_line(MAX_LINE_BYTES, &mut line)?;
        if line.is_empty() {
            break;
        }
        let found = StepHeader::find(&line);
        let begin = found.as_ref().map_or(line.len(), |(begin, _)| *begin);
        if begin > 0 {
            recovery.skip_unreadable(at);
        }
        let Some((_, head)) = found else { continue };
        recovery.record += 1;
        let step = read_step_body(&mut lines, &head, &recovery.state.good)?;
        recovery.take_step(&head, step, at + begin as u64, lines.position());
    }
    Ok(recovery.finish(lines.position()))
}

/// How far the reading of a file is.
struct Recovery {
    state: PersistedState,
    valid_bytes: u64,
    /// The number of the record that was read last.
    record: u64,
    /// What can't be used, until an intact record follows it: then it is no torn tail.
    suspect: Option<DamagedRecord>,
    damaged: Option<DamagedRecord>,
    /// After a damaged record: what was on probation last, and has not ended.
    unfinished_probation: Option<RolledBack>,
}

impl Recovery {
    /// A line, or the begin of one, that belongs to no readable head.
    fn skip_unreadable(&mut self, at: u64) {
        if self.suspect.is_none() {
            self.record += 1;
            let error = RecordError::StepHeader;
            self.suspect = Some(DamagedRecord { record: self.record, offset: at, error });
        }
    }

    /// A step with a readable head. `at`, `end`: where it begins and ends.
    fn take_step(&mut self, head: &StepHeader, step: ReadStep, at: u64, end: u64) {
        // Complete as it was written, whether it can follow or not.
        if step.intact {
            self.damaged = self.damaged.take().or(self.suspect.take());
        }
        if self.damaged.is_some() || self.suspect.is_some() {
            if step.intact {
                self.note_after_damage(head);
            }
            return;
        }
        let applied = step
            .version
            .and_then(|version| self.state.apply_step(head.kind, head.number, &head.hash, version));
        match applied {
            Ok(()) => self.valid_bytes = end,
            Err(error) => {
                let damage = DamagedRecord { record: self.record, offset: at, error };
                if step.intact {
                    self.damaged = Some(damage);
                    self.note_after_damage(head);
                } else {
                    self.suspect = Some(damage);
                }
            }
        }
    }

    /// Takes what a step after a damaged one says of hashes: the version that it was made from is missing.
    fn note_after_damage(&mut self, head: &StepHeader) {
        let version = RolledBack { hash: head.hash.clone(), number: head.number };
        match head.kind {
            StepKind::Probation => self.unfinished_probation = Some(version),
            StepKind::Good | StepKind::Confirmed => self.unfinished_probation = None,
            StepKind::RolledBack => {
                self.unfinished_probation.take_if(|unfinished| unfinished.hash == version.hash);
                remember_rolled_back(&mut self.state.rolled_back, version);
            }
        }
    }

    fn finish(mut self, file_bytes: u64) -> Recovered {
        if let Some(version) = self.unfinished_probation {
            remember_rolled_back(&mut self.state.rolled_back, version);
        }
        let torn_bytes = if self.damaged.is_none() { file_bytes - self.valid_bytes } else { 0 };
        Recovered { state: self.state, valid_bytes: self.valid_bytes, torn_bytes, damaged: self.damaged }
    }
}

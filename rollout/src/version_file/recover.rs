//! Recovery of the state from a version file after any crash.

use super::error::{RecordError, VersionFileError};
use super::format::{LineReader, StepHeader, MAX_LINE_BYTES};
use super::snapshot_reader::Snapshot;
use super::state::{PersistedState, StepKind};
use super::step_reader::{read_step_body, ReadStep};
use crate::version::{remember_rolled_back, RolledBack};
use std::fmt;
use std::io::BufRead;

/// Record that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct DamagedRecord {
    /// Index of the record: the snapshot is 0, the first step 1.
    pub record: u64,
    /// Offset of the record in the file, in bytes.
    pub offset: u64,
    /// Reason why the record cannot be used.
    pub error: RecordError,
}

impl fmt::Display for DamagedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record {} at byte {}: {}", self.record, self.offset, self.error)
    }
}

/// State recovered from a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// State after the last record that was applied.
    pub state: PersistedState,
    /// Offset of the end of the last record that was applied, in bytes.
    pub valid_bytes: u64,
    /// Length of the torn tail that was ignored, in bytes.
    pub torn_bytes: u64,
    /// First record that cannot be used although complete records follow it. No record after it is applied.
    pub damaged: Option<DamagedRecord>,
}

/// Recovers the state from a version file. The file is read line by line. Besides the version, memory holds 64 KiB
/// of entries and the lines that are being read.
///
/// # Errors
/// Returns a [`VersionFileError`] if the file belongs to another program, has another format, does not start with a
/// complete snapshot, or cannot be read.
pub fn recover(source: impl BufRead) -> Result<Recovered, VersionFileError> {
    let mut lines = LineReader::new(source);
    let Snapshot { version, rolled_back } = Snapshot::read(&mut lines)?;
    let mut recovery = Recovery {
        state: PersistedState { good: version, probation: None, rolled_back },
        valid_bytes: lines.position(),
        record: 0,
        possibly_torn: None,
        damaged: None,
        unfinished_probation: None,
    };
    let mut line = Vec::new();
    loop {
        let offset = lines.position();
        lines.next_line(MAX_LINE_BYTES, &mut line)?;
        if line.is_empty() {
            break;
        }
        let found = StepHeader::find(&line);
        let start = found.as_ref().map_or(line.len(), |(start, _)| *start);
        if start > 0 {
            recovery.skip_unreadable(offset);
        }
        let Some((_, header)) = found else { continue };
        recovery.record += 1;
        let step = read_step_body(&mut lines, &header, &recovery.state.good)?;
        recovery.process_step(&header, step, offset + start as u64, lines.position());
    }
    Ok(recovery.finish(lines.position()))
}

/// Progress of the recovery.
struct Recovery {
    state: PersistedState,
    valid_bytes: u64,
    /// Index of the record that was read last.
    record: u64,
    /// Record that cannot be used and may be a torn tail. It counts as damaged once an intact record follows it.
    possibly_torn: Option<DamagedRecord>,
    damaged: Option<DamagedRecord>,
    /// Version that a record after the damage puts on probation, and whose probation has not ended.
    unfinished_probation: Option<RolledBack>,
}

impl Recovery {
    /// Handles a line, or the start of one, that is not part of a record with a readable header.
    fn skip_unreadable(&mut self, offset: u64) {
        if self.possibly_torn.is_none() {
            self.record += 1;
            let error = RecordError::StepHeader;
            self.possibly_torn = Some(DamagedRecord { record: self.record, offset, error });
        }
    }

    /// Handles a step with a readable header, which lies between the offsets `start` and `end`.
    fn process_step(&mut self, header: &StepHeader, step: ReadStep, start: u64, end: u64) {
        // An intact step shows that an unusable record before it is damaged rather than a torn tail.
        if step.intact {
            self.damaged = self.damaged.take().or(self.possibly_torn.take());
        }
        if self.damaged.is_some() || self.possibly_torn.is_some() {
            if step.intact {
                self.remember_after_damage(header);
            }
            return;
        }
        let applied = step
            .version
            .and_then(|version| self.state.apply_step(header.kind, header.number, &header.hash, version));
        match applied {
            Ok(()) => self.valid_bytes = end,
            Err(error) => {
                let damage = DamagedRecord { record: self.record, offset: start, error };
                if step.intact {
                    self.damaged = Some(damage);
                    self.remember_after_damage(header);
                } else {
                    self.possibly_torn = Some(damage);
                }
            }
        }
    }

    /// Remembers the hash in a step after a damaged record. The step cannot be applied, because its base is missing.
    fn remember_after_damage(&mut self, header: &StepHeader) {
        let version = RolledBack { hash: header.hash.clone(), number: header.number };
        match header.kind {
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

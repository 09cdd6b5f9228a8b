//! Snapshots in the file, and compaction: when a snapshot takes the place of the steps.

use super::format::{append_header_checksum, end_line, ChecksumWriter, FIRST_LINE};
use super::state::PersistedState;
use super::update::PendingSteps;
use asterrill_entries::{write_configuration, EntryKind};
use std::fmt::{self, Write};

/// Bytes of steps, under which a snapshot is not written anew because of them.
pub const MIN_COMPACTION_BYTES: u64 = 1 << 16;

/// What is on disk, and how long it is.
#[derive(Clone, Debug)]
pub struct WrittenFile {
    state: PersistedState,
    snapshot_bytes: u64,
    steps_bytes: u64,
}

impl WrittenFile {
    /// The steps that are to be appended so that another state is on disk. `None` where a snapshot is to be written
    /// instead: steps can't lead there, or all steps together would be longer than the snapshot and than
    /// [`MIN_COMPACTION_BYTES`]. So the file is at most twice as long as a snapshot and what is on probation, and each
    /// byte of a snapshot is written for at least one of a step.
    pub fn update_to(&self, to: &PersistedState) -> Option<PendingSteps> {
        let update = PendingSteps::between(&self.state, to)?;
        let steps_bytes = self.steps_bytes + update.bytes();
        (steps_bytes <= self.snapshot_bytes.max(MIN_COMPACTION_BYTES)).then_some(update)
    }

    /// What is on disk once the update was appended.
    pub fn after_update(self, to: PersistedState, update: &PendingSteps) -> WrittenFile {
        WrittenFile {
            state: to,
            snapshot_bytes: self.snapshot_bytes,
            steps_bytes: self.steps_bytes + update.bytes(),
        }
    }
}

/// Writes a complete file: the last good version in entries, then as a step the one on probation. Returns what is
/// on disk once that is synced and in its place.
///
/// # Errors
/// Only those of `to`.
pub fn write_snapshot(state: &PersistedState, to: &mut dyn Write) -> Result<WrittenFile, fmt::Error> {
    let PersistedState { good, rolled_back, .. } = state;
    let (number, hash) = (good.number, good.hash());
    let file_bytes = good.operator_file.len();
    let head = append_header_checksum(format!("whole {number} {hash} {} {file_bytes}", rolled_back.len()));

    let mut summed = ChecksumWriter::new(to);
    summed.write_str(FIRST_LINE)?;
    summed.write_str(&head)?;
    for version in rolled_back {
        writeln!(summed, "undone {} {}", version.hash, version.number)?;
    }
    summed.write_str(&good.operator_file)?;
    write_configuration(&good.content, &mut summed)?;
    let globals_entries = 1;
    let entries =
        globals_entries + good.content.count(EntryKind::Method) + good.content.count(EntryKind::Tenant);
    let end = end_line(entries as u64, summed.sum());
    let snapshot_bytes = summed.bytes() + end.len() as u64;
    to.write_str(&end)?;

    let without_probation = PersistedState { probation: None, ..state.clone() };
    let update = PendingSteps::between(&without_probation, state).ok_or(fmt::Error)?;
    update.write(to)?;
    Ok(WrittenFile { state: state.clone(), snapshot_bytes, steps_bytes: update.bytes() })
}

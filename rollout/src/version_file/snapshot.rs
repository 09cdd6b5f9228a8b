//! Writing of snapshots, and compaction: when a snapshot replaces the steps.

use super::format::{append_header_checksum, end_line, ChecksumWriter, FIRST_LINE};
use super::state::PersistedState;
use super::update::PendingSteps;
use asterrill_entries::{write_configuration, EntryKind};
use std::fmt::{self, Write};

/// Minimum total length of the steps before compaction, in bytes.
pub const MIN_COMPACTION_BYTES: u64 = 1 << 16;

/// State on disk, with the lengths of the snapshot and of the steps.
#[derive(Clone, Debug)]
pub struct WrittenFile {
    state: PersistedState,
    snapshot_bytes: u64,
    steps_bytes: u64,
}

impl WrittenFile {
    /// Returns the steps to append so that another state is on disk. Returns `None` if a snapshot must be written
    /// instead, because steps cannot lead to that state, or because all steps together would exceed both the length
    /// of the snapshot and [`MIN_COMPACTION_BYTES`]. The steps are therefore at most as long as the snapshot, or
    /// [`MIN_COMPACTION_BYTES`] if that is more, and at least one byte of steps is written for each byte of a rewritten
    /// snapshot. A version on probation that is rewritten with the snapshot may exceed that length.
    pub fn update_to(&self, to: &PersistedState) -> Option<PendingSteps> {
        let update = PendingSteps::between(&self.state, to)?;
        let steps_bytes = self.steps_bytes + update.bytes();
        (steps_bytes <= self.snapshot_bytes.max(MIN_COMPACTION_BYTES)).then_some(update)
    }

    /// Returns the state on disk after the update was appended.
    pub fn after_update(self, to: PersistedState, update: &PendingSteps) -> WrittenFile {
        WrittenFile {
            state: to,
            snapshot_bytes: self.snapshot_bytes,
            steps_bytes: self.steps_bytes + update.bytes(),
        }
    }
}

/// Writes a complete file: the last good version in entries, then the version on probation as a step. Returns the state
/// on disk, which is valid once the file is synced and renamed into place.
///
/// # Errors
/// Returns the errors of `to`.
pub fn write_snapshot(state: &PersistedState, to: &mut dyn Write) -> Result<WrittenFile, fmt::Error> {
    let PersistedState { good, rolled_back, .. } = state;
    let (number, hash) = (good.number, good.hash());
    let file_bytes = good.operator_file.len();
    let header = append_header_checksum(format!("whole {number} {hash} {} {file_bytes}", rolled_back.len()));

    let mut writer = ChecksumWriter::new(to);
    writer.write_str(FIRST_LINE)?;
    writer.write_str(&header)?;
    for version in rolled_back {
        writeln!(writer, "undone {} {}", version.hash, version.number)?;
    }
    writer.write_str(&good.operator_file)?;
    write_configuration(&good.content, &mut writer)?;
    let globals_entries = 1;
    let entries =
        globals_entries + good.content.count(EntryKind::Method) + good.content.count(EntryKind::Tenant);
    let end = end_line(entries as u64, writer.checksum());
    let snapshot_bytes = writer.bytes() + end.len() as u64;
    to.write_str(&end)?;

    let without_probation = PersistedState { probation: None, ..state.clone() };
    let update = PendingSteps::between(&without_probation, state).ok_or(fmt::Error)?;
    update.write(to)?;
    Ok(WrittenFile { state: state.clone(), snapshot_bytes, steps_bytes: update.bytes() })
}

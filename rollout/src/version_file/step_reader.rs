//! Reads the body of a step back.

use super::entry_reader::EntryReader;
use super::error::RecordError;
use super::format::{LineReader, StepHeader, MAX_OPERATOR_FILE_BYTES};
use super::state::{PersistedVersion, StepKind};
use std::io::{self, BufRead};
use xxhash_rust::xxh3::Xxh3;

/// A step as it was read back.
pub(super) struct ReadStep {
    /// All of it is there, as it was written.
    pub(super) intact: bool,
    /// The version that it leads to, if its kind has one; or why it leads nowhere.
    pub(super) version: Result<Option<PersistedVersion>, RecordError>,
}

impl ReadStep {
    fn broken(damage: RecordError) -> ReadStep {
        ReadStep { intact: false, version: Err(damage) }
    }
}

/// Reads the body that belongs to a head. `good`: the last good version, from which it leads on.
pub(super) fn read_step_body(
    lines: &mut LineReader<impl BufRead>, head: &StepHeader, good: &PersistedVersion,
) -> io::Result<ReadStep> {
    let mut sum = Xxh3::new();
    let mut remaining = head.body_bytes;
    let operator_file = match head.operator_file_bytes {
        Some(bytes) => {
            let file = lines.next_bytes(bytes.min(remaining).min(MAX_OPERATOR_FILE_BYTES))?;
            sum.update(&file);
            remaining -= file.len() as u64;
            Some(file)
        }
        None => None,
    };
    let mut reader = EntryReader::step(good.content.clone());
    let mut line = Vec::new();
    while remaining > 0 {
        lines.next_line(remaining, &mut line)?;
        if line.is_empty() {
            return Ok(ReadStep::broken(RecordError::StepCutShort));
        }
        sum.update(&line);
        remaining -= line.len() as u64;
        reader.push_line(&line);
    }
    if sum.digest() != head.body_checksum {
        return Ok(ReadStep::broken(RecordError::StepChecksum));
    }
    let version = match head.kind {
        StepKind::Confirmed | StepKind::RolledBack => Ok(None),
        StepKind::Good | StepKind::Probation => make_version(head, good, operator_file, reader).map(Some),
    };
    Ok(ReadStep { intact: true, version })
}

/// The version that an intact body leads to.
fn make_version(
    head: &StepHeader, good: &PersistedVersion, operator_file: Option<Vec<u8>>, reader: EntryReader,
) -> Result<PersistedVersion, RecordError> {
    if head.base != good.number {
        return Err(RecordError::MissingBase(head.base));
    }
    let operator_file = match operator_file {
        Some(bytes) => std::str::from_utf8(&bytes)?.into(),
        None => good.operator_file.clone(),
    };
    let version = PersistedVersion { number: head.number, content: reader.finish()?, operator_file };
    let found = version.hash();
    if found != head.hash {
        return Err(RecordError::StepHash { found, expected: head.hash.clone() });
    }
    Ok(version)
}

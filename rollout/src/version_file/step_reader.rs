//! Parsing of the body of a step.

use super::entry_reader::EntryReader;
use super::error::RecordError;
use super::format::{LineReader, StepHeader, MAX_OPERATOR_FILE_BYTES};
use super::state::{PersistedVersion, StepKind};
use std::io::{self, BufRead};
use xxhash_rust::xxh3::Xxh3;

/// Step that was read from the file.
pub(super) struct ReadStep {
    /// `true` if the step is complete and its checksum matches.
    pub(super) intact: bool,
    /// Version that the step yields, `None` if steps of this kind hold none, or the reason why it cannot be used.
    pub(super) version: Result<Option<PersistedVersion>, RecordError>,
}

impl ReadStep {
    fn damaged(error: RecordError) -> ReadStep {
        ReadStep { intact: false, version: Err(error) }
    }
}

/// Reads the body that belongs to a header. `good` is the last good version, to which the changes apply.
pub(super) fn read_step_body(
    lines: &mut LineReader<impl BufRead>, header: &StepHeader, good: &PersistedVersion,
) -> io::Result<ReadStep> {
    let mut hasher = Xxh3::new();
    let mut remaining = header.body_bytes;
    let operator_file = match header.operator_file_bytes {
        Some(bytes) => {
            let file = lines.next_bytes(bytes.min(remaining).min(MAX_OPERATOR_FILE_BYTES))?;
            hasher.update(&file);
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
            return Ok(ReadStep::damaged(RecordError::StepCutShort));
        }
        hasher.update(&line);
        remaining -= line.len() as u64;
        reader.push_line(&line);
    }
    if hasher.digest() != header.body_checksum {
        return Ok(ReadStep::damaged(RecordError::StepChecksum));
    }
    let version = match header.kind {
        StepKind::Confirmed | StepKind::RolledBack => Ok(None),
        StepKind::Good | StepKind::Probation => build_version(header, good, operator_file, reader).map(Some),
    };
    Ok(ReadStep { intact: true, version })
}

/// Builds the version that an intact body yields.
fn build_version(
    header: &StepHeader, good: &PersistedVersion, operator_file: Option<Vec<u8>>, reader: EntryReader,
) -> Result<PersistedVersion, RecordError> {
    if header.base != good.number {
        return Err(RecordError::MissingBase(header.base));
    }
    let operator_file = match operator_file {
        Some(bytes) => std::str::from_utf8(&bytes)?.into(),
        None => good.operator_file.clone(),
    };
    let version = PersistedVersion { number: header.number, content: reader.finish()?, operator_file };
    let found = version.hash();
    if found != header.hash {
        return Err(RecordError::StepHash { found, expected: header.hash.clone() });
    }
    Ok(version)
}

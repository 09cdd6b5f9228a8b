//! Parsing of the snapshot at the start of a file.

use super::entry_reader::EntryReader;
use super::error::{RecordError, VersionFileError};
use super::format::{
    end_line, verify_header, LineReader, FIRST_LINE, FIRST_LINE_PREFIX, MAX_LINE_BYTES,
    MAX_OPERATOR_FILE_BYTES,
};
use super::state::PersistedVersion;
use crate::version::{RolledBack, VersionHash, MAX_ROLLED_BACK};
use asterrill_entries::Configuration;
use std::io::BufRead;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of digits of a format number in the first line of an unsupported format.
const MAX_FORMAT_DIGITS: usize = 20;

/// Snapshot that was read from the file.
pub(super) struct Snapshot {
    pub(super) version: PersistedVersion,
    pub(super) rolled_back: Vec<RolledBack>,
}

/// Header of a snapshot, on the second line of the file.
struct SnapshotHeader {
    number: u64,
    hash: VersionHash,
    rolled_back: u64,
    operator_file_bytes: u64,
}

fn parse_number(word: &str) -> Result<u64, RecordError> {
    Ok(word.parse()?)
}

impl Snapshot {
    pub(super) fn read(lines: &mut LineReader<impl BufRead>) -> Result<Snapshot, VersionFileError> {
        SnapshotReader { lines, hasher: Xxh3::new(), line: Vec::new() }.read()
    }
}

struct SnapshotReader<'a, R> {
    lines: &'a mut LineReader<R>,
    /// Hashes all bytes that were read except the end line.
    hasher: Xxh3,
    line: Vec<u8>,
}

impl<R: BufRead> SnapshotReader<'_, R> {
    fn read(mut self) -> Result<Snapshot, VersionFileError> {
        self.read_first_line()?;
        let header = self.read_header()?;
        let rolled_back = self.read_rolled_back(header.rolled_back)?;
        let operator_file = self.read_operator_file(header.operator_file_bytes)?;
        let content = self.read_entries()?;
        let version =
            PersistedVersion { number: header.number, content, operator_file: operator_file.into() };
        if version.hash() != header.hash {
            return Err(RecordError::SnapshotHash.into());
        }
        Ok(Snapshot { version, rolled_back })
    }

    /// Reads a line, and adds it to the checksum.
    fn next_line(&mut self) -> Result<(), VersionFileError> {
        self.lines.next_line(MAX_LINE_BYTES, &mut self.line)?;
        self.hasher.update(&self.line);
        Ok(())
    }

    fn read_first_line(&mut self) -> Result<(), VersionFileError> {
        self.next_line()?;
        if self.line == FIRST_LINE.as_bytes() {
            return Ok(());
        }
        if FIRST_LINE.as_bytes().starts_with(&self.line) {
            return Err(RecordError::FirstLineCutShort.into());
        }
        let text = String::from_utf8_lossy(&self.line);
        let short = self.line.len() < FIRST_LINE_PREFIX.len() + MAX_FORMAT_DIGITS;
        if text.starts_with(FIRST_LINE_PREFIX) && short {
            return Err(VersionFileError::UnsupportedFormat(text.trim_end().into()));
        }
        Err(VersionFileError::NotVersionFile)
    }

    fn read_header(&mut self) -> Result<SnapshotHeader, VersionFileError> {
        self.next_line()?;
        let words = verify_header::<5>(&self.line);
        let Some(["whole", number, hash, rolled_back, file_bytes]) = words else {
            return Err(RecordError::SnapshotHeader.into());
        };
        Ok(SnapshotHeader {
            number: parse_number(number)?,
            rolled_back: parse_number(rolled_back)?,
            operator_file_bytes: parse_number(file_bytes)?,
            hash: VersionHash::from(hash),
        })
    }

    fn read_rolled_back(&mut self, count: u64) -> Result<Vec<RolledBack>, VersionFileError> {
        let mut rolled_back = Vec::new();
        for _ in 0..count.min(MAX_ROLLED_BACK as u64) {
            self.next_line()?;
            let text = std::str::from_utf8(&self.line).ok().and_then(|text| text.strip_suffix('\n'));
            let words = text.and_then(|text| text.strip_prefix("undone ")?.split_once(' '));
            let (hash, number) = words.ok_or(RecordError::RolledBackLine)?;
            rolled_back.push(RolledBack { hash: hash.into(), number: parse_number(number)? });
        }
        Ok(rolled_back)
    }

    fn read_operator_file(&mut self, bytes: u64) -> Result<String, VersionFileError> {
        let file = self.lines.next_bytes(bytes.min(MAX_OPERATOR_FILE_BYTES))?;
        self.hasher.update(&file);
        String::from_utf8(file).map_err(|e| RecordError::from(e.utf8_error()).into())
    }

    /// Reads the entries up to the end line, and verifies that line.
    fn read_entries(&mut self) -> Result<Configuration, VersionFileError> {
        let mut reader = EntryReader::snapshot();
        let mut entries = 0_u64;
        loop {
            self.lines.next_line(MAX_LINE_BYTES, &mut self.line)?;
            if self.line.is_empty() {
                return Err(RecordError::SnapshotCutShort.into());
            }
            if self.line.starts_with(b"end ") {
                break;
            }
            self.hasher.update(&self.line);
            reader.push_line(&self.line);
            entries += 1;
        }
        if self.line != end_line(entries, self.hasher.digest()).as_bytes() {
            return Err(RecordError::SnapshotChecksum.into());
        }
        Ok(reader.finish()?)
    }
}

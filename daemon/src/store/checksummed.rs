//! Texts with a checksum: learned values and known members.

use crate::durable_file;
use asterrill_membership::PersistedState;
use asterrill_recovery::{decode_checksummed, encode_checksummed, Snapshot, MAX_TEXT_BYTES};
use slog::{warn, Logger};
use std::io;
use std::path::Path;

/// Format version of checksummed texts.
pub(super) const FORMAT_VERSION: u32 = 1;

const LEARNED_FILE: &str = "learned";
/// Name of the file of members, and the kind in the header of its text.
const MEMBERS_FILE: &str = "members";

/// Reads the learned values of an earlier process. An unusable file is logged and ignored.
pub fn read_learned(dir: &Path, log: &Logger) -> Option<Snapshot> {
    let path = dir.join(LEARNED_FILE);
    let read = read_parsed(&path, |text| Snapshot::from_text(text).map_err(|e| e.to_string()));
    read.unwrap_or_else(|why| {
        warn!(log, "snapshot not used"; "path" => %path.display(), "why" => why);
        None
    })
}

pub(super) fn write_learned(dir: &Path, learned: &Snapshot) -> io::Result<()> {
    durable_file::replace(&dir.join(LEARNED_FILE), learned.to_text().as_bytes())
}

/// Reads the members known to an earlier process. An unusable file is logged and ignored.
pub fn read_members(dir: &Path, log: &Logger) -> Option<PersistedState> {
    let path = dir.join(MEMBERS_FILE);
    let read = read_parsed(&path, |text| {
        let body = decode_checksummed(MEMBERS_FILE, FORMAT_VERSION, text).map_err(|e| e.to_string())?;
        PersistedState::from_text(body).map_err(|e| e.to_string())
    });
    read.unwrap_or_else(|why| {
        warn!(log, "persisted members not used"; "path" => %path.display(), "why" => why);
        None
    })
}

pub(super) fn write_members(dir: &Path, text: &str) -> io::Result<()> {
    let text = encode_checksummed(MEMBERS_FILE, FORMAT_VERSION, text);
    durable_file::replace(&dir.join(MEMBERS_FILE), text.as_bytes())
}

/// Reads and parses a text; returns `None` if the file does not exist.
pub(super) fn read_parsed<T>(
    path: &Path, parse: impl FnOnce(&str) -> Result<T, String>,
) -> Result<Option<T>, String> {
    // One byte more than the limit is read, so that a text that is too long is detected.
    let text = durable_file::read_text(path, MAX_TEXT_BYTES as u64 + 1).map_err(|e| e.to_string())?;
    text.map(|text| parse(&text)).transpose()
}

//! File of versions, to which changes are appended as steps.
//!
//! A snapshot replaces the file at the first write, after a failed write, and when the steps would become longer than
//! both the snapshot before them and the minimum size for a compaction.

use super::legacy_versions::{read_legacy_versions, remove_legacy_versions};
use crate::durable_file;
use asterrill_rollout::{recover, write_snapshot, PersistedState, WrittenFile};
use slog::{warn, Logger};
use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

pub(super) const VERSIONS_FILE: &str = "versions";

/// Reads the versions that an earlier process saved. An unusable file is logged and ignored.
pub fn read_versions(dir: &Path, log: &Logger) -> Option<PersistedState> {
    let path = dir.join(VERSIONS_FILE);
    let read = match File::open(&path) {
        Ok(file) => recover(BufReader::new(file)).map_err(|error| error.to_string()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return read_legacy_versions(dir, log),
        Err(e) => Err(e.to_string()),
    };
    let recovered = match read {
        Ok(recovered) => recovered,
        Err(why) => {
            warn!(log, "a state file is not used"; "path" => %path.display(), "why" => why);
            return None;
        }
    };
    if recovered.torn_bytes > 0 {
        warn!(log, "the last record of the state file is incomplete; it is ignored";
            "path" => %path.display(), "bytes" => recovered.torn_bytes);
    }
    if let Some(damage) = &recovered.damaged {
        warn!(log, "the state file is damaged; only the records before the damage are used";
            "path" => %path.display(), "why" => %damage, "version" => recovered.state.good.number);
    }
    Some(recovered.state)
}

/// Writer of the file of versions.
#[derive(Default)]
pub(super) struct VersionsFile {
    /// Content that this process has written; `None` before the first write and after a failed one, when the content
    /// of the file is unknown.
    written: Option<WrittenFile>,
}

impl VersionsFile {
    /// Brings the file to `state` by appending steps or, if that is not possible, by a snapshot.
    ///
    /// After a failure the next write is a snapshot that replaces the file, so that no step follows a missing one.
    pub(super) fn write(&mut self, dir: &Path, state: PersistedState) -> io::Result<()> {
        let path = dir.join(VERSIONS_FILE);
        let update = self.written.as_ref().and_then(|written| written.update_to(&state));
        if let Some((written, update)) = self.written.take().zip(update) {
            if !update.is_empty() {
                // The file is not created if it is missing, because steps are useless without the snapshot before
                // them.
                durable_file::append_text(&path, |to| update.write(to))?;
            }
            self.written = Some(written.after_update(state, &update));
            return Ok(());
        }
        self.written = Some(durable_file::replace_text(&path, |to| write_snapshot(&state, to))?);
        remove_legacy_versions(dir);
        Ok(())
    }
}

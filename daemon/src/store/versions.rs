//! The file of versions. What differs from what is there is appended as steps; a snapshot is written at the first write,
//! after a failure, and when the steps have outgrown it.

use super::legacy_versions::{read_legacy_versions, remove_legacy_versions};
use crate::durable_file;
use asterrill_rollout::{recover, write_snapshot, PersistedState, WrittenFile};
use slog::{warn, Logger};
use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

pub(super) const FILE_NAME: &str = "versions";

/// Reads which versions an earlier process has left. What can't be used is logged, and is as if it were not there.
pub fn read_versions(dir: &Path, log: &Logger) -> Option<PersistedState> {
    let path = dir.join(FILE_NAME);
    let read = match File::open(&path) {
        Ok(file) => recover(BufReader::new(file)).map_err(|fault| fault.to_string()),
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
        warn!(log, "the last record of the state file is incomplete: ignored";
            "path" => %path.display(), "bytes" => recovered.torn_bytes);
    }
    if let Some(damage) = &recovered.damaged {
        warn!(log, "the state file is damaged: only the records before the damage are used";
            "path" => %path.display(), "why" => %damage, "version" => recovered.state.good.number);
    }
    Some(recovered.state)
}

/// The file, as far as this process has written it.
#[derive(Default)]
pub(super) struct VersionsFile {
    /// `None` before the first write and after a failure, when it is unknown what is there.
    written: Option<WrittenFile>,
}

impl VersionsFile {
    /// Writes what leads from what is there to `state`. After a failure a snapshot takes the place of the file the next
    /// time: steps never follow a hole.
    pub(super) fn write(&mut self, dir: &Path, state: PersistedState) -> io::Result<()> {
        let path = dir.join(FILE_NAME);
        let update = self.written.as_ref().and_then(|written| written.update_to(&state));
        if let Some((written, update)) = self.written.take().zip(update) {
            if !update.is_empty() {
                // Not made where it is missing: steps are nothing without the snapshot before them.
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

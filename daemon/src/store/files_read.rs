//! Hash of the files that the process has read, by which the next start sees whether they have changed.

use super::checksummed::{read_parsed, FORMAT_VERSION};
use crate::durable_file;
use asterrill_recovery::{decode_checksummed, encode_checksummed};
use asterrill_rollout::VersionHash;
use slog::{warn, Logger};
use std::io;
use std::path::Path;

/// Name of the file, and the kind in the header of its text.
const FILES_READ: &str = "files-read";

/// Reads the hash of the files that an earlier process read. An unusable file is logged and ignored.
pub fn read_files_read(dir: &Path, log: &Logger) -> Option<VersionHash> {
    let path = dir.join(FILES_READ);
    let read = read_parsed(&path, |text| {
        let body = decode_checksummed(FILES_READ, FORMAT_VERSION, text).map_err(|e| e.to_string())?;
        Ok(VersionHash::from(body.trim_end()))
    });
    read.unwrap_or_else(|why| {
        warn!(log, "a state file is not used"; "path" => %path.display(), "why" => why);
        None
    })
}

/// Writer of the hash.
#[derive(Default)]
pub(super) struct FilesRead {
    /// Hash that this process has written; `None` before the first write and after a failed one.
    written: Option<VersionHash>,
}

impl FilesRead {
    /// Replaces the file unless it holds this hash.
    pub(super) fn write(&mut self, dir: &Path, hash: VersionHash) -> io::Result<()> {
        if self.written.as_ref() == Some(&hash) {
            return Ok(());
        }
        self.written = None;
        let text = encode_checksummed(FILES_READ, FORMAT_VERSION, &format!("{hash}\n"));
        durable_file::replace(&dir.join(FILES_READ), text.as_bytes())?;
        self.written = Some(hash);
        Ok(())
    }
}

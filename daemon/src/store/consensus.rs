//! Raft file of a voter, which must be on disk before the voter answers.

use crate::durable_file;
use asterrill_consensus::DiskWrite;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Callback that receives the number of a write once it is on disk.
pub type OnDurable = dyn Fn(u64) + Send + Sync;

const RAFT_FILE: &str = "agreed";

/// Reads the raft file; returns no bytes if it does not exist.
pub fn read_consensus(dir: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(dir.join(RAFT_FILE)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        read => read,
    }
}

/// Truncates the raft file to `length` bytes, which removes an incomplete record at its end.
pub fn truncate_consensus(dir: &Path, length: usize) -> io::Result<()> {
    let file = File::options().write(true).create(true).truncate(false).open(dir.join(RAFT_FILE))?;
    file.set_len(length as u64)?;
    file.sync_all()
}

/// Appends to the raft file or replaces it, as each write specifies.
///
/// All appends without a replacement between them share one sync.
pub(super) fn append_consensus(
    dir: &Path, writes: &[DiskWrite], on_durable: Option<&OnDurable>,
) -> io::Result<()> {
    let Some(last) = writes.last() else { return Ok(()) };
    let path = dir.join(RAFT_FILE);
    let mut unsynced = None;
    for write in writes {
        if write.replace {
            unsynced = None;
            durable_file::replace(&path, &write.bytes)?;
            continue;
        }
        let mut file = match unsynced.take() {
            Some(file) => file,
            None => File::options().append(true).create(true).open(&path)?,
        };
        file.write_all(&write.bytes)?;
        unsynced = Some(file);
    }
    if let Some(file) = unsynced {
        file.sync_all()?;
    }
    if let Some(on_durable) = on_durable {
        on_durable(last.number);
    }
    Ok(())
}

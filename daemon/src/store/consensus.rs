//! The file of a voter: what it has to have on disk before it answers.

use crate::durable_file;
use asterrill_consensus::DiskWrite;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// Called with the number of a write once that is on disk.
pub type OnDurable = dyn Fn(u64) + Send + Sync;

const FILE_NAME: &str = "agreed";

/// The bytes of the file; empty where there is none.
pub fn read_consensus(dir: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(dir.join(FILE_NAME)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        read => read,
    }
}

/// Cuts off what follows the first `length` bytes, those of the complete records.
pub fn truncate_consensus(dir: &Path, length: usize) -> io::Result<()> {
    let file = File::options().write(true).create(true).truncate(false).open(dir.join(FILE_NAME))?;
    file.set_len(length as u64)?;
    file.sync_all()
}

/// Appends to the file, or puts another in its place, as each write says; one sync for all that came together.
pub(super) fn append_consensus(
    dir: &Path, writes: &[DiskWrite], on_durable: Option<&OnDurable>,
) -> io::Result<()> {
    let Some(last) = writes.last() else { return Ok(()) };
    let path = dir.join(FILE_NAME);
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

//! What is written to a directory.

use std::collections::BTreeMap;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// A file as it was at the last sample.
#[derive(Clone, Copy)]
struct FileSize {
    inode: u64,
    length: u64,
}

/// Bytes that were written to a directory, by samples of it: a file that grew took its growth, one that was made anew its
/// whole length. What came and went between two samples is not seen.
pub struct DiskWriteMeter {
    dir: PathBuf,
    files: BTreeMap<PathBuf, FileSize>,
    /// Bytes so far.
    pub bytes: u64,
}

impl DiskWriteMeter {
    /// A meter that starts at 0 with the directory as it is.
    pub fn new(dir: &Path) -> DiskWriteMeter {
        let mut meter = DiskWriteMeter { dir: dir.into(), files: BTreeMap::new(), bytes: 0 };
        meter.sample();
        meter.bytes = 0;
        meter
    }

    /// Adds what was written since the last sample.
    pub fn sample(&mut self) {
        for file in std::fs::read_dir(&self.dir).into_iter().flatten().flatten() {
            let Ok(metadata) = file.metadata() else { continue };
            let now = FileSize { inode: metadata.ino(), length: metadata.len() };
            let before = self.files.insert(file.path(), now).filter(|before| before.inode == now.inode);
            self.bytes += now.length.saturating_sub(before.map_or(0, |before| before.length));
        }
    }
}

#[cfg(test)]
#[path = "tests/disk.rs"]
mod tests;

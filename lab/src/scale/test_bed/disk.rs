//! Measurement of the bytes written to a directory.

use std::collections::BTreeMap;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Identity and length of a file at the last sample.
#[derive(Clone, Copy)]
struct FileSize {
    inode: u64,
    length: u64,
}

/// A meter of the bytes written to a directory, based on samples.
///
/// A file that grew counts with its growth, a new or replaced one with its whole length. Files that are created and
/// removed between two samples are not counted.
pub struct DiskWriteMeter {
    dir: PathBuf,
    files: BTreeMap<PathBuf, FileSize>,
    /// Bytes written so far.
    pub bytes: u64,
}

impl DiskWriteMeter {
    /// Creates a meter that starts at 0 with the current contents of the directory.
    pub fn new(dir: &Path) -> DiskWriteMeter {
        let mut meter = DiskWriteMeter { dir: dir.into(), files: BTreeMap::new(), bytes: 0 };
        meter.sample();
        meter.bytes = 0;
        meter
    }

    /// Adds the bytes written since the last sample.
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

//! A reader that fails on a file that is too long.

use crate::error::SettingsError;
use std::io::{self, Read};

/// Fails as soon as more bytes come than are left.
pub(crate) struct BoundedRead<R> {
    reader: R,
    left: u64,
}

impl<R> BoundedRead<R> {
    /// A reader of at most `most` bytes.
    pub(crate) fn new(reader: R, most: u64) -> BoundedRead<R> {
        BoundedRead { reader, left: most }
    }
}

impl<R: Read> Read for BoundedRead<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buffer)?;
        let left = self.left.checked_sub(count as u64);
        self.left = left.ok_or_else(|| io::Error::other(SettingsError::FileTooLong))?;
        Ok(count)
    }
}

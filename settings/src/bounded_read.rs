//! A reader that fails on input above a maximum length.

use crate::error::SettingsError;
use std::io::{self, Read};

/// A reader that fails once its source returns more than the maximum number of bytes.
pub(crate) struct BoundedRead<R> {
    reader: R,
    remaining: u64,
}

impl<R> BoundedRead<R> {
    /// Creates a reader of at most `max_bytes`.
    pub(crate) fn new(reader: R, max_bytes: u64) -> BoundedRead<R> {
        BoundedRead { reader, remaining: max_bytes }
    }
}

impl<R: Read> Read for BoundedRead<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buffer)?;
        let remaining = self.remaining.checked_sub(count as u64);
        self.remaining = remaining.ok_or_else(|| io::Error::other(SettingsError::FileTooLong))?;
        Ok(count)
    }
}

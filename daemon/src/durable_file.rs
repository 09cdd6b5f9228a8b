//! Files that a crash can't halve: written beside their place, synced and renamed; or appended to and synced.

use std::fmt;
use std::fs::File;
use std::io::{self, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

/// Reads a text, `limit` bytes of it at most; `None` where there is no file.
pub fn read_text(path: &Path, limit: u64) -> io::Result<Option<String>> {
    let mut text = String::new();
    match File::open(path).and_then(|file| file.take(limit).read_to_string(&mut text)) {
        Ok(_) => Ok(Some(text)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Puts bytes in the place of a file, completely or not at all.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    replace_with(path, |mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    })
}

/// The same for a text that is too long to be held in memory.
pub fn replace_text<T>(
    path: &Path, write: impl FnOnce(&mut dyn fmt::Write) -> Result<T, fmt::Error>,
) -> io::Result<T> {
    replace_with(path, |file| write_text(file, write))
}

/// Appends a text to a file that is there, and syncs it.
pub fn append_text<T>(
    path: &Path, write: impl FnOnce(&mut dyn fmt::Write) -> Result<T, fmt::Error>,
) -> io::Result<T> {
    write_text(File::options().append(true).open(path)?, write)
}

/// `write` has to sync what it writes.
fn replace_with<T>(path: &Path, write: impl FnOnce(File) -> io::Result<T>) -> io::Result<T> {
    let temporary: PathBuf = path.with_extension("new");
    let done = write(File::create(&temporary)?)?;
    std::fs::rename(&temporary, path)?;
    let dir = path.parent().unwrap_or(Path::new("."));
    File::open(dir)?.sync_all()?;
    Ok(done)
}

/// Takes text to a file in pieces; the error that stopped it is retained.
struct TextWriter {
    to: BufWriter<File>,
    result: io::Result<()>,
}

impl fmt::Write for TextWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.result = self.to.write_all(text.as_bytes());
        self.result.as_ref().map_err(|_| fmt::Error).copied()
    }
}

/// Writes and syncs.
fn write_text<T>(
    file: File, write: impl FnOnce(&mut dyn fmt::Write) -> Result<T, fmt::Error>,
) -> io::Result<T> {
    let mut writer = TextWriter { to: BufWriter::new(file), result: Ok(()) };
    let done = write(&mut writer);
    writer.result?;
    let done = done.map_err(|_| io::Error::other("it could not be put in words"))?;
    writer.to.into_inner().map_err(|e| e.into_error())?.sync_all()?;
    Ok(done)
}

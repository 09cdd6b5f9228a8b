//! Crash-safe files: written to a temporary file, synced and renamed; or appended to and synced.

use std::fmt;
use std::fs::File;
use std::io::{self, BufWriter, Read, Write};
use std::path::{Path, PathBuf};

/// Reads at most `limit` bytes of a text file; returns `None` if the file does not exist.
pub fn read_text(path: &Path, limit: u64) -> io::Result<Option<String>> {
    let mut text = String::new();
    match File::open(path).and_then(|file| file.take(limit).read_to_string(&mut text)) {
        Ok(_) => Ok(Some(text)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Replaces the content of a file atomically.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    replace_with(path, |mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    })
}

/// Replaces the content of a file atomically with a text that is too long to be held in memory.
pub fn replace_text<T>(
    path: &Path, write: impl FnOnce(&mut dyn fmt::Write) -> Result<T, fmt::Error>,
) -> io::Result<T> {
    replace_with(path, |file| write_text(file, write))
}

/// Appends a text to an existing file, and syncs it.
pub fn append_text<T>(
    path: &Path, write: impl FnOnce(&mut dyn fmt::Write) -> Result<T, fmt::Error>,
) -> io::Result<T> {
    write_text(File::options().append(true).open(path)?, write)
}

/// Replaces a file atomically. `write` must sync the file that it is given.
fn replace_with<T>(path: &Path, write: impl FnOnce(File) -> io::Result<T>) -> io::Result<T> {
    let temporary: PathBuf = path.with_extension("new");
    let result = write(File::create(&temporary)?)?;
    std::fs::rename(&temporary, path)?;
    let dir = path.parent().unwrap_or(Path::new("."));
    File::open(dir)?.sync_all()?;
    Ok(result)
}

/// Adapter that writes formatted text to a file and retains the I/O error that stopped it.
struct TextWriter {
    file: BufWriter<File>,
    result: io::Result<()>,
}

impl fmt::Write for TextWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.result = self.file.write_all(text.as_bytes());
        self.result.as_ref().map_err(|_| fmt::Error).copied()
    }
}

/// Writes a text to a file, and syncs it.
fn write_text<T>(
    file: File, write: impl FnOnce(&mut dyn fmt::Write) -> Result<T, fmt::Error>,
) -> io::Result<T> {
    let mut writer = TextWriter { file: BufWriter::new(file), result: Ok(()) };
    let result = write(&mut writer);
    writer.result?;
    let result = result.map_err(|_| io::Error::other("formatting the text failed"))?;
    writer.file.into_inner().map_err(|e| e.into_error())?.sync_all()?;
    Ok(result)
}

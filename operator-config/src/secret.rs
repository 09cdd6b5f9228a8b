//! A file with a secret, which only its owner may read.

use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

const LONGEST: u64 = 1024;

/// Why a secret can't be used. None of these says anything of what the file holds.
#[derive(Debug, thiserror::Error)]
pub enum SecretError {
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    #[error("{0} is no regular file")]
    NoFile(String),
    #[error("{0} may be read by others (mode {1:o}): chmod 600 it")]
    Open(String, u32),
    #[error("{0} is longer than 1024 bytes")]
    Long(String),
    #[error("{0} is empty, or is not text")]
    Empty(String),
}

/// Reads the first line of a file that only its owner may read or write.
pub fn read_secret(path: &Path) -> Result<String, SecretError> {
    let name = path.display().to_string();
    let unreadable = |e| SecretError::Unreadable(path.display().to_string(), e);
    let mut file = std::fs::File::open(path).map_err(unreadable)?;
    // Of the open file, so that it can't be another one that is read.
    let about = file.metadata().map_err(unreadable)?;
    if !about.is_file() {
        return Err(SecretError::NoFile(name));
    }
    if about.mode() & 0o077 != 0 {
        return Err(SecretError::Open(name, about.mode() & 0o777));
    }
    if about.len() > LONGEST {
        return Err(SecretError::Long(name));
    }
    let mut text = String::new();
    file.by_ref()
        .take(LONGEST)
        .read_to_string(&mut text)
        .map_err(|_| SecretError::Empty(path.display().to_string()))?;
    let secret = text.lines().next().unwrap_or("").to_string();
    if secret.is_empty() {
        return Err(SecretError::Empty(name));
    }
    Ok(secret)
}

//! Secrets in files that only their owner may access.

use std::fs::File;
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Maximum length of a file with a secret.
const MAX_SECRET_BYTES: u64 = 1024;
/// Mask of the permission bits of a file's mode.
const PERMISSION_MASK: u32 = 0o777;
/// Mask of the permissions of the group and of others.
const GROUP_AND_OTHERS_MASK: u32 = 0o077;

/// An error of reading a secret. No variant reveals any of the file's contents.
#[derive(Debug, thiserror::Error)]
pub enum SecretError {
    /// The file can't be opened or inspected.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The path is a directory, a socket or another special file.
    #[error("{path} is not a regular file")]
    NotRegular {
        /// The file.
        path: String,
    },
    /// Users other than the owner have permissions on the file.
    #[error("{path} is accessible to other users (mode {mode:o}); run chmod 600 on it")]
    TooPermissive {
        /// The file.
        path: String,
        /// The permission bits of the file.
        mode: u32,
    },
    /// The file is longer than 1024 bytes.
    #[error("{path} is longer than {MAX_SECRET_BYTES} bytes")]
    TooLong {
        /// The file.
        path: String,
    },
    /// The first line is empty, or the file is not UTF-8.
    #[error("{path}: the first line is empty, or the file is not UTF-8 text")]
    InvalidText {
        /// The file.
        path: String,
    },
}

/// Reads the first line of a file on which only its owner has permissions.
///
/// # Errors
/// Returns a [`SecretError`] if the file can't be read or used.
pub fn read_secret(path: &Path) -> Result<String, SecretError> {
    let name = || path.display().to_string();
    let unreadable = |source| SecretError::Unreadable { path: name(), source };
    let file = File::open(path).map_err(unreadable)?;
    // The metadata is taken from the open file, so that no other file can replace it between the check and the read.
    let metadata = file.metadata().map_err(unreadable)?;
    if !metadata.is_file() {
        return Err(SecretError::NotRegular { path: name() });
    }
    if metadata.mode() & GROUP_AND_OTHERS_MASK != 0 {
        return Err(SecretError::TooPermissive { path: name(), mode: metadata.mode() & PERMISSION_MASK });
    }
    if metadata.len() > MAX_SECRET_BYTES {
        return Err(SecretError::TooLong { path: name() });
    }
    let mut text = String::new();
    let read = file.take(MAX_SECRET_BYTES).read_to_string(&mut text);
    match text.lines().next() {
        Some(secret) if read.is_ok() && !secret.is_empty() => Ok(secret.to_string()),
        _ => Err(SecretError::InvalidText { path: name() }),
    }
}

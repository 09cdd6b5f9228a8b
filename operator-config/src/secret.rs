//! A file with a secret, which only its owner may read.

use std::fs::File;
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Most bytes of a file with a secret.
const MAX_SECRET_BYTES: u64 = 1024;
/// The permission bits of a file's mode.
const PERMISSION_BITS: u32 = 0o777;
/// The permissions of everybody but the owner.
const OTHERS_PERMISSIONS: u32 = 0o077;

/// Why a secret can't be used. None of these reveals anything of what the file contains.
#[derive(Debug, thiserror::Error)]
pub enum SecretError {
    /// The file can't be opened.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// It is a directory, a socket or the like.
    #[error("{path} is no regular file")]
    NotRegular {
        /// The file.
        path: String,
    },
    /// Others than its owner have permissions on it.
    #[error("{path} may be read by others (mode {mode:o}): chmod 600 it")]
    TooPermissive {
        /// The file.
        path: String,
        /// Its permission bits.
        mode: u32,
    },
    /// It is longer than 1024 bytes.
    #[error("{path} is longer than {MAX_SECRET_BYTES} bytes")]
    TooLong {
        /// The file.
        path: String,
    },
    /// Its first line is empty, or it is not UTF-8.
    #[error("{path} is empty, or is not text")]
    InvalidText {
        /// The file.
        path: String,
    },
}

/// Reads the first line of a file on which only its owner has permissions.
///
/// # Errors
/// [`SecretError`] says why the file can't be used.
pub fn read_secret(path: &Path) -> Result<String, SecretError> {
    let name = || path.display().to_string();
    let unreadable = |source| SecretError::Unreadable { path: name(), source };
    let file = File::open(path).map_err(unreadable)?;
    // The metadata of the open file, so that no other file can take its place in between.
    let metadata = file.metadata().map_err(unreadable)?;
    if !metadata.is_file() {
        return Err(SecretError::NotRegular { path: name() });
    }
    if metadata.mode() & OTHERS_PERMISSIONS != 0 {
        return Err(SecretError::TooPermissive { path: name(), mode: metadata.mode() & PERMISSION_BITS });
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

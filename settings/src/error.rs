//! Errors of reading settings and deployment files.

use asterrill_entries::ConfigError;
use std::io;

/// Maximum length of a deployment file: 1.5 times the length of a file with full lists and names of a usual length.
pub const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// An error in settings or in a deployment file. The message names the invalid key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The field is missing, or its value has the wrong type or is not allowed.
    #[error("field {0} is missing or invalid")]
    InvalidField(String),
    /// The settings are well-formed, but the configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The text is not JSON, or is truncated.
    #[error("not JSON: {0}")]
    Json(serde_json::Error),
    /// The text is JSON with an invalid value, or its reader failed.
    #[error("{0}")]
    Data(serde_json::Error),
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("the file is longer than {MAX_FILE_BYTES} bytes (bound FILE)")]
    FileTooLong,
    /// An operation on a file or socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Any other error, as a message for the operator.
    #[error("{0}")]
    Other(String),
}

impl SettingsError {
    /// Creates a [`SettingsError::Other`] with this message.
    pub fn new(message: String) -> SettingsError {
        SettingsError::Other(message)
    }

    /// Creates a [`SettingsError::InvalidField`] for the field of this name.
    pub fn invalid_field(name: &str) -> SettingsError {
        SettingsError::InvalidField(name.into())
    }
}

impl From<serde_json::Error> for SettingsError {
    fn from(error: serde_json::Error) -> SettingsError {
        if error.is_syntax() || error.is_eof() {
            SettingsError::Json(error)
        } else {
            SettingsError::Data(error)
        }
    }
}

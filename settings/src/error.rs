//! Why settings cannot be used.

use asterrill_entries::ConfigError;
use std::io;

/// Most bytes of a deployment's file: all that the bounds of its lists allow, with names of a usual length, and half as
/// much again.
pub const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// Why settings or a deployment's file cannot be used. The message names the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The field is absent, or its value has the wrong type.
    #[error("field {0} is missing or of the wrong form")]
    InvalidField(String),
    /// The settings were read, but make no valid configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The text is no JSON, or ends too early.
    #[error("not JSON: {0}")]
    Json(serde_json::Error),
    /// The text is JSON, but holds something that is not allowed; or its reader failed.
    #[error("{0}")]
    Data(serde_json::Error),
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("the file has more than {MAX_FILE_BYTES} bytes, the bound FILE")]
    FileTooLong,
    /// A file or socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Anything else, as a message for the operator.
    #[error("{0}")]
    Other(String),
}

impl SettingsError {
    /// An error with a message of its own.
    pub fn new(message: String) -> SettingsError {
        SettingsError::Other(message)
    }

    /// See [`SettingsError::InvalidField`].
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

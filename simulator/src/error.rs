//! Why the adapter ends: a line that it can't use, or a broken pipe.

use asterrill_settings::SettingsError;
use std::io;

/// A batch that can't be used, or a failure of standard input or output. The message names what was seen.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is no JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or of the wrong form, or the settings of an instance can't be used.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// An item of this kind names an instance that was not started.
    #[error("{kind} for instance {instance}, which was not started")]
    NotStarted {
        /// The item's kind.
        kind: String,
        /// The instance's number.
        instance: u64,
    },
    /// A request names a method that the instance's settings don't have.
    #[error("Cls {0} is not among the settings")]
    UnknownMethod(String),
    /// An item has an unknown kind.
    #[error("kind {0} is not known")]
    UnknownKind(String),
    /// A run or a call ended with an unknown state.
    #[error("StateCode {code} of {kind} is not known")]
    UnknownState {
        /// The item's kind.
        kind: &'static str,
        /// The state as it came.
        code: String,
    },
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

//! Errors that end the adapter: an invalid batch, or a failure of standard input or output.

use asterrill_settings::SettingsError;
use std::io;

/// An invalid batch, or a failure of standard input or output. The message names what was found.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not valid JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or invalid, or the settings of an instance are invalid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// An item of this kind names an instance that was not started.
    #[error("{kind} item for instance {instance}, which was not started")]
    NotStarted {
        /// The item's kind.
        kind: String,
        /// The instance's number.
        instance: u64,
    },
    /// An RPC names a method that the instance's settings don't contain.
    #[error("unknown method {0:?} in field Cls")]
    UnknownMethod(String),
    /// An item has an unknown kind.
    #[error("unknown item kind {0:?}")]
    UnknownKind(String),
    /// A run or a call ended with an unknown state code.
    #[error("unknown StateCode {code:?} in a {kind} item")]
    UnknownState {
        /// The item's kind.
        kind: &'static str,
        /// The state code found in the item.
        code: String,
    },
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

//! Errors of the capacity page.

use crate::report::ScenarioError;
use std::path::PathBuf;

/// Error that prevents the generation of the page.
#[derive(thiserror::Error, Debug)]
pub enum CapacityError {
    /// File that could not be read or written.
    #[error("{path}: {error}")]
    File { path: PathBuf, error: std::io::Error },
    /// File that is not valid JSON, or has unexpected contents.
    #[error("{path}: {error}")]
    Json { path: PathBuf, error: serde_json::Error },
    /// File with an unsupported format version.
    #[error("{path}: format {found}, expected {expected}")]
    Format { path: PathBuf, found: u64, expected: u64 },
    /// Invalid row of a file.
    #[error("{path}: row {row}: {reason}")]
    Row { path: PathBuf, row: String, reason: String },
    /// Page whose table markers are invalid.
    #[error("{path}: {reason}")]
    Page { path: PathBuf, reason: String },
    /// Output of a scenario that could not be imported.
    #[error("{path}: {reason}")]
    Output { path: PathBuf, reason: String },
    /// Plot that could not be drawn.
    #[error("{path}: {reason}")]
    Plot { path: PathBuf, reason: String },
}

impl From<CapacityError> for ScenarioError {
    fn from(error: CapacityError) -> ScenarioError {
        ScenarioError::Failed(error.to_string())
    }
}

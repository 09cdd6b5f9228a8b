//! Why the page can't be worked out.

use crate::report::ScenarioError;
use std::path::PathBuf;

/// Why the page can't be worked out.
#[derive(thiserror::Error, Debug)]
pub enum CapacityError {
    /// A file can't be read or written.
    #[error("{path}: {error}")]
    File { path: PathBuf, error: std::io::Error },
    /// A file is not the JSON that it has to be.
    #[error("{path}: {error}")]
    Json { path: PathBuf, error: serde_json::Error },
    /// A file is in a format of another build.
    #[error("{path}: format {found}, not {expected}")]
    Format { path: PathBuf, found: u64, expected: u64 },
    /// A row of a file is wrong.
    #[error("{path}: row {row}: {reason}")]
    Row { path: PathBuf, row: String, reason: String },
    /// The page's markers are wrong.
    #[error("{path}: {reason}")]
    Page { path: PathBuf, reason: String },
    /// What a scenario printed can't be taken up.
    #[error("{path}: {reason}")]
    Output { path: PathBuf, reason: String },
    /// A plot can't be drawn.
    #[error("{path}: {reason}")]
    Plot { path: PathBuf, reason: String },
}

impl From<CapacityError> for ScenarioError {
    fn from(error: CapacityError) -> ScenarioError {
        ScenarioError::Failed(error.to_string())
    }
}

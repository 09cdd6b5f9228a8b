//! Errors in an operator's file.

/// An error in an operator's file, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {message}")]
pub struct ParseError {
    /// The file's name, as passed to [`crate::parse`].
    pub file: String,
    /// The line number from 1; 0 for the file as a whole.
    pub line: usize,
    /// The reason, as a message for the operator.
    pub message: String,
}

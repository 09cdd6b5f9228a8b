//! What is wrong with an operator's file.

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {message}")]
pub struct ParseError {
    /// The file's name, as it was given.
    pub file: String,
    /// The line's number from 1; 0 stands for the file as a whole.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

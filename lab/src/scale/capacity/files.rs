//! Reading and parsing of the input files of the capacity page.

use super::error::CapacityError;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads a file as text.
pub fn read(path: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(path).map_err(|error| CapacityError::File { path: path.into(), error })
}

/// Parses the text of the file `path`, whose format version has to be `expected`. `format` returns the format version
/// of the parsed value.
pub fn parse<T: DeserializeOwned>(
    path: &Path, text: &str, expected: u64, format: fn(&T) -> u64,
) -> Result<T, CapacityError> {
    let value: T =
        serde_json::from_str(text).map_err(|error| CapacityError::Json { path: path.into(), error })?;
    let found = format(&value);
    if found != expected {
        return Err(CapacityError::Format { path: path.into(), found, expected });
    }
    Ok(value)
}

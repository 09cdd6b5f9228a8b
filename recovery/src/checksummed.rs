//! Text format that detects files truncated by a crash or damaged by a disk: a line with the kind and the format, a
//! line with a checksum, and the body. The owner of the files writes the text to a temporary file in the same
//! directory, syncs and renames it.
//!
//! The format is used for snapshots in this crate, and for the state of members and of configuration versions
//! elsewhere.

use xxhash_rust::xxh3::xxh3_64;

/// Maximum size of a checksummed text.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// First word of each text.
const PROGRAM: &str = "asterrill";
/// Hexadecimal digits of a checksum.
const CHECKSUM_DIGITS: usize = 16;
/// Maximum number of digits in a format number. A longer one is not recognized as text of this program.
const MAX_FORMAT_DIGITS: usize = 20;

/// Error in a checksummed text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChecksumError {
    /// The text has an unknown header or is longer than [`MAX_TEXT_BYTES`]. Contains the expected kind.
    #[error("not a {0} file of this program: unknown header, or longer than {max} bytes", max = MAX_TEXT_BYTES)]
    UnknownKind(&'static str),
    /// The format number is not the expected one. Contains the first line.
    #[error("unsupported file format, written by another version of this program: {0:?}")]
    UnsupportedFormat(String),
    /// The text is truncated, or its checksum does not match.
    #[error("file is truncated or its checksum does not match")]
    Corrupt,
}

/// Adds a header with kind, format and checksum to a body. `kind` is a word such as `state`; `format` is the number of
/// the body's format.
pub fn encode_checksummed(kind: &str, format: u32, body: &str) -> String {
    format!("{PROGRAM} {kind} {format}\nsum {:016x}\n{body}", xxh3_64(body.as_bytes()))
}

/// Returns the body of a text that was written by [`encode_checksummed`].
///
/// # Errors
/// Returns a [`ChecksumError`] if the text is of another kind or program, has another format, or was truncated or
/// changed.
pub fn decode_checksummed<'a>(
    kind: &'static str, format: u32, text: &'a str,
) -> Result<&'a str, ChecksumError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(ChecksumError::UnknownKind(kind));
    }
    let rest = strip_header(kind, format, text)?;
    let (checksum, body) = rest.split_once('\n').ok_or(ChecksumError::Corrupt)?;
    let checksum = parse_checksum(checksum).ok_or(ChecksumError::Corrupt)?;
    if checksum == xxh3_64(body.as_bytes()) {
        Ok(body)
    } else {
        Err(ChecksumError::Corrupt)
    }
}

/// Returns the text after the line with the kind and the format.
fn strip_header<'a>(kind: &'static str, format: u32, text: &'a str) -> Result<&'a str, ChecksumError> {
    let prefix = format!("{PROGRAM} {kind} ");
    let expected = format!("{prefix}{format}");
    let Some((header, rest)) = text.split_once('\n') else {
        let is_truncated = expected.starts_with(text);
        return Err(if is_truncated { ChecksumError::Corrupt } else { ChecksumError::UnknownKind(kind) });
    };
    if header == expected {
        return Ok(rest);
    }
    if header.starts_with(&prefix) && header.len() < prefix.len() + MAX_FORMAT_DIGITS {
        return Err(ChecksumError::UnsupportedFormat(header.into()));
    }
    Err(ChecksumError::UnknownKind(kind))
}

fn parse_checksum(line: &str) -> Option<u64> {
    let digits = line.strip_prefix("sum ").filter(|digits| digits.len() == CHECKSUM_DIGITS)?;
    u64::from_str_radix(digits, 16).ok()
}

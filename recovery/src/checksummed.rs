//! Text files in which a crash or a bad disk is noticed: a line with the kind and the format, a line with a checksum,
//! and the body. Whoever owns files writes the text beside its place, syncs and renames.
//!
//! Used for snapshots here, and for the state of members and of configuration versions elsewhere.

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a checksummed text at the most.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// The first word of each text.
const PROGRAM: &str = "asterrill";
/// Digits of a checksum.
const CHECKSUM_DIGITS: usize = 16;
/// Digits of another format's number at the most, for the text to be recognized as one of this program.
const MAX_FORMAT_DIGITS: usize = 20;

/// Why a checksummed text can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChecksumError {
    /// It does not begin as texts of this kind do, or is longer than any of them. With the kind that was expected.
    #[error("it is not a {0} file of this program")]
    UnknownKind(&'static str),
    /// Its format has another number. With the first line.
    #[error("it was written by another version of this program: {0:?}")]
    UnsupportedFormat(String),
    /// It is cut short, or its checksum does not match.
    #[error("it is cut short or damaged")]
    Corrupt,
}

/// A body with its kind, format and checksum. `kind` is a word such as `state`; `format` the number of the body's format.
pub fn encode_checksummed(kind: &str, format: u32, body: &str) -> String {
    format!("{PROGRAM} {kind} {format}\nsum {:016x}\n{body}", xxh3_64(body.as_bytes()))
}

/// The body of a text that [`encode_checksummed`] made.
///
/// # Errors
/// [`ChecksumError`]: another kind or program, another format, or not the bytes that were written.
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

/// What follows the line with the kind and the format.
fn strip_header<'a>(kind: &'static str, format: u32, text: &'a str) -> Result<&'a str, ChecksumError> {
    let prefix = format!("{PROGRAM} {kind} ");
    let expected = format!("{prefix}{format}");
    let Some((header, rest)) = text.split_once('\n') else {
        let is_cut_short = expected.starts_with(text);
        return Err(if is_cut_short { ChecksumError::Corrupt } else { ChecksumError::UnknownKind(kind) });
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

//! Text that a crash can't halve: a head that names its kind and format, a checksum, the body. Whoever owns files
//! writes it beside its place, syncs and renames. Used for snapshots here and for versions by `rollout`.

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a sealed text at the most.
pub const MOST: usize = 1 << 20;

/// Why a text can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealFault {
    /// It does not begin as the files of this program do, or is longer than any of them.
    #[error("it is no {0} of this program")]
    Foreign(&'static str),
    /// Its format has another number.
    #[error("it was written by another version of this program: {0:?}")]
    Other(String),
    #[error("it is cut short or damaged")]
    Damaged,
}

/// Seals a body. `kind` is a word such as `state`; `format` the number of the body's format.
pub fn seal(kind: &str, format: u32, body: &str) -> String {
    format!("asterrill {kind} {format}\nsum {:016x}\n{body}", xxh3_64(body.as_bytes()))
}

/// The body of a sealed text.
///
/// # Errors
/// [`SealFault`]: another kind or program, another format, or not what was sealed.
pub fn open<'a>(kind: &'static str, format: u32, sealed: &'a str) -> Result<&'a str, SealFault> {
    let (whole, begins) = (format!("asterrill {kind} {format}"), format!("asterrill {kind} "));
    if sealed.len() > MOST {
        return Err(SealFault::Foreign(kind));
    }
    let (head, rest) = match sealed.split_once('\n') {
        Some(parts) => parts,
        None if whole.starts_with(sealed) => return Err(SealFault::Damaged),
        None => return Err(SealFault::Foreign(kind)),
    };
    if head != whole {
        let other = head.starts_with(&begins) && head.len() < begins.len() + 20;
        return Err(if other { SealFault::Other(head.into()) } else { SealFault::Foreign(kind) });
    }
    let (sum, body) = rest.split_once('\n').ok_or(SealFault::Damaged)?;
    let sum = sum.strip_prefix("sum ").filter(|sum| sum.len() == 16);
    let sum = sum.and_then(|sum| u64::from_str_radix(sum, 16).ok()).ok_or(SealFault::Damaged)?;
    if sum == xxh3_64(body.as_bytes()) {
        Ok(body)
    } else {
        Err(SealFault::Damaged)
    }
}

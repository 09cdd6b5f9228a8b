//! The 128-bit digest of a version.

use asterrill::{Idempotency, Method};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_128;

/// Length of a digest's text, in hexadecimal digits.
const DIGEST_HEX_DIGITS: usize = 32;

/// Tag of the global settings in hashed bytes. Tags keep entries of different kinds apart; stored digests depend on
/// them.
const GLOBALS_TAG: u8 = 0;
/// Tag of a method in hashed bytes.
const METHOD_TAG: u8 = 1;
/// Tag of a tenant in hashed bytes.
const TENANT_TAG: u8 = 2;

/// A digest of the contents of a version. Versions with equal contents have equal digests, whatever order of changes
/// led to them. The digest detects mistakes and lost updates, but does not protect against forgery.
///
/// The digest is the sum, modulo 2^128, of the hashes of all entries and of the global settings, so that the
/// cost of an update is proportional to the entries that change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(u128);

/// The error for a text that does not consist of 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid digest: expected {DIGEST_HEX_DIGITS} hexadecimal digits")]
pub struct InvalidDigest;

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Digest, InvalidDigest> {
        // `from_str_radix` also accepts a sign.
        let well_formed =
            text.len() == DIGEST_HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !well_formed {
            return Err(InvalidDigest);
        }
        u128::from_str_radix(text, 16).map(Digest).map_err(|_| InvalidDigest)
    }
}

impl Digest {
    /// Returns the contribution of the global settings to a version's digest. `text` is their canonical text.
    pub(crate) fn of_globals(text: &str) -> Digest {
        hash_entry(GLOBALS_TAG, &[], text)
    }

    /// Returns the contribution of a method.
    pub(crate) fn of_method(name: &str, method: &Method) -> Digest {
        let idempotency = match method.idempotency {
            Idempotency::Idempotent => 0,
            Idempotency::Keyed => 1,
            Idempotency::NonIdempotent => 2,
        };
        let numbers = [
            method.latency_target,
            method.deadline,
            idempotency,
            method.criticality.to_bits(),
            method.late_value_ratio.to_bits(),
            method.idempotency_window,
            method.skip_value_ratio.to_bits(),
        ];
        hash_entry(METHOD_TAG, &numbers, name)
    }

    /// Returns the contribution of a tenant with its quota in RPCs per second.
    pub(crate) fn of_tenant(name: &str, quota: f64) -> Digest {
        hash_entry(TENANT_TAG, &[quota.to_bits()], name)
    }

    /// Returns the digest with an entry's contribution added.
    pub(crate) fn with(self, entry: Digest) -> Digest {
        Digest(self.0.wrapping_add(entry.0))
    }

    /// Returns the digest with an entry's contribution removed.
    pub(crate) fn without(self, entry: Digest) -> Digest {
        Digest(self.0.wrapping_sub(entry.0))
    }
}

fn hash_entry(tag: u8, numbers: &[u64], name: &str) -> Digest {
    let mut bytes = Vec::with_capacity(1 + size_of_val(numbers) + name.len());
    bytes.push(tag);
    for number in numbers {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    bytes.extend_from_slice(name.as_bytes());
    Digest(xxh3_128(&bytes))
}

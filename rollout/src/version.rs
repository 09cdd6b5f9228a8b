//! A numbered version of the configuration, its hash, and the memory of versions that were rolled back.

use std::sync::Arc;

/// A moment or a span in whole microseconds.
pub type Us = u64;

/// Identifies a content by its meaning. How it is computed is the business of the content's owner; see
/// [`crate::version_hash`] for configurations.
pub type VersionHash = Arc<str>;

/// Rolled back versions that are remembered at the most; the oldest is forgotten first.
pub(crate) const MAX_ROLLED_BACK: usize = 64;

/// One version of the configuration. Cheap to clone if its content is.
#[derive(Clone, Debug, PartialEq)]
pub struct Version<T> {
    /// From 1 up; a number is never used twice.
    pub number: u64,
    /// The hash of its content.
    pub hash: VersionHash,
    /// The number of the version that it was made from.
    pub base: u64,
    /// What it says.
    pub content: T,
}

/// A version that was rolled back, and is not taken again unless forced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolledBack {
    /// The hash of its content.
    pub hash: VersionHash,
    /// The number that it had.
    pub number: u64,
}

/// Remembers a version that was rolled back: each hash once, [`MAX_ROLLED_BACK`] of them at the most.
pub(crate) fn remember_rolled_back(rolled_back: &mut Vec<RolledBack>, version: RolledBack) {
    rolled_back.retain(|earlier| earlier.hash != version.hash);
    rolled_back.push(version);
    let excess = rolled_back.len().saturating_sub(MAX_ROLLED_BACK);
    rolled_back.drain(..excess);
}

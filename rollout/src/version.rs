//! Numbered versions of the configuration, their hashes, and the list of versions that were rolled back.

use std::sync::Arc;

/// Point in time or duration, in whole microseconds.
pub type Us = u64;

/// Hash that identifies the meaning of a version's content. The owner of the content computes it; see
/// [`crate::version_hash`] for configurations.
pub type VersionHash = Arc<str>;

/// Maximum number of rolled back versions that are remembered. The oldest one is removed first.
pub(crate) const MAX_ROLLED_BACK: usize = 64;

/// One version of the configuration. Cheap to clone if its content is.
#[derive(Clone, Debug, PartialEq)]
pub struct Version<T> {
    /// Number of the version, starting at 1. A number is never reused.
    pub number: u64,
    /// Hash of the content.
    pub hash: VersionHash,
    /// Number of the version that this one was made from.
    pub base: u64,
    /// Content of the version.
    pub content: T,
}

/// Version that was rolled back. The same content is rejected from then on unless it is forced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolledBack {
    /// Hash of the content.
    pub hash: VersionHash,
    /// Number of the version.
    pub number: u64,
}

/// Adds a version to the list of rolled back versions. Each hash is listed once, and the list holds at most
/// [`MAX_ROLLED_BACK`] versions.
pub(crate) fn remember_rolled_back(rolled_back: &mut Vec<RolledBack>, version: RolledBack) {
    rolled_back.retain(|earlier| earlier.hash != version.hash);
    rolled_back.push(version);
    let excess = rolled_back.len().saturating_sub(MAX_ROLLED_BACK);
    rolled_back.drain(..excess);
}

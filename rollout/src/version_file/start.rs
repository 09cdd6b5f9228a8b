//! Choice of the version that a process starts with.

use super::hash_parts::KeptParts;
use super::state::{PersistedState, PersistedVersion};
use crate::version::{remember_rolled_back, RolledBack};

/// Version that a process starts with.
#[derive(Clone, Debug, PartialEq)]
pub enum StartDecision {
    /// The process starts with its configuration file.
    Configured {
        /// Version number of that configuration.
        number: u64,
        /// Versions that were rolled back, the oldest first.
        rolled_back: Vec<RolledBack>,
    },
    /// The process starts with a part of the last good version, whose file has not changed since it was read before, and
    /// with the other file, which has.
    Merged {
        /// Last good version.
        good: PersistedVersion,
        /// Parts of it that stay.
        kept: KeptParts,
        /// Version number of the result.
        number: u64,
        /// Versions that were rolled back, the oldest first.
        rolled_back: Vec<RolledBack>,
    },
    /// The process starts with the last good version, because its files were on probation when the previous process
    /// ended, had been rolled back, or have not changed since that version replaced what they state.
    LastGood {
        /// Last good version.
        good: PersistedVersion,
        /// Versions that were rolled back, the oldest first.
        rolled_back: Vec<RolledBack>,
        /// Reason for the log.
        why: &'static str,
    },
}

/// Chooses the version to start with from the hash of the files of the process, the hash of the files that it had read
/// before, and the persisted state.
pub fn choose_start(
    configured: &str, read_before: Option<&str>, persisted: Option<PersistedState>,
) -> StartDecision {
    let Some(PersistedState { good, probation, mut rolled_back }) = persisted else {
        // Without a good version there is nothing to roll back to.
        return StartDecision::Configured { number: 1, rolled_back: Vec::new() };
    };
    if *good.hash() == *configured {
        return StartDecision::Configured { number: good.number, rolled_back };
    }
    if rolled_back.iter().any(|version| *version.hash == *configured) {
        let why = "the configured version had been rolled back";
        return StartDecision::LastGood { good, rolled_back, why };
    }
    let is_configured =
        |version: &PersistedVersion| version.number != good.number && *version.hash() == *configured;
    if let Some(version) = probation.filter(is_configured) {
        let version = RolledBack { hash: version.hash(), number: version.number };
        remember_rolled_back(&mut rolled_back, version);
        let why = "the configured version was on probation";
        return StartDecision::LastGood { good, rolled_back, why };
    }
    let kept = KeptParts::since(read_before, configured);
    let merged = kept.merged_hash(&good, configured);
    let number = good.number + 1;
    if *merged == *good.hash() {
        let why = "the files have not changed since it replaced what they state";
        return StartDecision::LastGood { good, rolled_back, why };
    }
    if *merged == *configured {
        return StartDecision::Configured { number, rolled_back };
    }
    StartDecision::Merged { good, kept, number, rolled_back }
}

//! Choice of the version that a process starts with.

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
    /// The process starts with the last good version, because its configuration file was on probation when the previous
    /// process ended, or had been rolled back.
    LastGood {
        /// Last good version.
        good: PersistedVersion,
        /// Versions that were rolled back, the oldest first.
        rolled_back: Vec<RolledBack>,
        /// Reason for the log.
        why: &'static str,
    },
}

/// Chooses the version to start with from the hash of the configuration file and the persisted state.
pub fn choose_start(configured: &str, persisted: Option<PersistedState>) -> StartDecision {
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
    StartDecision::Configured { number: good.number + 1, rolled_back }
}

//! What a process starts with.

use super::state::{PersistedState, PersistedVersion};
use crate::version::{remember_rolled_back, RolledBack};

/// What a process starts with.
#[derive(Clone, Debug, PartialEq)]
pub enum StartDecision {
    /// The configuration that it was given.
    Configured {
        /// The number that this has as a version.
        number: u64,
        /// Versions that were rolled back, the oldest first.
        rolled_back: Vec<RolledBack>,
    },
    /// The last good version: what it was given was on probation when the process before ended, or had been rolled back.
    LastGood {
        /// That version.
        good: PersistedVersion,
        /// Versions that were rolled back, the oldest first.
        rolled_back: Vec<RolledBack>,
        /// The reason, for the log.
        why: &'static str,
    },
}

/// Decides what to start with, from the hash of the configuration that the process was given and what is on disk.
pub fn choose_start(configured: &str, persisted: Option<PersistedState>) -> StartDecision {
    let Some(PersistedState { good, probation, mut rolled_back }) = persisted else {
        // Without a good version there is nothing to go back to.
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

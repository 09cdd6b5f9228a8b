//! The section `[recovery]`: how a server comes back.

use crate::lines::Mistake;
use crate::units::{count_in, time_in};
use crate::Directives;

const S: u64 = 1_000_000;

/// How a server comes back after a restart or an outage. Times are microseconds, shares in 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// About how often what was learned is written, into the state directory of `[changes]`.
    pub snapshot: u64,
    /// Up to which age it is looked at.
    pub trust: u64,
    /// Calls below in hand to begin with, after a start and after an outage.
    pub first_calls: u64,
    /// Repeats of calls in 100 first calls.
    pub repeats: u64,
    /// By how many in 100 a time to come back may be longer, drawn for each.
    pub spread: u64,
}

impl Default for Recovery {
    fn default() -> Recovery {
        Recovery { snapshot: 5 * S, trust: 24 * 3600 * S, first_calls: 1, repeats: 20, spread: 50 }
    }
}

impl Recovery {
    pub(crate) fn read(mut section: Directives<'_>) -> Result<Recovery, Mistake> {
        let mut recovery = Recovery::default();
        for directive in section.take() {
            section.once(&directive)?;
            let word = directive.one()?;
            match directive.name() {
                "snapshot" => recovery.snapshot = time_in(&directive, word, S, 600 * S)?,
                "trust" => recovery.trust = time_in(&directive, word, S, 30 * 24 * 3600 * S)?,
                "first-calls" => recovery.first_calls = count_in(&directive, word, 1, 1000)?,
                "repeats" => recovery.repeats = count_in(&directive, word, 0, 100)?,
                "spread" => recovery.spread = count_in(&directive, word, 0, 100)?,
                other => return Err(directive.mistake(format!("[recovery] has no directive {other}"))),
            }
        }
        Ok(recovery)
    }
}

//! The section `[recovery]`: how a server comes back.

use crate::lines::ParseError;
use crate::units::{count_in, time_in};
use crate::Directives;

const S: u64 = 1_000_000;

/// How a server comes back after a restart or an outage. Times are microseconds, shares in 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoverySettings {
    /// About how often what was learned is written, into the state directory of `[changes]`.
    pub snapshot_interval: u64,
    /// Up to which age it is looked at.
    pub max_snapshot_age: u64,
    /// Calls below in hand to begin with, after a start and after an outage.
    pub initial_calls: u64,
    /// Repeats of calls in 100 first calls.
    pub retry_percent: u64,
    /// By how many in 100 a time to come back may be longer, drawn for each.
    pub jitter_percent: u64,
}

impl Default for RecoverySettings {
    fn default() -> RecoverySettings {
        RecoverySettings {
            snapshot_interval: 5 * S,
            max_snapshot_age: 24 * 3600 * S,
            initial_calls: 1,
            retry_percent: 20,
            jitter_percent: 50,
        }
    }
}

impl RecoverySettings {
    pub(crate) fn read(mut section: Directives<'_>) -> Result<RecoverySettings, ParseError> {
        let mut recovery = RecoverySettings::default();
        for directive in section.take() {
            section.once(&directive)?;
            let word = directive.one()?;
            match directive.name() {
                "snapshot" => recovery.snapshot_interval = time_in(&directive, word, S, 600 * S)?,
                "trust" => recovery.max_snapshot_age = time_in(&directive, word, S, 30 * 24 * 3600 * S)?,
                "first-calls" => recovery.initial_calls = count_in(&directive, word, 1, 1000)?,
                "repeats" => recovery.retry_percent = count_in(&directive, word, 0, 100)?,
                "spread" => recovery.jitter_percent = count_in(&directive, word, 0, 100)?,
                other => return Err(directive.error(format!("[recovery] has no directive {other}"))),
            }
        }
        Ok(recovery)
    }
}

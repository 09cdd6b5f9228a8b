//! The section `[recovery]`: how a server recovers after a restart or an outage.

use crate::error::ParseError;
use crate::section::Section;
use crate::units::{DAY, MINUTE, SECOND};

/// How a server recovers after a restart or an outage. Durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoverySettings {
    /// About how often a snapshot of learned values is written into the state directory, 1 s to 10 min (`snapshot`).
    pub snapshot_interval: u64,
    /// The greatest age of a snapshot that is used, 1 s to 30 d (`trust`).
    pub max_snapshot_age: u64,
    /// Upstream calls in flight to begin with, after a start and after an outage, 1 to 1000 (`first-calls`).
    pub initial_calls: u64,
    /// Retries of upstream calls per 100 first attempts, 0 to 100 (`repeats`).
    pub retry_percent: u64,
    /// By how many percent a time to retry after may be longer, drawn for each, 0 to 100 (`spread`).
    pub jitter_percent: u64,
}

impl Default for RecoverySettings {
    fn default() -> RecoverySettings {
        RecoverySettings {
            snapshot_interval: 5 * SECOND,
            max_snapshot_age: DAY,
            initial_calls: 1,
            retry_percent: 20,
            jitter_percent: 50,
        }
    }
}

impl RecoverySettings {
    /// Reads the section `[recovery]`.
    pub(crate) fn read(mut section: Section<'_>) -> Result<RecoverySettings, ParseError> {
        let mut recovery = RecoverySettings::default();
        for directive in section.take_directives() {
            section.check_first(&directive)?;
            directive.value()?;
            match directive.name() {
                "snapshot" => recovery.snapshot_interval = directive.duration(SECOND..=10 * MINUTE)?,
                "trust" => recovery.max_snapshot_age = directive.duration(SECOND..=30 * DAY)?,
                "first-calls" => recovery.initial_calls = directive.count(1..=1000)?,
                "repeats" => recovery.retry_percent = directive.count(0..=100)?,
                "spread" => recovery.jitter_percent = directive.count(0..=100)?,
                _ => return Err(section.unknown_directive(&directive)),
            }
        }
        Ok(recovery)
    }
}

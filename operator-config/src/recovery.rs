//! The section `[recovery]`: how a server recovers after a restart or an outage.

use crate::error::ParseError;
use crate::section::Section;
use crate::units::{DAY_US, MINUTE_US, SECOND_US};

/// Settings of a server's recovery after a restart or an outage. Durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoverySettings {
    /// The approximate interval between snapshots of learned values, which are written to the state directory, 1 s to 10 min
    /// (`snapshot`).
    pub snapshot_interval: u64,
    /// Maximum age of a snapshot that is used, 1 s to 30 d (`trust`).
    pub max_snapshot_age: u64,
    /// The initial limit of upstream calls in flight after a start or an outage, 1 to 1000 (`first-calls`).
    pub initial_calls: u64,
    /// Retries of upstream calls per 100 first attempts, 0 to 100 (`repeats`).
    pub retry_percent: u64,
    /// Maximum random extension of each retry-after time in percent, 0 to 100 (`spread`).
    pub jitter_percent: u64,
}

impl Default for RecoverySettings {
    fn default() -> RecoverySettings {
        RecoverySettings {
            snapshot_interval: 5 * SECOND_US,
            max_snapshot_age: DAY_US,
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
                "snapshot" => recovery.snapshot_interval = directive.duration(SECOND_US..=10 * MINUTE_US)?,
                "trust" => recovery.max_snapshot_age = directive.duration(SECOND_US..=30 * DAY_US)?,
                "first-calls" => recovery.initial_calls = directive.count(1..=1000)?,
                "repeats" => recovery.retry_percent = directive.count(0..=100)?,
                "spread" => recovery.jitter_percent = directive.count(0..=100)?,
                _ => return Err(section.unknown_directive(&directive)),
            }
        }
        Ok(recovery)
    }
}

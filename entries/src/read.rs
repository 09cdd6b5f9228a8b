//! Reader for the text form of steps and complete versions: one JSON object per line, with the platform's field names.

use crate::apply::duplicate_key;
use crate::change::{Change, Step};
use crate::configuration::Configuration;
use crate::entry::EntryKind;
use crate::error::{ConfigError, StepError};
use crate::globals::GlobalSettings;
use crate::limits::MAX_CHANGES;
use crate::step_line::{Line, LineReader};
use std::collections::HashSet;

/// Returns the lines that are not blank, with their numbers, which start at 1.
fn numbered_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let numbered = text.lines().enumerate().map(|(index, line)| (index + 1, line.trim()));
    numbered.filter(|(_, line)| !line.is_empty())
}

/// Reads a step. Partial global settings are completed from `base`, and names are shared with it. The caller must check
/// that `base` is the version that the step applies to.
///
/// # Errors
/// Returns a [`StepError`] that names the line, the key and the mistake. No part of the step is returned then.
pub fn read_step(text: &str, base: &Configuration) -> Result<Step, StepError> {
    let mut step = Step::default();
    let mut reader = LineReader::new();
    let mut seen = HashSet::new();
    let mut is_first = true;
    for (number, line) in numbered_lines(text) {
        match reader.read(number, line, base)? {
            Line::Header { base, hash } if is_first => (step.base, step.hash) = (base, hash),
            Line::Header { .. } => return Err(StepError::UnexpectedLine { line: number }),
            Line::Change(_) if step.changes.len() >= MAX_CHANGES => return Err(StepError::TooManyChanges),
            Line::Change(change) => {
                if !seen.insert(change.key().map(|(kind, name)| (kind, name.clone()))) {
                    return Err(StepError::InvalidEntry { line: number, error: duplicate_key(change.key()) });
                }
                step.changes.push(change);
            }
        }
        is_first = false;
    }
    Ok(step)
}

/// Reads a complete version, as [`write_configuration`](crate::write_configuration) writes it. If the first line
/// states a digest, the version must have that digest.
///
/// # Errors
/// Returns a [`StepError`] that names the line, the key and the mistake. A version without global settings or without a
/// method is invalid.
pub fn read_configuration(text: &str) -> Result<Configuration, StepError> {
    let mut configuration = Configuration::new(GlobalSettings::default());
    let mut reader = LineReader::new();
    let mut expected = None;
    let mut has_globals = false;
    let mut last_line = 0;
    for (number, line) in numbered_lines(text) {
        match reader.read(number, line, &configuration)? {
            Line::Header { hash, .. } if last_line == 0 => expected = hash,
            Line::Header { .. } => return Err(StepError::UnexpectedLine { line: number }),
            Line::Change(change) => {
                let added = add_entry(&mut configuration, &change, has_globals);
                added.map_err(|error| StepError::InvalidEntry { line: number, error })?;
                has_globals |= change.key().is_none();
            }
        }
        last_line = number;
    }
    let missing = |key| StepError::InvalidEntry { line: last_line, error: ConfigError::InvalidField(key) };
    if !has_globals {
        return Err(missing("frame"));
    }
    if configuration.count(EntryKind::Method) == 0 {
        return Err(missing(EntryKind::Method.list_key()));
    }
    let found = configuration.digest();
    match expected {
        Some(expected) if expected != found => Err(StepError::HashMismatch { expected, found }),
        _ => Ok(configuration),
    }
}

/// Adds an entry of a complete version, in which each key may occur only once.
fn add_entry(
    configuration: &mut Configuration, change: &Change, has_globals: bool,
) -> Result<(), ConfigError> {
    let is_duplicate = match change.key() {
        None => has_globals,
        Some((kind, name)) => configuration.stored_name(kind, name).is_some(),
    };
    if is_duplicate {
        return Err(duplicate_key(change.key()));
    }
    configuration.apply_one(change)
}

//! Files that operators name: configurations, operator's files, steps and lists.

use crate::control_client::ChangeSource;
use crate::outcome::Outcome;
use asterrill_entries::{read_step, Change, Configuration, Step};
use asterrill_settings::Deployment;
use serde_json::Value;
use std::io::Read;
use std::path::Path;

/// The name of the standard input.
const STANDARD_INPUT: &str = "-";
/// Bytes of a step's line at the most.
const MAX_ENTRY_BYTES: usize = 1 << 20;
/// Keys of which the first line of a step has one, and that of a configuration none.
const STEP_KEYS: [&str; 5] = ["put", "take", "frame", "base", "hash"];

/// A mistake in a file, with its name.
fn mistake(file: &Path, why: impl std::fmt::Display) -> Outcome {
    Outcome::mistake(format!("{}: {why}", file.display()))
}

/// The text of a file, or of the standard input.
pub fn read_text(file: &Path) -> Result<String, Outcome> {
    let read = if file.as_os_str() == STANDARD_INPUT {
        let mut text = String::new();
        std::io::stdin().lock().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    read.map_err(|e| mistake(file, e))
}

/// Whether a text is a step: its first line is a JSON object that puts, takes, gives global settings, or says what it
/// was made from.
pub fn is_step(text: &str) -> bool {
    let first_line = text.trim_start().lines().next();
    let first_line = first_line.filter(|line| line.starts_with('{') && line.len() <= MAX_ENTRY_BYTES);
    let object = first_line.and_then(|line| serde_json::from_str::<Value>(line).ok());
    object.is_some_and(|object| STEP_KEYS.iter().any(|key| object.get(key).is_some()))
}

/// Whether a text is JSON, and not an operator's file.
pub fn is_json(text: &str) -> bool {
    text.trim_start().starts_with('{')
}

/// A change for the daemon: a step, or a file's whole text.
pub fn read_change(file: &Path) -> Result<ChangeSource, Outcome> {
    let text = read_text(file)?;
    Ok(if is_step(&text) { ChangeSource::Step(text) } else { ChangeSource::Text(text) })
}

/// The entries of a configuration in JSON.
pub fn parse_configuration(file: &Path, text: &str) -> Result<Configuration, Outcome> {
    let deployment = Deployment::from_reader(text.as_bytes(), None).map_err(|fault| mistake(file, fault))?;
    Ok(deployment.configuration)
}

/// What a step changes of a configuration.
pub fn parse_step(file: &Path, text: &str, base: &Configuration) -> Result<Vec<Change>, Outcome> {
    let Step { hash, changes, .. } = read_step(text, base).map_err(|fault| mistake(file, fault))?;
    let digest = base.digest();
    if let Some(hash) = hash.filter(|hash| *hash != digest) {
        return Err(mistake(file, format!("it was made from hash {hash}, not from {digest}")));
    }
    let after = base.apply(&changes).map_err(|fault| mistake(file, fault))?;
    Ok(base.changes_to(&after))
}

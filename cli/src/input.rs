//! Reading of the files given on the command line: configurations, operator's files, steps and lists.

use crate::control_client::ChangeSource;
use crate::outcome::Outcome;
use asterrill_entries::{read_step, Change, Configuration, Step};
use asterrill_settings::Deployment;
use serde_json::Value;
use std::io::Read;
use std::path::Path;

/// The file argument that stands for standard input.
const STDIN_ARGUMENT: &str = "-";
/// Maximum length of the first line of a step, in bytes.
const MAX_STEP_LINE_BYTES: usize = 1 << 20;
/// Keys that identify a step: its first line has at least one of them, and that of a configuration none.
const STEP_KEYS: [&str; 5] = ["put", "take", "frame", "base", "hash"];

/// Returns the outcome for an error in a file, with the name of the file.
fn file_error(file: &Path, why: impl std::fmt::Display) -> Outcome {
    Outcome::invalid_input(format!("{}: {why}", file.display()))
}

/// Reads the text of a file, or of standard input.
pub fn read_text(file: &Path) -> Result<String, Outcome> {
    let read = if file.as_os_str() == STDIN_ARGUMENT {
        let mut text = String::new();
        std::io::stdin().lock().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    read.map_err(|error| file_error(file, error))
}

/// Reports whether a text is a step: its first line is a JSON object with one of [`STEP_KEYS`].
pub fn is_step(text: &str) -> bool {
    let first_line = text.trim_start().lines().next();
    let first_line = first_line.filter(|line| line.starts_with('{') && line.len() <= MAX_STEP_LINE_BYTES);
    let object = first_line.and_then(|line| serde_json::from_str::<Value>(line).ok());
    object.is_some_and(|object| STEP_KEYS.iter().any(|key| object.get(key).is_some()))
}

/// Reports whether a text is JSON, and not an operator's file.
pub fn is_json(text: &str) -> bool {
    text.trim_start().starts_with('{')
}

/// Reads a change for the daemon: a step, or the whole text of a file.
pub fn read_change(file: &Path) -> Result<ChangeSource, Outcome> {
    let text = read_text(file)?;
    Ok(if is_step(&text) { ChangeSource::Step(text) } else { ChangeSource::Text(text) })
}

/// Parses a configuration in JSON.
pub fn parse_configuration(file: &Path, text: &str) -> Result<Configuration, Outcome> {
    let deployment =
        Deployment::from_reader(text.as_bytes(), None).map_err(|error| file_error(file, error))?;
    Ok(deployment.configuration)
}

/// Parses a step, and returns what it changes in a configuration.
pub fn parse_step(file: &Path, text: &str, base: &Configuration) -> Result<Vec<Change>, Outcome> {
    let Step { hash, changes, .. } = read_step(text, base).map_err(|error| file_error(file, error))?;
    let digest = base.digest();
    if let Some(hash) = hash.filter(|hash| *hash != digest) {
        return Err(file_error(
            file,
            format!("the step was made from hash {hash}, but the configuration has hash {digest}"),
        ));
    }
    let after = base.apply(&changes).map_err(|error| file_error(file, error))?;
    Ok(base.changes_to(&after))
}

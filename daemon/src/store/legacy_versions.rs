//! Legacy files of builds that predate the file of versions: each version is a complete text in its own file.

use super::checksummed::FORMAT_VERSION;
use crate::durable_file;
use asterrill_recovery::MAX_TEXT_BYTES;
use asterrill_rollout::{PersistedState, PersistedVersion};
use slog::{warn, Logger};
use std::path::Path;

/// File names of the good version and of the one on probation.
const FILE_NAMES: [&str; 2] = ["good", "probation"];
/// Kind in the header of the checksummed texts in these files.
const TEXT_KIND: &str = "state";

/// Reads the legacy files.
///
/// The rolled back versions in them are ignored, because these were identified by a hash of the text.
pub(super) fn read_legacy_versions(dir: &Path, log: &Logger) -> Option<PersistedState> {
    let [good, probation] = FILE_NAMES.map(|name| {
        let path = dir.join(name);
        read_version(&path).unwrap_or_else(|why| {
            warn!(log, "a state file is not used"; "path" => %path.display(), "why" => why);
            None
        })
    });
    Some(PersistedState { good: good?, probation, rolled_back: Vec::new() })
}

/// Removes the legacy files. Errors are ignored, because the files are not read once the new format exists.
pub(super) fn remove_legacy_versions(dir: &Path) {
    FILE_NAMES.iter().for_each(|name| std::fs::remove_file(dir.join(name)).unwrap_or_default());
}

fn read_version(path: &Path) -> Result<Option<PersistedVersion>, String> {
    let text = durable_file::read_text(path, MAX_TEXT_BYTES as u64 + 1).map_err(|e| e.to_string())?;
    let Some(text) = text else { return Ok(None) };
    let body = asterrill_recovery::decode_checksummed(TEXT_KIND, FORMAT_VERSION, &text)
        .map_err(|error| error.to_string())?;
    parse_version(body).map(Some)
}

/// Parses `version N`, the rolled back versions, and `text` with its length, followed by the settings and limits in
/// JSON and the operator's file.
fn parse_version(body: &str) -> Result<PersistedVersion, String> {
    let expected = |what: &str| format!("the file is damaged: expected {what}");
    let (first_line, _) = body.split_once('\n').ok_or_else(|| expected("a line with the version"))?;
    let number = first_line.strip_prefix("version ").and_then(|number| number.parse().ok());
    let number = number.ok_or_else(|| expected("\"version N\" in the first line"))?;
    let (_, rest) = body.split_once("\ntext ").ok_or_else(|| expected("a line \"text LENGTH\""))?;
    let (_, text) = rest.split_once('\n').ok_or_else(|| expected("content after \"text LENGTH\""))?;
    let (json, operator_file) = text.split_once("\n---\n").unwrap_or((text, ""));
    let value: serde_json::Value = serde_json::from_str(json).map_err(|e| e.to_string())?;
    let part = |name| asterrill_settings::json::object(&value, name).map_err(|error| error.to_string());
    let (settings, limits) = (part("settings")?, part("limits")?);
    let limit = |name| asterrill_settings::json::integer(limits, name).map_err(|error| error.to_string());
    let content =
        asterrill_settings::configuration_from_json(settings, limit("memory_mb")?, limit("sockets")?);
    let content = content.map_err(|error| error.to_string())?;
    Ok(PersistedVersion { number, content, operator_file: operator_file.into() })
}

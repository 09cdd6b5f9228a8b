//! Commands that need no daemon: checks of a file by itself, and the difference of two files.

use crate::input::{is_json, is_step, parse_configuration, parse_step, read_text};
use crate::outcome::{ExitStatus, Outcome};
use asterrill_entries::{Configuration, EntryKind};
use asterrill_rollout::{check, difference, ObservedLoad, Problem};
use serde_json::json;
use std::path::Path;

/// Checks a file by itself: a configuration in JSON, or an operator's file.
pub fn check_file(file: &Path) -> Result<Outcome, Outcome> {
    let text = read_text(file)?;
    if !is_json(&text) {
        return check_operator_file(file, &text);
    }
    if is_step(&text) {
        let why = format!("{}: a step is checked against what it changes: diff", file.display());
        return Err(Outcome::mistake(why));
    }
    Ok(check_configuration(&parse_configuration(file, &text)?))
}

fn check_operator_file(file: &Path, text: &str) -> Result<Outcome, Outcome> {
    let parsed = asterrill_operator_config::parse(&file.display().to_string(), text);
    let config = parsed.map_err(|mistake| Outcome::mistake(mistake.to_string()))?;
    let queues = config.broker.map_or(0, |broker| broker.queues.len());
    Ok(Outcome::of(json!({"ok": true, "kind": "operator's file", "queues": queues})))
}

fn check_configuration(configuration: &Configuration) -> Outcome {
    // Against itself, as nothing runs here: only what is wrong by itself shows.
    let empty = Configuration::new(configuration.globals().as_ref().clone());
    let all = empty.changes_to(configuration);
    let problems = check(configuration, configuration, &all, &ObservedLoad::default(), f64::INFINITY);
    let problems: Vec<String> = problems.iter().map(Problem::to_string).collect();
    Outcome::of(json!({
        "ok": problems.is_empty(),
        "kind": "configuration",
        "methods": configuration.count(EntryKind::Method),
        "tenants": configuration.count(EntryKind::Tenant),
        "hash": configuration.digest().to_string(),
        "problems": problems,
    }))
}

/// What changes from one configuration to another, or by a step.
pub fn compare_files(old: &Path, new: &Path) -> Result<Outcome, Outcome> {
    let from = parse_configuration(old, &read_text(old)?)?;
    let text = read_text(new)?;
    let changes = if is_step(&text) {
        parse_step(new, &text, &from)?
    } else {
        from.changes_to(&parse_configuration(new, &text)?)
    };
    let mut lines = difference(&from, &changes);
    if lines.is_empty() && !changes.is_empty() {
        lines.push("figures of the frame that are not listed".into());
    }
    let status = if changes.is_empty() { ExitStatus::Done } else { ExitStatus::No };
    Ok(Outcome { reply: json!({"ok": true, "changes": lines, "entries": changes.len()}), status })
}

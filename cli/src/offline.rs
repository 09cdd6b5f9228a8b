//! Commands that need no daemon: the check of a single file, and the comparison of two files.

use crate::input::{is_json, is_step, parse_configuration, parse_step, read_text};
use crate::outcome::{ExitStatus, Outcome};
use asterrill_entries::{Configuration, EntryKind};
use asterrill_rollout::{check, difference, ObservedLoad, Problem};
use serde_json::json;
use std::path::Path;

/// Checks a single file: a configuration in JSON, or an operator's file.
pub fn check_file(file: &Path) -> Result<Outcome, Outcome> {
    let text = read_text(file)?;
    if !is_json(&text) {
        return check_operator_file(file, &text);
    }
    if is_step(&text) {
        let why = format!(
            "{}: cannot check a step by itself; use diff with the configuration that it changes",
            file.display()
        );
        return Err(Outcome::invalid_input(why));
    }
    Ok(check_configuration(&parse_configuration(file, &text)?))
}

fn check_operator_file(file: &Path, text: &str) -> Result<Outcome, Outcome> {
    let parsed = asterrill_operator_config::parse(&file.display().to_string(), text);
    let config = parsed.map_err(|error| Outcome::invalid_input(error.to_string()))?;
    let queues = config.broker.map_or(0, |broker| broker.queues.len());
    Ok(Outcome::from_reply(json!({"ok": true, "kind": "operator's file", "queues": queues})))
}

fn check_configuration(configuration: &Configuration) -> Outcome {
    // There is no running version to compare with. The configuration is checked against itself, so only problems that
    // it has on its own are found.
    let empty = Configuration::new(configuration.globals().as_ref().clone());
    let all = empty.changes_to(configuration);
    let problems = check(configuration, configuration, &all, &ObservedLoad::default(), f64::INFINITY);
    let problems: Vec<String> = problems.iter().map(Problem::to_string).collect();
    Outcome::from_reply(json!({
        "ok": problems.is_empty(),
        "kind": "configuration",
        "methods": configuration.count(EntryKind::Method),
        "tenants": configuration.count(EntryKind::Tenant),
        "hash": configuration.digest().to_string(),
        "problems": problems,
    }))
}

/// Compares two configurations, or shows what a step changes in a configuration.
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
        lines.push("global settings (frame) that are not listed individually".into());
    }
    let status = if changes.is_empty() { ExitStatus::Done } else { ExitStatus::Negative };
    Ok(Outcome { reply: json!({"ok": true, "changes": lines, "entries": changes.len()}), status })
}

//! Commands for the lists on which the backends agree.

use crate::arguments::ListCommand;
use crate::control_client::{ControlClient, Request};
use crate::input::read_text;
use crate::outcome::Outcome;
use serde_json::{json, Value};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of entries of a file that go into one version.
const MAX_ENTRIES_PER_VERSION: usize = 1_000;

/// Runs a command for a list.
pub fn run(client: &ControlClient, command: &ListCommand) -> Result<Outcome, Outcome> {
    match command {
        ListCommand::Show { list } => Ok(client.send(Request::List(list.clone()))),
        ListCommand::Add { list, key, out, hold, base } => {
            let standing = if *out { "out" } else { "in" };
            let until = hold.map_or(0, |hold| unix_time_us() + hold);
            let entry = json!({"key": key, "standing": standing, "until": until});
            Ok(change(client, list, *base, vec![entry]))
        }
        ListCommand::Remove { list, key } => {
            Ok(change(client, list, None, vec![json!({"key": key, "standing": "none"})]))
        }
        ListCommand::Import { list, file } => import(client, list, file),
    }
}

fn change(client: &ControlClient, list: &str, base: Option<u64>, entries: Vec<Value>) -> Outcome {
    client.send(Request::ListChange { list: list.into(), base, entries }).with_majority_status()
}

/// Reads the lines of a file and sends them in chunks, until one is rejected.
fn import(client: &ControlClient, list: &str, file: &Path) -> Result<Outcome, Outcome> {
    let mut entries = Vec::new();
    for (index, line) in read_text(file)?.lines().enumerate() {
        let line_number = index + 1;
        let line = line.trim();
        if line.is_empty() {
            continue;
        }
        let (key, standing) = line.rsplit_once(' ').unwrap_or((line, ""));
        if !["in", "out"].contains(&standing) {
            let why = format!("{}:{line_number}: expected KEY in or KEY out", file.display());
            return Err(Outcome::invalid_input(why));
        }
        entries.push(json!({"key": key.trim(), "standing": standing}));
    }
    let why = format!("{}: expected at least one line KEY in or KEY out, found none", file.display());
    let mut outcome = Outcome::invalid_input(why);
    for chunk in entries.chunks(MAX_ENTRIES_PER_VERSION) {
        outcome = change(client, list, None, chunk.to_vec());
        if !outcome.is_done() {
            break;
        }
    }
    Ok(outcome)
}

fn unix_time_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

//! Commands that change the configuration of a running daemon.

use crate::control_client::{ControlClient, Request};
use crate::input::read_change;
use crate::outcome::{ExitStatus, Outcome};
use asterrill_rollout::SimpleCommand;
use serde_json::json;
use std::path::Path;

/// Compares a file with the running version of the daemon.
pub fn diff_running(client: &ControlClient, file: &Path) -> Result<Outcome, Outcome> {
    let mut outcome = client.send(Request::Diff(read_change(file)?));
    if outcome.is_done() && outcome.reply["entries"] != json!(0) {
        outcome.status = ExitStatus::Negative;
    }
    Ok(outcome)
}

/// Stages a file.
pub fn stage(
    client: &ControlClient, file: &Path, base: Option<u64>, force: bool, queue: bool,
) -> Result<Outcome, Outcome> {
    let source = read_change(file)?;
    Ok(client.send(Request::Stage { source, base, force, queue }))
}

/// Activates the staged version.
pub fn apply(client: &ControlClient, if_base: Option<u64>, probation_us: Option<u64>) -> Outcome {
    client.send(Request::Apply { if_base, probation_us })
}

/// Stages a file and activates it. If it cannot be activated, it does not stay staged.
pub fn stage_and_apply(
    client: &ControlClient, file: &Path, force: bool, if_base: Option<u64>, probation_us: Option<u64>,
) -> Result<Outcome, Outcome> {
    let mut staged = stage(client, file, if_base, force, false)?;
    if !staged.is_done() {
        return Ok(staged);
    }
    let applied = apply(client, if_base, probation_us);
    if !applied.is_done() {
        client.send(Request::Simple(SimpleCommand::Drop));
        return Ok(applied);
    }
    for (name, value) in applied.reply.as_object().into_iter().flatten() {
        staged.reply[name] = value.clone();
    }
    Ok(staged)
}

//! Scenario `config-crash`: the process is killed during a probation that a signal started.
//!
//! It restarts on the last good version although the file holds the other one, and does not apply that one again.

use super::managed_backend::{check_framed, ManagedBackend};
use crate::backend::wait_until;
use crate::load::{run_load, RateSpan};
use crate::method::FRAMED_METHODS;
use crate::report::{Report, ScenarioError};
use serde_json::{json, Value};
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Reason for a start with the last good version.
const ON_PROBATION: &str = "the configured version was on probation";
const VERSION_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `config-crash`.
pub fn crash(report: &mut Report, seed: u64) -> Result<(), ScenarioError> {
    let mut managed = ManagedBackend::start(seed + 3_000, false)?;
    let config = managed.node().dir.join("config.json");
    let good = std::fs::read_to_string(&config)?;
    report.rule("the process does not start with version 1", wait_for_version(&managed, 1, false));
    // A truncated file changes nothing.
    reload(&managed, &config, &good[..good.len() / 2])?;
    std::thread::sleep(Duration::from_millis(200));
    report.rule("a truncated file was applied", wait_for_version(&managed, 1, false));
    reload(&managed, &config, &bad_config(&good)?)?;
    report.rule("SIGHUP did not start a probation", wait_for_version(&managed, 2, true));
    let versions = managed.socket.with_file_name("versions");
    let persisted =
        || std::fs::read_to_string(&versions).is_ok_and(|text| text.contains("\nstep probation "));
    report.rule("the probation was not persisted", wait_until(Duration::from_secs(2), persisted));
    managed.backend.node.kill_and_restart()?;
    report
        .rule("the process does not restart on the last good version", wait_for_version(&managed, 1, false));
    let logged = managed.node().read_log().contains("started on the last good version");
    report.rule("the start on the last good version was not logged", logged);
    let undone = managed.logged_changes().iter().filter(|event| event["why"] == json!(ON_PROBATION)).count();
    report.rule("the undone change was not logged once with hash and reason at the restart", undone == 1);
    managed.node().signal("HUP");
    std::thread::sleep(Duration::from_millis(300));
    report.rule("the change on probation was applied again", wait_for_version(&managed, 1, false));
    // A damaged state file is logged, and the process starts with the configuration in its file.
    std::fs::write(&versions, "asterrill state 1\nsum 12\n")?;
    std::fs::write(&config, &good)?;
    managed.backend.node.kill_and_restart()?;
    report.rule("the process does not start with a damaged state file", wait_for_version(&managed, 1, false));
    let logged = managed.node().read_log().contains("a state file is not used");
    report.rule("the damaged state file was not logged", logged);
    let rates = [RateSpan::new(Duration::from_secs(1), 100.0)];
    let stats = run_load(managed.node().address, &FRAMED_METHODS, &rates, seed, &AtomicBool::new(false))?;
    check_framed(report, &[&stats]);
    managed.check_versions(report)?;
    managed.shut_down(report);
    Ok(())
}

/// Waits until a version is in force, on probation or not as given, and reports whether it is.
fn wait_for_version(managed: &ManagedBackend, version: u64, probation: bool) -> bool {
    wait_until(VERSION_TIMEOUT, || {
        let holds = |status: Value| {
            status["version"] == json!(version) && status["probation"].is_object() == probation
        };
        managed.status().is_ok_and(holds)
    })
}

fn reload(managed: &ManagedBackend, config: &Path, text: &str) -> Result<(), ScenarioError> {
    std::fs::write(config, text)?;
    managed.node().signal("HUP");
    Ok(())
}

/// Returns the platform's file with a deadline that is too short, and with fewer cores.
fn bad_config(good: &str) -> Result<String, ScenarioError> {
    let mut bad: Value = serde_json::from_str(good)?;
    bad["settings"]["Categories"][0]["DeadlineMs"] = json!(150);
    bad["settings"]["FamilyInfo"]["NCores"] = json!(3);
    Ok(bad.to_string())
}

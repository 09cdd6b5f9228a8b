//! `config-crash`: killed in the middle of a probation that a signal began. The last good version starts, though the file
//! says the other, and what was on probation is not taken again.

use super::stage::{check_framed, Stage};
use crate::backend::wait_until;
use crate::load::{run_load, RateSpan};
use crate::method::FRAMED_METHODS;
use crate::report::{Report, ScenarioError};
use serde_json::{json, Value};
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

const REACHED_WITHIN: Duration = Duration::from_secs(5);

/// Plays it.
pub fn crash(report: &mut Report, seed: u64) -> Result<(), ScenarioError> {
    let mut stage = Stage::start(seed + 3_000, false)?;
    let config = stage.node().dir.join("config.json");
    let good = std::fs::read_to_string(&config)?;
    report.rule("it does not start with version 1", reaches(&stage, 1, false));
    // Half a file changes nothing.
    reload(&stage, &config, &good[..good.len() / 2])?;
    std::thread::sleep(Duration::from_millis(200));
    report.rule("half a file was taken", reaches(&stage, 1, false));
    reload(&stage, &config, &bad_config(&good)?)?;
    report.rule("the signal did not begin a probation", reaches(&stage, 2, true));
    let versions = stage.socket.with_file_name("versions");
    let written = || std::fs::read_to_string(&versions).is_ok_and(|text| text.contains("\nstep probation "));
    report.rule("the probation was not written down", wait_until(Duration::from_secs(2), written));
    stage.backend.node.kill_and_restart()?;
    report.rule("it does not start on the last good version", reaches(&stage, 1, false));
    let logged = stage.node().read_log().contains("started on the last good version");
    report.rule("that was not said", logged);
    stage.node().signal("HUP");
    std::thread::sleep(Duration::from_millis(300));
    report.rule("what was on probation was taken again", reaches(&stage, 1, false));
    // A state that is damaged is logged, and the process serves what its file says.
    std::fs::write(&versions, "asterrill state 1\nsum 12\n")?;
    std::fs::write(&config, &good)?;
    stage.backend.node.kill_and_restart()?;
    report.rule("a damaged state stops it", reaches(&stage, 1, false));
    let logged = stage.node().read_log().contains("a state file is not used");
    report.rule("a damaged state was not logged", logged);
    let rates = [RateSpan::new(Duration::from_secs(1), 100.0)];
    let stats = run_load(stage.node().address, &FRAMED_METHODS, &rates, seed, &AtomicBool::new(false))?;
    check_framed(report, &[&stats]);
    stage.check_versions(report)?;
    stage.end(report);
    Ok(())
}

/// Whether the process comes to run a version, on probation or not.
fn reaches(stage: &Stage, version: u64, probation: bool) -> bool {
    wait_until(REACHED_WITHIN, || {
        let holds = |status: Value| {
            status["version"] == json!(version) && status["probation"].is_object() == probation
        };
        stage.status().is_ok_and(holds)
    })
}

fn reload(stage: &Stage, config: &Path, text: &str) -> Result<(), ScenarioError> {
    std::fs::write(config, text)?;
    stage.node().signal("HUP");
    Ok(())
}

/// The platform's file with a deadline that is too short, and fewer cores.
fn bad_config(good: &str) -> Result<String, ScenarioError> {
    let mut bad: Value = serde_json::from_str(good)?;
    bad["settings"]["Categories"][0]["DeadlineMs"] = json!(150);
    bad["settings"]["FamilyInfo"]["NCores"] = json!(3);
    Ok(bad.to_string())
}

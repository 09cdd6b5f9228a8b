//! Scenario `config-good`: a good change of the same keys, with a jump in load for odd seeds. The settled version stays
//! over a restart, until the file of the configuration changes.

use super::managed_backend::{accepted, check_framed, ManagedBackend};
use crate::load::{in_time, run_load, RateSpan};
use crate::method::FRAMED_METHODS;
use crate::report::{Report, ScenarioError};
use crate::time::ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(30);
const PROBATION_US: u64 = 8_000_000;
/// Deadline of a method in a file that is changed before a restart.
const CHANGED_DEADLINE_MS: u64 = 777;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// End of a probation.
struct Settled {
    after_ms: u64,
    version: Value,
}

/// Runs `config-good`.
pub fn good_change(report: &mut Report, seed: u64, rate: f64) -> Result<(), ScenarioError> {
    let mut managed = ManagedBackend::start(seed + 1_000, false)?;
    let never_stopped = AtomicBool::new(false);
    let address = managed.node().address;
    let before = run_load(address, &FRAMED_METHODS, &[RateSpan::new(ms(4_000), rate)], seed, &never_stopped)?;
    let jump = seed % 2 == 1;
    report.set("jump", json!(jump));
    let text = managed.platform_file(changed_settings(&managed, seed));
    let staged = managed.request(json!({"do": "stage", "text": text}))?;
    report.rule("the change was rejected", accepted(&staged));
    let rates = match jump {
        true => vec![(ms(1_500), rate), (ms(3_500), rate * 3.0), (ms(5_000), rate)],
        false => vec![(ms(10_000), rate)],
    };
    let rates: Vec<RateSpan> = rates.into_iter().map(|(span, rate)| RateSpan::new(span, rate)).collect();
    let load = std::thread::spawn(move || {
        run_load(address, &FRAMED_METHODS, &rates, seed + 1, &AtomicBool::new(false))
            .map_err(|e| e.to_string())
    });
    std::thread::sleep(ms(300));
    let start = Instant::now();
    let applied = managed.request(json!({"do": "apply", "probation_us": PROBATION_US}))?;
    report.rule("the change was not applied", accepted(&applied));
    // A second change during the probation is rejected, and the reason names the probation.
    let text = managed.platform_file(managed.setup.settings());
    let second = managed.request(json!({"do": "stage", "text": text}))?;
    let rejected_for_probation = second["error"].as_str().unwrap_or("").contains("on probation");
    report.rule("a second change was not rejected because of the probation", rejected_for_probation);
    let settled = wait_for_settlement(&managed, start)?;
    let during = load.join().map_err(|_| "the load thread panicked")??;
    let final_version = settled.as_ref().is_some_and(|settled| settled.version == json!(2));
    report.set("why", json!(managed.last_reason()?));
    report.set("undone", json!(!final_version));
    report.set("settled_after_ms", json!(settled.map(|settled| settled.after_ms)));
    report.rule("a good change was undone or not settled within 30 s", final_version);
    report.set("in_time_before", json!(in_time(&before, &FRAMED_METHODS)));
    report.set("in_time_during", json!(in_time(&during, &FRAMED_METHODS)));
    check_framed(report, &[&before, &during]);
    managed.check_versions(report)?;
    check_restarts(report, &mut managed)?;
    managed.shut_down(report);
    Ok(())
}

/// Restarts the process with the file as it was, and then with another one.
fn check_restarts(report: &mut Report, managed: &mut ManagedBackend) -> Result<(), ScenarioError> {
    let settled = managed.status()?;
    managed.backend.node.kill_and_restart()?;
    let restarted = managed.status()?;
    let kept = ["version", "hash"].iter().all(|field| restarted[field] == settled[field]);
    report.rule("a settled version was replaced at a restart by the file that it had replaced", kept);
    let path = managed.node().dir.join("config.json");
    let mut file: Value = serde_json::from_str(&std::fs::read_to_string(&path)?)?;
    file["settings"]["Categories"][1]["DeadlineMs"] = json!(CHANGED_DEADLINE_MS);
    std::fs::write(&path, file.to_string())?;
    managed.backend.node.kill_and_restart()?;
    let restarted = managed.status()?;
    let used = restarted["version"] == json!(3) && restarted["hash"] != settled["hash"];
    report.rule("a file that had changed was not used at a restart", used);
    Ok(())
}

fn changed_settings(managed: &ManagedBackend, seed: u64) -> Value {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut settings = managed.setup.settings();
    settings["FamilyInfo"]["RamKb"] = json!(rng.random_range(150_000..300_000));
    settings["Safety"]["TipMultiple"] = json!(rng.random_range(6..12));
    settings["Categories"][0]["Worth"] = json!(rng.random_range(4.0..6.0));
    settings["Categories"][1]["DeadlineMs"] = json!(rng.random_range(700..1200));
    settings
}

/// Waits until no version is on probation. Returns `None` if that takes too long.
fn wait_for_settlement(managed: &ManagedBackend, start: Instant) -> Result<Option<Settled>, ScenarioError> {
    while start.elapsed() < SETTLEMENT_TIMEOUT {
        std::thread::sleep(POLL_INTERVAL);
        let status = managed.status()?;
        if status["probation"].is_null() {
            let after_ms = start.elapsed().as_millis() as u64;
            return Ok(Some(Settled { after_ms, version: status["version"].clone() }));
        }
    }
    Ok(None)
}

//! `config-good`: a good change of the same keys, with a jump in load for every second seed.

use super::stage::{accepted, check_framed, Stage};
use crate::load::{in_time, run_load, RateSpan};
use crate::method::FRAMED_METHODS;
use crate::report::{Report, ScenarioError};
use crate::time::ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const SETTLED_WITHIN: Duration = Duration::from_secs(30);
const PROBATION_US: u64 = 8_000_000;
const POLL: Duration = Duration::from_millis(20);

/// How a probation ended.
struct Settled {
    after_ms: u64,
    version: Value,
}

/// Plays it.
pub fn good_change(report: &mut Report, seed: u64, rate: f64) -> Result<(), ScenarioError> {
    let stage = Stage::start(seed + 1_000, false)?;
    let never = AtomicBool::new(false);
    let at = stage.node().address;
    let before = run_load(at, &FRAMED_METHODS, &[RateSpan::new(ms(4_000), rate)], seed, &never)?;
    let jump = seed % 2 == 1;
    report.set("jump", json!(jump));
    let text = stage.platform_file(changed_settings(&stage, seed));
    let staged = stage.request(json!({"do": "stage", "text": text}))?;
    report.rule("it was refused", accepted(&staged));
    let rates = match jump {
        true => vec![(ms(1_500), rate), (ms(3_500), rate * 3.0), (ms(5_000), rate)],
        false => vec![(ms(10_000), rate)],
    };
    let rates: Vec<RateSpan> = rates.into_iter().map(|(span, rate)| RateSpan::new(span, rate)).collect();
    let load = std::thread::spawn(move || {
        run_load(at, &FRAMED_METHODS, &rates, seed + 1, &AtomicBool::new(false)).map_err(|e| e.to_string())
    });
    std::thread::sleep(ms(300));
    let start = Instant::now();
    let applied = stage.request(json!({"do": "apply", "probation_us": PROBATION_US}))?;
    report.rule("it was not applied", accepted(&applied));
    // A second change before this one has settled: rejected with the reason.
    let text = stage.platform_file(stage.setup.settings());
    let second = stage.request(json!({"do": "stage", "text": text}))?;
    let for_the_first = second["error"].as_str().unwrap_or("").contains("on probation");
    report.rule("a second change was not refused for the first", for_the_first);
    let settled = wait_for_settlement(&stage, start)?;
    let during = load.join().map_err(|_| "the load ended badly")??;
    let stays = settled.as_ref().is_some_and(|settled| settled.version == json!(2));
    report.set("why", json!(stage.last_reason()?));
    report.set("undone", json!(!stays));
    report.set("settled_after_ms", json!(settled.map(|settled| settled.after_ms)));
    report.rule("a good change was undone", stays);
    report.set("in_time_before", json!(in_time(&before, &FRAMED_METHODS)));
    report.set("in_time_during", json!(in_time(&during, &FRAMED_METHODS)));
    check_framed(report, &[&before, &during]);
    stage.check_versions(report)?;
    stage.end(report);
    Ok(())
}

fn changed_settings(stage: &Stage, seed: u64) -> Value {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut settings = stage.setup.settings();
    settings["FamilyInfo"]["RamKb"] = json!(rng.random_range(150_000..300_000));
    settings["Safety"]["TipMultiple"] = json!(rng.random_range(6..12));
    settings["Categories"][0]["Worth"] = json!(rng.random_range(4.0..6.0));
    settings["Categories"][1]["DeadlineMs"] = json!(rng.random_range(700..1200));
    settings
}

/// Waits until nothing is on probation any more.
fn wait_for_settlement(stage: &Stage, start: Instant) -> Result<Option<Settled>, ScenarioError> {
    while start.elapsed() < SETTLED_WITHIN {
        std::thread::sleep(POLL);
        let status = stage.status()?;
        if status["probation"].is_null() {
            let after_ms = start.elapsed().as_millis() as u64;
            return Ok(Some(Settled { after_ms, version: status["version"].clone() }));
        }
    }
    Ok(None)
}

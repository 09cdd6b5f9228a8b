//! Scenario `config-rollback`: a bad change, of a kind that the seed selects, under steady load.

use super::managed_backend::{accepted, check_framed, ManagedBackend};
use crate::load::{in_time, run_load, RateSpan};
use crate::method::FRAMED_METHODS;
use crate::report::{Report, ScenarioError};
use crate::time::ms;
use serde_json::{json, Value};
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const MAX_UNDO_MS: u64 = 5_000;
const UNDO_TIMEOUT: Duration = Duration::from_secs(12);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Kind of a bad change.
#[derive(Clone, Copy, PartialEq)]
enum BadChange {
    MemoryTooSmall,
    OneCore,
    DeadlineBelowWorkTime,
    CriticalitySwapped,
    ConcurrencyTooHigh,
    NoCallShare,
}

/// Kinds in the order in which seeds select them.
const KINDS: [BadChange; 6] = [
    BadChange::MemoryTooSmall,
    BadChange::OneCore,
    BadChange::DeadlineBelowWorkTime,
    BadChange::CriticalitySwapped,
    BadChange::ConcurrencyTooHigh,
    BadChange::NoCallShare,
];

impl BadChange {
    fn name(self) -> &'static str {
        match self {
            BadChange::MemoryTooSmall => "memory too small",
            BadChange::OneCore => "one core",
            BadChange::DeadlineBelowWorkTime => "deadline under the work",
            BadChange::CriticalitySwapped => "criticality swapped",
            BadChange::ConcurrencyTooHigh => "crowd too high",
            BadChange::NoCallShare => "no calls",
        }
    }

    /// Returns the factor on the request rate. A wrong order of waiting RPCs, or too much concurrency, has an effect
    /// only under overload.
    fn rate_factor(self) -> f64 {
        match self {
            BadChange::CriticalitySwapped => 2.4,
            BadChange::ConcurrencyTooHigh => 1.6,
            _ => 1.0,
        }
    }

    fn apply(self, settings: &mut Value) {
        match self {
            BadChange::MemoryTooSmall => settings["FamilyInfo"]["RamKb"] = json!(14),
            BadChange::OneCore => settings["FamilyInfo"]["NCores"] = json!(1),
            BadChange::DeadlineBelowWorkTime => {
                for method in settings["Categories"].as_array_mut().into_iter().flatten() {
                    method["AimMs"] = json!(5);
                    method["DeadlineMs"] = json!(6);
                }
            }
            BadChange::CriticalitySwapped => {
                settings["Categories"][0]["Worth"] = json!(0.1);
                settings["Categories"][1]["Worth"] = json!(50);
            }
            BadChange::ConcurrencyTooHigh => {
                settings["Safety"]["TipMultiple"] = json!(400);
                settings["FamilyInfo"]["NCores"] = json!(40);
            }
            BadChange::NoCallShare => {
                settings["FamilyInfo"]["Below"] = json!("shared");
                settings["FamilyInfo"]["CallShare"] = json!(0.0001);
                settings["FamilyInfo"]["DepWindowMs"] = json!(1000);
            }
        }
    }
}

/// Runs `config-rollback`.
pub fn bad_change(report: &mut Report, seed: u64, rate: f64) -> Result<(), ScenarioError> {
    let kind = KINDS[(seed % KINDS.len() as u64) as usize];
    report.set("kind", json!(kind.name()));
    let managed = ManagedBackend::start(seed, kind == BadChange::ConcurrencyTooHigh)?;
    let never_stopped = AtomicBool::new(false);
    let address = managed.node().address;
    let rate = rate * kind.rate_factor();
    let load =
        |span, seed| run_load(address, &FRAMED_METHODS, &[RateSpan::new(span, rate)], seed, &never_stopped);
    load(ms(1_500), seed + 9)?;
    let before = load(ms(8_000), seed)?;
    let mut settings = managed.setup.settings();
    kind.apply(&mut settings);
    let text = managed.platform_file(settings);
    stage_forced(report, &managed, &text)?;
    let during = std::thread::spawn(move || {
        let rates = [RateSpan::new(ms(7_000), rate)];
        run_load(address, &FRAMED_METHODS, &rates, seed + 1, &AtomicBool::new(false))
            .map_err(|e| e.to_string())
    });
    std::thread::sleep(ms(300));
    let start = Instant::now();
    let applied = managed.request(json!({"do": "apply", "if_base": 1}))?;
    report.rule("the change was not applied", accepted(&applied));
    report.set("apply_us", applied["took_us"].clone());
    let undone_after_ms = wait_for_undo(&managed, start)?;
    let during = during.join().map_err(|_| "the load thread panicked")??;
    report.set("why", json!(managed.last_reason()?));
    report.set("undone", json!(undone_after_ms.is_some()));
    report.set("undo_after_ms", json!(undone_after_ms));
    let undone_in_time = undone_after_ms.is_some_and(|after| after < MAX_UNDO_MS);
    report.rule("the change was not undone within 5 s", undone_in_time);
    load(ms(2_000), seed + 8)?;
    let after = load(ms(8_000), seed)?;
    let [in_time_before, in_time_during, in_time_after] =
        [&before, &during, &after].map(|stats| in_time(stats, &FRAMED_METHODS));
    report.set("in_time_before", json!(in_time_before));
    report.set("in_time_during", json!(in_time_during));
    report.set("in_time_after", json!(in_time_after));
    report.rule(
        "the in-time fraction after the undo is lower than before the change by 0.02 or more",
        (in_time_before - in_time_after).abs() < 0.02 || in_time_after > in_time_before,
    );
    check_framed(report, &[&before, &during, &after]);
    managed.check_versions(report)?;
    let again = managed.request(json!({"do": "stage", "text": text}))?;
    report.rule("the undone change was staged again", !accepted(&again));
    managed.shut_down(report);
    Ok(())
}

/// Stages the change, with force if it is rejected without.
fn stage_forced(report: &mut Report, managed: &ManagedBackend, text: &str) -> Result<(), ScenarioError> {
    let unforced = managed.request(json!({"do": "stage", "text": text}))?;
    report.set("refused_unforced", json!(!accepted(&unforced)));
    let staged = match accepted(&unforced) {
        true => unforced,
        false => managed.request(json!({"do": "stage", "text": text, "force": true}))?,
    };
    if !accepted(&staged) {
        return Err(format!("the change was not staged even with force; answer: {staged}").into());
    }
    Ok(())
}

/// Returns the time in ms from `start` until the first version was in force again, or `None` if it was not in time.
fn wait_for_undo(managed: &ManagedBackend, start: Instant) -> Result<Option<u64>, ScenarioError> {
    while start.elapsed() < UNDO_TIMEOUT {
        std::thread::sleep(POLL_INTERVAL);
        if managed.status()?["version"] == json!(1) {
            return Ok(Some(start.elapsed().as_millis() as u64));
        }
    }
    Ok(None)
}

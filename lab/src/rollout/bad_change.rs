//! `config-rollback`: a bad change, of a kind drawn from the seed, under steady load.

use super::stage::{accepted, check_framed, Stage};
use crate::load::{in_time, run_load, RateSpan};
use crate::method::FRAMED_METHODS;
use crate::report::{Report, ScenarioError};
use crate::time::ms;
use serde_json::{json, Value};
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const UNDONE_WITHIN_MS: u64 = 5_000;
const WATCHED: Duration = Duration::from_secs(12); // for an undo
const POLL: Duration = Duration::from_millis(20);

/// What is bad about a change.
#[derive(Clone, Copy, PartialEq)]
enum BadChange {
    MemoryTooSmall,
    OneCore,
    DeadlineUnderTheWork,
    CriticalitySwapped,
    ConcurrencyTooHigh,
    NoCalls,
}

/// The kinds in the order in which seeds draw them.
const KINDS: [BadChange; 6] = [
    BadChange::MemoryTooSmall,
    BadChange::OneCore,
    BadChange::DeadlineUnderTheWork,
    BadChange::CriticalitySwapped,
    BadChange::ConcurrencyTooHigh,
    BadChange::NoCalls,
];

impl BadChange {
    fn name(self) -> &'static str {
        match self {
            BadChange::MemoryTooSmall => "memory too small",
            BadChange::OneCore => "one core",
            BadChange::DeadlineUnderTheWork => "deadline under the work",
            BadChange::CriticalitySwapped => "criticality swapped",
            BadChange::ConcurrencyTooHigh => "crowd too high",
            BadChange::NoCalls => "no calls",
        }
    }

    /// Where only the order among the waiting is wrong, or only a crowd harms, it must be crowded to show.
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
            BadChange::DeadlineUnderTheWork => {
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
            BadChange::NoCalls => {
                settings["FamilyInfo"]["Below"] = json!("shared");
                settings["FamilyInfo"]["CallShare"] = json!(0.0001);
                settings["FamilyInfo"]["DepWindowMs"] = json!(1000);
            }
        }
    }
}

/// Plays it.
pub fn bad_change(report: &mut Report, seed: u64, rate: f64) -> Result<(), ScenarioError> {
    let kind = KINDS[(seed % KINDS.len() as u64) as usize];
    report.set("kind", json!(kind.name()));
    let stage = Stage::start(seed, kind == BadChange::ConcurrencyTooHigh)?;
    let never = AtomicBool::new(false);
    let at = stage.node().address;
    let rate = rate * kind.rate_factor();
    let load = |span, seed| run_load(at, &FRAMED_METHODS, &[RateSpan::new(span, rate)], seed, &never);
    load(ms(1_500), seed + 9)?;
    let before = load(ms(8_000), seed)?;
    let mut settings = stage.setup.settings();
    kind.apply(&mut settings);
    let text = stage.platform_file(settings);
    stage_forced(report, &stage, &text)?;
    let during = std::thread::spawn(move || {
        let rates = [RateSpan::new(ms(7_000), rate)];
        run_load(at, &FRAMED_METHODS, &rates, seed + 1, &AtomicBool::new(false)).map_err(|e| e.to_string())
    });
    std::thread::sleep(ms(300));
    let start = Instant::now();
    let applied = stage.request(json!({"do": "apply", "if_base": 1}))?;
    report.rule("it was not applied", accepted(&applied));
    report.set("apply_us", applied["took_us"].clone());
    let undone_after_ms = wait_for_undo(&stage, start)?;
    let during = during.join().map_err(|_| "the load ended badly")??;
    report.set("why", json!(stage.last_reason()?));
    report.set("undone", json!(undone_after_ms.is_some()));
    report.set("undo_after_ms", json!(undone_after_ms));
    let in_due_time = undone_after_ms.is_some_and(|after| after < UNDONE_WITHIN_MS);
    report.rule("it was not undone within 5 s", in_due_time);
    load(ms(2_000), seed + 8)?;
    let after = load(ms(8_000), seed)?;
    let [was, meanwhile, is] = [&before, &during, &after].map(|stats| in_time(stats, &FRAMED_METHODS));
    report.set("in_time_before", json!(was));
    report.set("in_time_during", json!(meanwhile));
    report.set("in_time_after", json!(is));
    report.rule("service is not what it was", (was - is).abs() < 0.02 || is > was);
    check_framed(report, &[&before, &during, &after]);
    stage.check_versions(report)?;
    let again = stage.request(json!({"do": "stage", "text": text}))?;
    report.rule("what was undone was taken again", !accepted(&again));
    stage.end(report);
    Ok(())
}

/// Stages the change, by force if it is rejected.
fn stage_forced(report: &mut Report, stage: &Stage, text: &str) -> Result<(), ScenarioError> {
    let unforced = stage.request(json!({"do": "stage", "text": text}))?;
    report.set("refused_unforced", json!(!accepted(&unforced)));
    let staged = match accepted(&unforced) {
        true => unforced,
        false => stage.request(json!({"do": "stage", "text": text, "force": true}))?,
    };
    if !accepted(&staged) {
        return Err(format!("it was not staged: {staged}").into());
    }
    Ok(())
}

/// How long after `start` the first version ran again, in ms.
fn wait_for_undo(stage: &Stage, start: Instant) -> Result<Option<u64>, ScenarioError> {
    while start.elapsed() < WATCHED {
        std::thread::sleep(POLL);
        if stage.status()?["version"] == json!(1) {
            return Ok(Some(start.elapsed().as_millis() as u64));
        }
    }
    Ok(None)
}

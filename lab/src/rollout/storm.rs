//! `config-storm`: a thousand changes in a row under load, a client that sends half a line and stays, and signals in
//! between.

use super::stage::{accepted, check_framed, operator_file, Stage};
use crate::broker::{Broker, FaultScript};
use crate::control::connect_when_ready;
use crate::load::{in_time, run_load, sum, RateSpan};
use crate::method::FRAMED_METHODS;
use crate::queue::{endless_stock_queue, report_broker_ledger};
use crate::report::{Report, ScenarioError};
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::time::Duration;

const LOAD: Duration = Duration::from_secs(8);
const MEMORY_GROWTH_MB: f64 = 2.0; // that is allowed behind the first quarter of the changes

/// What the changes took.
#[derive(Default)]
struct Changes {
    took_us: Vec<u64>,
    /// Changes that a signal brought in between.
    by_signal: u64,
    /// Memory after a quarter of them.
    early_mb: f64,
}

/// Plays it with so many changes.
pub fn storm(report: &mut Report, seed: u64, changes: u64, rate: f64) -> Result<(), ScenarioError> {
    let broker = Broker::start(FaultScript::default())?;
    broker.state().endless_queue = Some(endless_stock_queue());
    let stage = Stage::start_with(seed + 2_000, false, Some(&broker))?;
    let at = stage.node().address;
    let load = std::thread::spawn(move || {
        let rates = [RateSpan::new(LOAD, rate)];
        run_load(at, &FRAMED_METHODS, &rates, seed, &AtomicBool::new(false)).map_err(|e| e.to_string())
    });
    let mut half_line = connect_when_ready(&stage.socket)?;
    half_line.write_all(b"{\"v\": 1, \"do\": \"sta")?;
    std::thread::sleep(Duration::from_millis(1_000));
    let made = make_changes(report, &stage, &broker, changes)?;
    report_changes(report, made, stage.node().memory_mb());
    let stats = load.join().map_err(|_| "the load ended badly")??;
    check_framed(report, &[&stats]);
    report.rule("nothing was answered ok", sum(&stats, |s| s.ok) > 0);
    report.set("in_time", json!(in_time(&stats, &FRAMED_METHODS)));
    stage.check_versions(report)?;
    drop(half_line);
    stage.end(report);
    std::thread::sleep(Duration::from_millis(50));
    let ledger = broker.ledger();
    report_broker_ledger(report, &ledger);
    report.rule("no delivery was taken", ledger.acked > 0);
    Ok(())
}

fn make_changes(
    report: &mut Report, stage: &Stage, broker: &Broker, changes: u64,
) -> Result<Changes, ScenarioError> {
    let mut made = Changes::default();
    for n in 0..changes {
        let stage_request = json!({"do": "stage", "text": changed_file(stage, broker, n), "force": true});
        let mut staged = stage.request(stage_request.clone())?;
        // A signal came in between, whose change is on probation now: that one is settled first.
        if staged["error"].as_str().is_some_and(|why| why.contains("on probation")) {
            made.by_signal += 1;
            stage.request(json!({"do": "settle"}))?;
            staged = stage.request(stage_request)?;
        }
        if is_operators(n) && !accepted(&staged) {
            report.set("refused", staged.clone());
        }
        report.rule("a change was not staged", accepted(&staged));
        let applied = stage.request(json!({"do": "apply"}))?;
        made.took_us.extend(applied["took_us"].as_u64());
        let ended = stage.request(json!({"do": if n % 5 == 4 { "undo" } else { "settle" }}))?;
        report.rule("a change was neither settled nor undone", accepted(&ended));
        if n % 50 == 0 {
            stage.node().signal("HUP");
        }
        if n == changes / 4 {
            made.early_mb = stage.node().memory_mb();
        }
    }
    Ok(made)
}

/// Every seventh change is of the operator's file, with deliveries of its queue in flight.
fn is_operators(n: u64) -> bool {
    n % 7 == 3
}

fn changed_file(stage: &Stage, broker: &Broker, n: u64) -> String {
    if is_operators(n) {
        let secret = stage.node().dir.join("password").display().to_string();
        let state: PathBuf = stage.socket.parent().map(Path::to_path_buf).unwrap_or_default();
        let file = operator_file(&stage.socket, &state, Some((broker, 8 + n % 40)));
        return file.replace("{password}", &secret);
    }
    let mut settings = stage.setup.settings();
    settings["FamilyInfo"]["RamKb"] = json!(150_000 + n % 7 * 1_000 + 1);
    // Every third change removes a method, or brings it back, while RPCs of it are in flight.
    if n.is_multiple_of(3) {
        settings["Categories"].as_array_mut().map(|all: &mut Vec<Value>| all.remove(1));
    }
    stage.platform_file(settings)
}

fn report_changes(report: &mut Report, mut made: Changes, late_mb: f64) {
    made.took_us.sort_unstable();
    report.set("changes", json!(made.took_us.len()));
    report.set("changes_by_signal", json!(made.by_signal));
    report.rule("no signal brought a change", made.by_signal > 0);
    report.set("apply_us_median", json!(made.took_us.get(made.took_us.len() / 2)));
    report.set("apply_us_most", json!(made.took_us.last()));
    report.set("memory_mb_early", json!(made.early_mb));
    report.set("memory_mb_late", json!(late_mb));
    report.rule("memory grew with the changes", late_mb < made.early_mb + MEMORY_GROWTH_MB);
}

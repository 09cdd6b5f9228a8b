//! Scenario `config-storm`: a thousand changes in a row under load, with signals between them and a client that sends
//! an incomplete line and keeps its connection open.

use super::managed_backend::{accepted, check_framed, operator_file, ManagedBackend};
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

const LOAD_TIME: Duration = Duration::from_secs(8);
/// Growth of memory that is allowed after the first quarter of the changes.
const MAX_MEMORY_GROWTH_MB: f64 = 2.0;

/// Figures of the changes.
#[derive(Default)]
struct Changes {
    took_us: Vec<u64>,
    /// Changes that a signal caused between them.
    by_signal: u64,
    /// Memory in MB after a quarter of the changes.
    early_mb: f64,
}

/// Runs `config-storm` with a number of changes.
pub fn storm(report: &mut Report, seed: u64, changes: u64, rate: f64) -> Result<(), ScenarioError> {
    let broker = Broker::start(FaultScript::default())?;
    broker.state().endless_queue = Some(endless_stock_queue());
    let managed = ManagedBackend::start_with(seed + 2_000, false, Some(&broker))?;
    let address = managed.node().address;
    let load = std::thread::spawn(move || {
        let rates = [RateSpan::new(LOAD_TIME, rate)];
        run_load(address, &FRAMED_METHODS, &rates, seed, &AtomicBool::new(false)).map_err(|e| e.to_string())
    });
    let mut incomplete_client = connect_when_ready(&managed.socket)?;
    incomplete_client.write_all(b"{\"v\": 1, \"do\": \"sta")?;
    std::thread::sleep(Duration::from_millis(1_000));
    let made = make_changes(report, &managed, &broker, changes)?;
    report_changes(report, made, managed.node().memory_mb());
    let stats = load.join().map_err(|_| "the load thread panicked")??;
    check_framed(report, &[&stats]);
    report.rule("no framed RPC was answered with a result", sum(&stats, |s| s.ok) > 0);
    report.set("in_time", json!(in_time(&stats, &FRAMED_METHODS)));
    managed.check_versions(report)?;
    drop(incomplete_client);
    managed.shut_down(report);
    std::thread::sleep(Duration::from_millis(50));
    let ledger = broker.ledger();
    report_broker_ledger(report, &ledger);
    report.rule("no delivery was acknowledged", ledger.acked > 0);
    Ok(())
}

fn make_changes(
    report: &mut Report, managed: &ManagedBackend, broker: &Broker, changes: u64,
) -> Result<Changes, ScenarioError> {
    let mut made = Changes::default();
    for n in 0..changes {
        let stage_request = json!({"do": "stage", "text": changed_file(managed, broker, n), "force": true});
        let mut staged = managed.request(stage_request.clone())?;
        // The change that a signal caused is on probation: settle it first.
        if staged["error"].as_str().is_some_and(|why| why.contains("on probation")) {
            made.by_signal += 1;
            managed.request(json!({"do": "settle"}))?;
            staged = managed.request(stage_request)?;
        }
        if changes_operator_file(n) && !accepted(&staged) {
            report.set("refused", staged.clone());
        }
        report.rule("a change was not staged", accepted(&staged));
        let applied = managed.request(json!({"do": "apply"}))?;
        made.took_us.extend(applied["took_us"].as_u64());
        let ended = managed.request(json!({"do": if n % 5 == 4 { "undo" } else { "settle" }}))?;
        report.rule("a change was neither settled nor undone", accepted(&ended));
        if n % 50 == 0 {
            managed.node().signal("HUP");
        }
        if n == changes / 4 {
            made.early_mb = managed.node().memory_mb();
        }
    }
    Ok(made)
}

/// Reports whether a change is of the operator's file, as every seventh is, with deliveries of its queue in flight.
fn changes_operator_file(n: u64) -> bool {
    n % 7 == 3
}

fn changed_file(managed: &ManagedBackend, broker: &Broker, n: u64) -> String {
    if changes_operator_file(n) {
        let secret = managed.node().dir.join("password").display().to_string();
        let state: PathBuf = managed.socket.parent().map(Path::to_path_buf).unwrap_or_default();
        let file = operator_file(&managed.socket, &state, Some((broker, 8 + n % 40)));
        return file.replace("{password}", &secret);
    }
    let mut settings = managed.setup.settings();
    settings["FamilyInfo"]["RamKb"] = json!(150_000 + n % 7 * 1_000 + 1);
    // Every third change removes a method, and a later one restores it, while RPCs of it are in flight.
    if n.is_multiple_of(3) {
        settings["Categories"].as_array_mut().map(|all: &mut Vec<Value>| all.remove(1));
    }
    managed.platform_file(settings)
}

fn report_changes(report: &mut Report, mut made: Changes, late_mb: f64) {
    made.took_us.sort_unstable();
    report.set("changes", json!(made.took_us.len()));
    report.set("changes_by_signal", json!(made.by_signal));
    report.rule("no change was caused by a signal", made.by_signal > 0);
    report.set("apply_us_median", json!(made.took_us.get(made.took_us.len() / 2)));
    report.set("apply_us_most", json!(made.took_us.last()));
    report.set("memory_mb_early", json!(made.early_mb));
    report.set("memory_mb_late", json!(late_mb));
    report.rule(
        "memory grew by 2 MB or more after the first quarter of the changes",
        late_mb < made.early_mb + MAX_MEMORY_GROWTH_MB,
    );
}

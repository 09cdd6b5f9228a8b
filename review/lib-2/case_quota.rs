//! The first tenant's quota is configured on a deployment whose requests name no tenant.

use crate::agent::Agent;
use crate::harness::*;
use crate::settings::{Class, Deployment};
use crate::sidecar::{record_by_second, Load, Request};
use std::path::Path;
use std::time::{Duration, Instant};

const BASELINE: Duration = Duration::from_secs(14);
/// The operator's probation. The program may extend it to three times its length.
const PROBATION_S: u64 = 8;
const LAST_SPAN: Duration = Duration::from_secs(5);

pub fn play(root: &Path, record: &Record, trouble: bool) -> Step<bool> {
    let dir = TempDir::new("quota")?;
    let agent = Agent::start(&[("slot-check", 30), ("till-check", 20)], record, true)?;
    let naming = start_name_service()?;
    let address = free_address()?;
    let class = |name| Class { name, aim_ms: 990, deadline_ms: 3300, effect: "free", window_ms: 5000 };
    let deployment = Deployment::new(vec![class("slot-check"), class("till-check")]);
    let text = deployment.file(&address.to_string(), &agent.address.to_string(), &naming.to_string());
    let config = dir.file("config.json", &text)?;
    let socket = dir.path("control");
    let operator_file = dir.file("operator.conf", &format!("[changes]\ncontrol {socket}\nprobation 30s\n"))?;
    let mut backend = Backend::start(root, &dir, &config, Some(&operator_file), address, "log")?;
    std::thread::sleep(Duration::from_millis(500));

    let request = Request {
        class: "slot-check".into(),
        tenant: None,
        patience_ms: 2500,
        client: 1,
        body: "slot".into(),
    };
    let start = Instant::now();
    // Four sidecars, 60 requests a second together: a tenth of what the cores can do.
    let load = Load::start(address, &request, 12, Duration::from_millis(200));
    std::thread::sleep(BASELINE);
    let (before, before_good) = load.served(start + Duration::from_secs(2), Instant::now());
    record.say(format!("before the change: {before} requests sent, {before_good} served"));
    if before < 300 || (before_good as f64) < 0.95 * before as f64 {
        return Err("the backend does not serve a light load without trouble".into());
    }
    let applied_at = Instant::now();
    if trouble {
        let step = dir.file("step.jsonl", "{\"put\":\"tenant\",\"Name\":\"tanta\",\"QuotaRps\":40}\n")?;
        let probation = format!("{PROBATION_S}s");
        let told =
            operator(root, &socket, record, &["apply", &step.display().to_string(), "--probation", &probation])?;
        if told.code != 0 {
            record.say("the change was rejected by the checks: it did no harm");
        }
    }
    // Three times the probation, and some seconds in which service would be back.
    std::thread::sleep(Duration::from_secs(3 * PROBATION_S + 2) + LAST_SPAN);
    let until = Instant::now() - Duration::from_millis(500);
    let (after, after_good) = load.served(until - LAST_SPAN, until);
    let first_good = load
        .sent
        .lock()
        .unwrap()
        .iter()
        .filter(|one| one.at > applied_at + Duration::from_secs(1) && one.good)
        .map(|one| one.at)
        .min();
    let status = operator(root, &socket, record, &["status", "--json"])?;
    let history = operator(root, &socket, record, &["history"])?;
    record_by_second(&load, start, record);
    load.end();
    backend.signal(SIGTERM);
    let end = backend.wait(Duration::from_secs(8));
    copy_log(&dir, "log", record, &["\"what\"", "configuration", "what:"]);
    record.say(format!("end of the process: {}", end.unwrap_or_else(|| "none".into())));
    record.say(format!(
        "{} s after the change, in the last {} s: {after} requests sent, {after_good} served",
        (until - applied_at).as_secs(),
        LAST_SPAN.as_secs()
    ));
    match first_good {
        Some(at) => record.say(format!("first request served again after {} ms", (at - applied_at).as_millis())),
        None => record.say("no request was served any more"),
    }
    let settled = history.text.contains("settled");
    record.say(format!("the change was settled: {settled}; undone: {}", history.text.contains("undone")));
    if status.code != 0 {
        return Err("no answer at the control socket".into());
    }
    // Broken: service dropped by more than half, and three probations later the change is still in force.
    let dropped = (after_good as f64) < 0.5 * after as f64;
    Ok(trouble && dropped)
}

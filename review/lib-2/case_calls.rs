//! Some calls of messages are never answered, on a site whose runs can't be stopped.

use crate::agent::Agent;
use crate::broker::{Broker, Message, QUEUE};
use crate::harness::*;
use crate::records::Records;
use crate::settings::{Class, Deployment};
use crate::sidecar::{record_by_second, Load, Request};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One call in this many is never answered, for this long.
const SILENT_EVERY: u64 = 5;
const SILENT_FOR: Duration = Duration::from_secs(50);
/// Time from the end of the trouble to the end of the observation.
const AFTER: Duration = Duration::from_secs(30);
const LAST_SPAN: Duration = Duration::from_secs(10);

pub fn play(root: &Path, record: &Record, trouble: bool) -> Step<bool> {
    let dir = TempDir::new("calls")?;
    let agent = Agent::start_with_calls(&[("save-profile", 30), ("apply", 30)], Some("apply"), record, true)?;
    let broker = Broker::start(record, Duration::from_millis(5), true)?;
    let records = Records::start()?;
    let naming = start_name_service()?;
    let address = free_address()?;
    let deployment = Deployment {
        cores: 2,
        stop_mode: "off",
        grace_ms: 2500,
        late_worth: 0.0,
        ram_kb: 10_000,
        run_factor: 8,
        records: Some(records.address.to_string()),
        ..Deployment::new(vec![
            Class { name: "apply", aim_ms: 600, deadline_ms: 1500, effect: "guarded", window_ms: 13_413 },
            Class { name: "save-profile", aim_ms: 600, deadline_ms: 1500, effect: "free", window_ms: 0 },
        ])
    };
    let text = deployment.file(&address.to_string(), &agent.address.to_string(), &naming.to_string());
    let config = dir.file("config.json", &text)?;
    let password = dir.file("password", "secret\n")?;
    let operator_file = dir.file(
        "operator.conf",
        &format!(
            "[broker]\naddress {}\nuser lookup\npassword-file {}\nreconnect 100ms 1s\n\
             [queue {QUEUE}]\nmethod apply\nprefetch 32\nbound 5s\nmemory 24k\n",
            broker.address,
            password.display()
        ),
    )?;
    let mut backend = Backend::start(root, &dir, &config, Some(&operator_file), address, "log")?;
    std::thread::sleep(Duration::from_secs(1));
    let request =
        Request { class: "save-profile".into(), tenant: None, patience_ms: 1500, client: 1, body: "p".into() };
    let start = Instant::now();
    let load = Load::start(address, &request, 8, Duration::from_millis(400));
    let stop = Arc::new(AtomicBool::new(false));
    let publisher = {
        let (broker, stop) = (broker.clone(), stop.clone());
        std::thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                broker.publish(&format!("m{n}"), &format!("application {n}"), None);
                std::thread::sleep(Duration::from_millis(66));
            }
        })
    };
    std::thread::sleep(Duration::from_secs(8));
    let (before, before_good) = load.served(start + Duration::from_secs(2), Instant::now());
    record.say(format!("before the trouble: {before} requests sent, {before_good} served"));
    if (before_good as f64) < 0.9 * before as f64 {
        return Err("the load is not served without trouble".into());
    }
    if trouble {
        record.say(format!("one call in {SILENT_EVERY} is not answered, for {} s", SILENT_FOR.as_secs()));
        records.leave_unanswered(SILENT_EVERY);
    }
    std::thread::sleep(SILENT_FOR);
    records.leave_unanswered(0);
    let over = Instant::now();
    let settled = |messages: &[Message]| messages.iter().filter(|m| m.is_settled()).count();
    let settled_then = settled(&broker.messages());
    record.say(format!(
        "all calls are answered again; so far {} calls, {} of them not answered; {} runs wait for a reply",
        records.calls.load(Ordering::Relaxed),
        records.unanswered.load(Ordering::Relaxed),
        agent.waiting_for_calls()
    ));
    std::thread::sleep(AFTER);
    let until = Instant::now() - Duration::from_millis(500);
    let (sent, good) = load.served(until - LAST_SPAN, until);
    let late: Vec<_> = broker.messages();
    stop.store(true, Ordering::Relaxed);
    let _ = publisher.join();
    record_by_second(&load, start, record);
    load.end();
    let waiting = agent.waiting_for_calls();
    backend.signal(SIGTERM);
    let end = backend.wait(Duration::from_secs(8));
    copy_log(&dir, "log", record, &["stopped"]);
    record.say(format!("end of the process: {}", end.unwrap_or_else(|| "none".into())));
    record.say(format!("{waiting} runs still wait for the reply to a call"));
    record.say(format!(
        "in the {} s after the trouble {} messages were acknowledged or rejected",
        AFTER.as_secs(),
        settled(&late) - settled_then
    ));
    record.say(format!(
        "messages: {} published, {} acknowledged, {} rejected",
        late.len(),
        late.iter().filter(|m| m.acked > 0).count(),
        late.iter().filter(|m| m.rejected > 0).count()
    ));
    record.say(format!(
        "{} to {} s after the end of the trouble: {sent} requests of sidecars sent, {good} served",
        (until - LAST_SPAN - over).as_secs(),
        (until - over).as_secs()
    ));
    // The share that the operators' gate wants of each third of a day at the least.
    Ok((good as f64) < 0.2 * sent as f64)
}

//! An operator's file is applied whose queue names a header that the messages don't have.

use crate::agent::Agent;
use crate::broker::{Broker, QUEUE};
use crate::harness::*;
use crate::settings::{Class, Deployment};
use crate::sidecar::{record_by_second, Load, Request};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROBATION_S: u64 = 8;
const BASELINE: Duration = Duration::from_secs(12);

pub fn play(root: &Path, record: &Record, trouble: bool) -> Step<bool> {
    let dir = TempDir::new("route")?;
    let agent = Agent::start(&[("till-price", 20), ("stock-update", 40)], record, true)?;
    let broker = Broker::start(record, Duration::from_millis(5), true)?;
    let naming = start_name_service()?;
    let address = free_address()?;
    let class = |name| Class { name, aim_ms: 1400, deadline_ms: 3600, effect: "free", window_ms: 5000 };
    let deployment = Deployment::new(vec![class("till-price"), class("stock-update")]);
    let text = deployment.file(&address.to_string(), &agent.address.to_string(), &naming.to_string());
    let config = dir.file("config.json", &text)?;
    let password = dir.file("password", "secret\n")?;
    let socket = dir.path("control");
    let operator_text = |route: &str| {
        format!(
            "[changes]\ncontrol {socket}\nprobation 30s\n\
             [broker]\naddress {}\nuser lookup\npassword-file {}\nreconnect 100ms 1s\n\
             [queue {QUEUE}]\n{route}\nprefetch 32\n",
            broker.address,
            password.display()
        )
    };
    let operator_file = dir.file("operator.conf", &operator_text("method stock-update"))?;
    let mut backend = Backend::start(root, &dir, &config, Some(&operator_file), address, "log")?;
    let request =
        Request { class: "till-price".into(), tenant: None, patience_ms: 2500, client: 1, body: "till".into() };
    std::thread::sleep(Duration::from_millis(500));
    let start = Instant::now();
    let load = Load::start(address, &request, 8, Duration::from_millis(250));
    let stop = Arc::new(AtomicBool::new(false));
    let publisher = {
        let (broker, stop) = (broker.clone(), stop.clone());
        std::thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                broker.publish(&format!("m{n}"), &format!("update {n}"), None);
                std::thread::sleep(Duration::from_millis(50));
            }
        })
    };
    std::thread::sleep(BASELINE);
    let before = broker.messages();
    let settled_before = before.iter().filter(|m| m.acked == 1).count();
    record.say(format!("before the change: {} messages published, {settled_before} acknowledged", before.len()));
    if settled_before + 40 < before.len() || before.iter().any(|m| m.rejected > 0) {
        return Err("the queue is not served without trouble".into());
    }
    let applied_at = Instant::now();
    if trouble {
        let changed = dir.file("new.conf", &operator_text("method-header kind"))?;
        let probation = format!("{PROBATION_S}s");
        let path = changed.display().to_string();
        let told = operator(root, &socket, record, &["apply", &path, "--probation", &probation])?;
        if told.code != 0 {
            record.say("the change was rejected by the checks: it did no harm");
        }
    }
    std::thread::sleep(Duration::from_secs(3 * PROBATION_S + 8));
    let history = operator(root, &socket, record, &["history"])?;
    let counted_until = broker.messages().len();
    stop.store(true, Ordering::Relaxed);
    let _ = publisher.join();
    std::thread::sleep(Duration::from_secs(3));
    let messages = broker.messages();
    record_by_second(&load, start, record);
    load.end();
    backend.signal(SIGTERM);
    let end = backend.wait(Duration::from_secs(8));
    copy_log(&dir, "log", record, &["configuration", "no route"]);
    let after = &messages[before.len()..counted_until];
    let rejected = after.iter().filter(|m| m.rejected > 0).count();
    let thrown_away = after.iter().filter(|m| m.rejected > 0 && agent.starts(&m.body) == 0).count();
    let last = &messages[counted_until.saturating_sub(80)..counted_until];
    let last_rejected = last.iter().filter(|m| m.rejected > 0).count();
    for message in messages.iter().step_by(40) {
        record.add(format!(
            "message {}: delivered {}, acknowledged {}, rejected {}, requeued {}, runs {}",
            message.id,
            message.deliveries,
            message.acked,
            message.rejected,
            message.requeued,
            agent.starts(&message.body)
        ));
    }
    record.say(format!("end of the process: {}", end.unwrap_or_else(|| "none".into())));
    record.say(format!(
        "in the {} s after the change: {} messages published, {rejected} rejected, {thrown_away} of them never run",
        (Instant::now() - applied_at).as_secs(),
        after.len()
    ));
    record.say(format!("of the last {} messages {last_rejected} were rejected", last.len()));
    record.say(format!(
        "the change was settled: {}; undone: {}",
        history.text.contains("settled"),
        history.text.contains("undone")
    ));
    Ok(last_rejected * 2 > last.len())
}

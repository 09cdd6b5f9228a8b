//! The agent sends a remark that is longer than usual.

use crate::agent::Agent;
use crate::harness::*;
use crate::settings::{Class, Deployment};
use crate::sidecar::{record_by_second, Load, Request};
use std::path::Path;
use std::time::{Duration, Instant};

const REMARK_BYTES: usize = 600;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Step<bool> {
    let dir = TempDir::new("aside")?;
    let agent = Agent::start(&[("price-check", 30)], record, true)?;
    let naming = start_name_service()?;
    let address = free_address()?;
    let class = Class { name: "price-check", aim_ms: 1400, deadline_ms: 3600, effect: "free", window_ms: 5000 };
    let deployment = Deployment::new(vec![class]);
    let text = deployment.file(&address.to_string(), &agent.address.to_string(), &naming.to_string());
    let config = dir.file("config.json", &text)?;
    let mut backend = Backend::start(root, &dir, &config, None, address, "log")?;
    std::thread::sleep(Duration::from_millis(500));
    let request =
        Request { class: "price-check".into(), tenant: None, patience_ms: 2500, client: 1, body: "p".into() };
    let start = Instant::now();
    let load = Load::start(address, &request, 12, Duration::from_millis(200));
    std::thread::sleep(Duration::from_secs(5));
    if trouble {
        agent.remark(&"x".repeat(REMARK_BYTES));
    } else {
        agent.remark("short");
    }
    let at = Instant::now();
    std::thread::sleep(Duration::from_secs(20));
    let until = Instant::now() - Duration::from_millis(500);
    let (sent, good) = load.served(at + Duration::from_secs(8), until);
    record_by_second(&load, start, record);
    load.end();
    backend.signal(SIGTERM);
    let end = backend.wait(Duration::from_secs(8));
    copy_log(&dir, "log", record, &["agent", "stopped"]);
    record.say(format!("links opened to the agent: {}", agent.links()));
    record.say(format!("end of the process: {}", end.unwrap_or_else(|| "none".into())));
    record.say(format!("8 to 20 s after the remark: {sent} requests sent, {good} served"));
    // The share that the operators' gate wants of each third of a day at the least.
    Ok((good as f64) < 0.2 * sent as f64)
}

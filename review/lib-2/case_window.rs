//! The window of a class whose requests may come again is made longer between a request and its repeat.

use crate::agent::Agent;
use crate::harness::*;
use crate::settings::{Class, Deployment};
use crate::sidecar::{Connection, Fate, Request, SERVED};
use std::path::Path;
use std::time::{Duration, Instant};

const OLD_WINDOW_MS: u64 = 4000;
const NEW_WINDOW_MS: u64 = 27_783;
const REQUESTS: usize = 5;
/// Time from a request to its repeat: beyond the old window, within the new one.
const REPEAT_AFTER: Duration = Duration::from_millis(6000);

pub fn play(root: &Path, record: &Record, trouble: bool) -> Step<bool> {
    let dir = TempDir::new("window")?;
    let agent = Agent::start(&[("qc-flag", 60)], record, false)?;
    let naming = start_name_service()?;
    let address = free_address()?;
    let file = |window_ms| {
        let class = Class { name: "qc-flag", aim_ms: 3500, deadline_ms: 9300, effect: "guarded", window_ms };
        let deployment = Deployment::new(vec![class]);
        deployment.file(&address.to_string(), &agent.address.to_string(), &naming.to_string())
    };
    let config = dir.file("config.json", &file(OLD_WINDOW_MS))?;
    let socket = dir.path("control");
    let operator_file = dir.file("operator.conf", &format!("[changes]\ncontrol {socket}\nprobation 60s\n"))?;
    let mut backend = Backend::start(root, &dir, &config, Some(&operator_file), address, "log")?;
    std::thread::sleep(Duration::from_secs(1));
    let apply = || -> Step<()> {
        let changed = dir.file("new.json", &file(NEW_WINDOW_MS))?;
        let told = operator(root, &socket, record, &["apply", &changed.display().to_string()])?;
        match told.code {
            0 => Ok(()),
            code => Err(format!("the change was rejected with exit code {code}")),
        }
    };
    if !trouble {
        apply()?;
        std::thread::sleep(Duration::from_secs(1));
    }
    let request = |n: usize| Request {
        class: "qc-flag".into(),
        tenant: None,
        patience_ms: 3000,
        client: 1,
        body: format!("flag {n}"),
    };
    let mut connection = Connection::open(address).ok_or("no connection")?;
    let first = Instant::now();
    for n in 0..REQUESTS {
        let fate = connection.call(&request(n), Duration::from_secs(4));
        record.add(format!("request {n}: {}", shown(&fate)));
        if !matches!(fate, Fate::Answered(SERVED, _)) {
            return Err("a request is not served".into());
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        apply()?;
    }
    std::thread::sleep(REPEAT_AFTER.saturating_sub(first.elapsed()));
    let mut twice = 0;
    for n in 0..REQUESTS {
        let after = first.elapsed();
        let fate = connection.call(&request(n), Duration::from_secs(4));
        let runs = agent.starts(&request(n).body);
        record.say(format!("repeat of request {n} after some {} ms: {}; runs {runs}", after.as_millis(), shown(&fate)));
        twice += usize::from(runs > 1);
    }
    operator(root, &socket, record, &["status", "--json"])?;
    backend.signal(SIGTERM);
    let end = backend.wait(Duration::from_secs(8));
    record.say(format!("end of the process: {}", end.unwrap_or_else(|| "none".into())));
    record.say(format!("{twice} of {REQUESTS} requests ran twice within {NEW_WINDOW_MS} ms, the window in force"));
    Ok(twice > 0)
}

fn shown(fate: &Fate) -> String {
    match fate {
        Fate::Answered(code, body) => format!("code {code}, result {:?}", String::from_utf8_lossy(body)),
        Fate::Closed => "the connection ended".into(),
        Fate::Silence => "no answer".into(),
    }
}

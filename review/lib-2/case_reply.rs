//! The notice to leave arrives while messages run whose replies have to be confirmed.

use crate::agent::Agent;
use crate::broker::{Broker, Message, QUEUE};
use crate::harness::*;
use crate::settings::{Class, Deployment};
use std::path::Path;
use std::time::{Duration, Instant};

const STOP_MS: u64 = 4000;
/// Time that a run takes, some 17 times the usual work of the class: longer than what is left after the notice.
const WORK_MS: u64 = 5000;
/// Time until the broker confirms a published reply.
const CONFIRM_MS: u64 = 50;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Step<bool> {
    let dir = TempDir::new("reply")?;
    let agent = Agent::start(&[("apply", WORK_MS), ("search-jobs", 300)], record, false)?;
    let broker = Broker::start(record, Duration::from_millis(CONFIRM_MS), false)?;
    let naming = start_name_service()?;
    let address = free_address()?;
    let deployment = Deployment {
        stop_ms: STOP_MS,
        cores: 2,
        stop_mode: "off",
        grace_ms: 2500,
        ..Deployment::new(vec![
            Class { name: "apply", aim_ms: 1800, deadline_ms: 4500, effect: "guarded", window_ms: 13_413 },
            Class { name: "search-jobs", aim_ms: 1800, deadline_ms: 4500, effect: "free", window_ms: 0 },
        ])
    };
    let successor = Deployment { seed: "51e0aa9d3c7744b1", ..deployment.clone() };
    let text = deployment.file(&address.to_string(), &agent.address.to_string(), &naming.to_string());
    let config = dir.file("config.json", &text)?;
    let password = dir.file("password", "secret\n")?;
    let operator_file = dir.file(
        "operator.conf",
        &format!(
            "[broker]\naddress {}\nuser lookup\npassword-file {}\nreconnect 100ms 1s\n\
             [queue {QUEUE}]\nmethod apply\nprefetch 32\n",
            broker.address,
            password.display()
        ),
    )?;
    let mut backend = Backend::start(root, &dir, &config, Some(&operator_file), address, "log")?;
    // The number of messages that may be out grows to more than one within some seconds.
    std::thread::sleep(Duration::from_secs(5));
    for n in 1..=6 {
        broker.publish(&format!("m{n}"), &format!("application {n}"), Some("answers"));
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_millis(450));
    if agent.started() == 0 {
        return Err("the messages are not run".into());
    }
    if !trouble {
        // The same, and the notice comes once all is done.
        std::thread::sleep(Duration::from_secs(25));
    }
    let noticed = Instant::now();
    record.say(format!("SIGTERM, with stop_ms {STOP_MS}; {} runs have begun", agent.started()));
    backend.signal(SIGTERM);
    let end = backend.wait(Duration::from_secs(8));
    record.say(format!(
        "end of the process: {}, {} ms after the notice",
        end.clone().unwrap_or_else(|| "none".into()),
        noticed.elapsed().as_millis()
    ));
    if end.as_deref() != Some("exit code 0") {
        return Err("the backend did not end by itself".into());
    }
    // What the broker has received by now is all that this process sent.
    std::thread::sleep(Duration::from_millis(500));
    copy_log(&dir, "log", record, &["stopped"]);
    let answered =
        |m: &Message| broker.replies().iter().filter(|(to, ..)| *to == m.id).map(|r| r.1.clone()).collect::<Vec<_>>();
    let mut broken = Vec::new();
    for message in broker.messages() {
        let (runs, replies) = (agent.starts(&message.body), answered(&message));
        let bad = runs > 0 && !replies.is_empty() && !message.is_settled() && message.requeued == 0;
        record.say(format!(
            "message {}: runs {runs}, replies {replies:?}, acknowledged {}, rejected {}, requeued {}{}",
            message.id,
            message.acked,
            message.rejected,
            message.requeued,
            if bad { "  <- run, answered, neither acknowledged nor rejected" } else { "" }
        ));
        if bad {
            broken.push(message.id);
        }
    }
    record.say(format!("{} messages were run and answered, and neither acknowledged nor rejected", broken.len()));
    if !broken.is_empty() {
        // What comes of it: the broker has to deliver them again, here to the successor.
        agent.backend_restarts();
        let text = successor.file(&address.to_string(), &agent.address.to_string(), &naming.to_string());
        let config = dir.file("config.json", &text)?;
        let mut successor = Backend::start(root, &dir, &config, Some(&operator_file), address, "log2")?;
        std::thread::sleep(Duration::from_secs(25));
        for message in broker.messages().iter().filter(|message| broken.contains(&message.id)) {
            record.say(format!(
                "message {} after the successor's work: runs {}, replies {:?}, acknowledged {}, rejected {}",
                message.id,
                agent.starts(&message.body),
                answered(message),
                message.acked,
                message.rejected
            ));
        }
        successor.signal(SIGTERM);
        let _ = successor.wait(Duration::from_secs(6));
    }
    Ok(!broken.is_empty())
}

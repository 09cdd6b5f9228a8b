//! Scenarios of changes of the configuration: bad ones under load, that have to be undone, and good ones that stay.

use crate::amqp::{shares, World, LOOK, PRICE, UPDATE};
use crate::broker::{Broker, Script};
use crate::load::{in_time, play, sum, Tallies};
use crate::report::{Fault, Report};
use crate::world::{Method, Setup};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Asks the daemon one thing, over its control socket.
fn ask(path: &Path, mut request: Value) -> Result<Value, Fault> {
    request["v"] = json!(1);
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}

/// The kinds of bad changes, in the order in which seeds draw them.
const KINDS: [&str; 6] = [
    "memory too small",
    "one core",
    "deadline under the work",
    "criticality swapped",
    "crowd too high",
    "no calls",
];

/// Makes the settings bad in one way.
fn spoil(settings: &mut Value, kind: &str) {
    match kind {
        "memory too small" => settings["FamilyInfo"]["RamKb"] = json!(14),
        "one core" => settings["FamilyInfo"]["NCores"] = json!(1),
        "deadline under the work" => {
            for category in settings["Categories"].as_array_mut().into_iter().flatten() {
                category["AimMs"] = json!(5);
                category["DeadlineMs"] = json!(6);
            }
        }
        "criticality swapped" => {
            settings["Categories"][0]["Worth"] = json!(0.1);
            settings["Categories"][1]["Worth"] = json!(50);
        }
        "crowd too high" => {
            settings["Safety"]["TipMultiple"] = json!(400);
            settings["FamilyInfo"]["NCores"] = json!(40);
        }
        _ => {
            settings["FamilyInfo"]["Below"] = json!("shared");
            settings["FamilyInfo"]["CallShare"] = json!(0.0001);
            settings["FamilyInfo"]["DepWindowMs"] = json!(1000);
        }
    }
}

struct Stage {
    world: World,
    setup: Setup,
    socket: PathBuf,
}

/// The operator's file: where operators are listened to, and a queue if there is a broker.
fn operators(socket: &Path, dir: &Path, broker: Option<(&Broker, u64)>) -> String {
    let (socket, dir) = (socket.display(), dir.display());
    let changes = format!("[changes]\ncontrol {socket}\nstate {dir}\n[log]\nformat json\n");
    let queue = broker.map_or(String::new(), |(broker, prefetch)| {
        let at = broker.at;
        format!(
            "[broker]\naddress {at}\nuser u\npassword-file {{password}}\n[queue stock]\nmethod stock-update\n\
             prefetch {prefetch}\n"
        )
    });
    changes + &queue
}

/// A backend that listens to operators, busy to seven tenths.
fn stage(seed: u64, crowded: bool) -> Result<Stage, Fault> {
    stage_with(seed, crowded, None)
}

fn stage_with(seed: u64, crowded: bool, broker: Option<&Broker>) -> Result<Stage, Fault> {
    let dir = std::env::temp_dir().join(format!("asterrill-lab-{}-c{seed}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let socket = dir.join("control");
    std::fs::remove_file(&socket).unwrap_or_default();
    let file = operators(&socket, &dir, broker.map(|broker| (broker, 32)));
    let methods = [
        Method { work: ms(8), calls: false, ..PRICE },
        Method { work: ms(10), calls: true, ..LOOK },
        Method { work: ms(4), ..UPDATE },
    ];
    let setup = Setup {
        methods: methods.to_vec(),
        cores: 4,
        memory_mb: 32,
        sockets: 384,
        stop_ms: 3_000,
        file: Some(file),
        say: "window",
        program: None,
        loses: None,
        ramp: ms(1_000),
        skips: 0.0,
        shared: None,
        callers: 4,
    };
    let password = broker.map_or(String::new(), |broker| broker.state().password.clone());
    let world = World::start(&setup, &password)?;
    world.agent.runs().thrashes = crowded;
    Ok(Stage { world, setup, socket })
}

/// What a file of the platform with these settings looks like.
fn file(setup: &Setup, settings: Value) -> String {
    let limits = json!({"cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets});
    json!({"name": "n1", "listen": "127.0.0.1:1", "agent": "127.0.0.1:1", "naming": "127.0.0.1:1", "seed": "1",
        "stop_ms": setup.stop_ms, "limits": limits, "settings": settings})
    .to_string()
}

fn framed(report: &mut Report, all: &[&Tallies]) {
    let count = |of: fn(&crate::load::Tally) -> u64| all.iter().map(|tallies| sum(tallies, of)).sum::<u64>();
    let (lost, twice, wrong) = (count(|t| t.lost), count(|t| t.twice), count(|t| t.wrong));
    report.set("no_final_answer", json!(lost));
    report.set("answered_twice", json!(twice));
    report.rule("a framed RPC got no final answer", lost == 0);
    report.rule("a framed RPC was answered twice", twice == 0);
    report.rule("a framed RPC got the result of another", wrong == 0);
}

fn versions(report: &mut Report, socket: &Path) -> Result<Value, Fault> {
    let status = ask(socket, json!({"do": "status"}))?;
    let half = status["counters"]["half_applied"].as_u64();
    report.set("half_applied_seen", json!(half));
    report.rule("an answer was decided under parts of two versions", half == Some(0));
    Ok(status)
}

/// A bad change, of a kind drawn from the seed, under steady load.
pub fn rollback(report: &mut Report, seed: u64, rate: f64) -> Result<(), Fault> {
    let kind = KINDS[(seed % KINDS.len() as u64) as usize];
    report.set("kind", json!(kind));
    let mut stage = stage(seed, kind == "crowd too high")?;
    let none = AtomicBool::new(false);
    let (at, of) = (stage.world.node.at, shares());
    // Where only the order among the waiting is wrong, or only a crowd harms, it must be crowded to show.
    let rate = match kind {
        "criticality swapped" => rate * 2.4,
        "crowd too high" => rate * 1.6,
        _ => rate,
    };
    play(at, &of, &[(ms(1_500), rate)], seed + 9, &none)?;
    let before = play(at, &of, &[(ms(8_000), rate)], seed, &none)?;
    let mut settings = stage.setup.settings();
    spoil(&mut settings, kind);
    let text = file(&stage.setup, settings);
    let plain = ask(&stage.socket, json!({"do": "stage", "text": text}))?;
    report.set("refused_unforced", json!(plain["ok"] != json!(true)));
    let staged = match plain["ok"] == json!(true) {
        true => plain,
        false => ask(&stage.socket, json!({"do": "stage", "text": text, "force": true}))?,
    };
    if staged["ok"] != json!(true) {
        return Err(format!("it was not staged: {staged}").into());
    }
    let load = std::thread::spawn(move || {
        play(at, &of, &[(ms(7_000), rate)], seed + 1, &AtomicBool::new(false)).map_err(|e| e.to_string())
    });
    std::thread::sleep(ms(300));
    let start = Instant::now();
    let applied = ask(&stage.socket, json!({"do": "apply", "if_base": 1}))?;
    report.rule("it was not applied", applied["ok"] == json!(true));
    report.set("apply_us", applied["took_us"].clone());
    let mut undone = None;
    while undone.is_none() && start.elapsed() < Duration::from_secs(12) {
        std::thread::sleep(ms(20));
        let status = ask(&stage.socket, json!({"do": "status"}))?;
        if status["version"] == json!(1) {
            undone = Some(start.elapsed().as_millis() as u64);
        }
    }
    let during = load.join().map_err(|_| "the load ended badly")??;
    let history = ask(&stage.socket, json!({"do": "history"}))?;
    let last = history["history"].as_array().and_then(|all| all.last());
    report.set("why", json!(last.map(|event| event["why"].clone())));
    report.set("undone", json!(undone.is_some()));
    report.set("undo_after_ms", json!(undone));
    report.rule("it was not undone within 5 s", undone.is_some_and(|after| after < 5_000));
    play(at, &shares(), &[(ms(2_000), rate)], seed + 8, &none)?;
    let after = play(at, &shares(), &[(ms(8_000), rate)], seed, &none)?;
    let shares = shares();
    let [was, meanwhile, is] = [&before, &during, &after].map(|tallies| in_time(tallies, &shares));
    report.set("in_time_before", json!(was));
    report.set("in_time_during", json!(meanwhile));
    report.set("in_time_after", json!(is));
    report.rule("service is not what it was", (was - is).abs() < 0.02 || is > was);
    framed(report, &[&before, &during, &after]);
    versions(report, &stage.socket)?;
    let again = ask(&stage.socket, json!({"do": "stage", "text": text}))?;
    report.rule("what was undone was taken again", again["ok"] != json!(true));
    end(report, &mut stage)
}

/// A good change of the same keys, with a jump in load for every second seed.
pub fn good(report: &mut Report, seed: u64, rate: f64) -> Result<(), Fault> {
    let mut chance = StdRng::seed_from_u64(seed);
    let mut stage = stage(seed + 1_000, false)?;
    let none = AtomicBool::new(false);
    let (at, of) = (stage.world.node.at, shares());
    let before = play(at, &of, &[(ms(4_000), rate)], seed, &none)?;
    let mut settings = stage.setup.settings();
    settings["FamilyInfo"]["RamKb"] = json!(chance.random_range(150_000..300_000));
    settings["Safety"]["TipMultiple"] = json!(chance.random_range(6..12));
    settings["Categories"][0]["Worth"] = json!(chance.random_range(4.0..6.0));
    settings["Categories"][1]["DeadlineMs"] = json!(chance.random_range(700..1200));
    let jump = seed % 2 == 1;
    report.set("jump", json!(jump));
    let text = file(&stage.setup, settings);
    let staged = ask(&stage.socket, json!({"do": "stage", "text": text}))?;
    report.rule("it was refused", staged["ok"] == json!(true));
    let rates = if jump {
        vec![(ms(1_500), rate), (ms(3_500), rate * 3.0), (ms(5_000), rate)]
    } else {
        vec![(ms(10_000), rate)]
    };
    let load = std::thread::spawn(move || {
        play(at, &of, &rates, seed + 1, &AtomicBool::new(false)).map_err(|e| e.to_string())
    });
    std::thread::sleep(ms(300));
    let start = Instant::now();
    let applied = ask(&stage.socket, json!({"do": "apply", "probation_us": 8_000_000}))?;
    report.rule("it was not applied", applied["ok"] == json!(true));
    // A second change before this one has settled: refused with the reason.
    let second =
        ask(&stage.socket, json!({"do": "stage", "text": file(&stage.setup, stage.setup.settings())}))?;
    let said = second["error"].as_str().unwrap_or("").contains("on probation");
    report.rule("a second change was not refused for the first", said);
    let mut settled = None;
    while settled.is_none() && start.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(ms(20));
        let status = ask(&stage.socket, json!({"do": "status"}))?;
        if status["probation"].is_null() {
            settled = Some((start.elapsed().as_millis() as u64, status["version"].clone()));
        }
    }
    let during = load.join().map_err(|_| "the load ended badly")??;
    let stays = settled.as_ref().is_some_and(|(_, version)| *version == json!(2));
    let history = ask(&stage.socket, json!({"do": "history"}))?;
    let last = history["history"].as_array().and_then(|all| all.last());
    report.set("why", json!(last.map(|event| event["why"].clone())));
    report.set("undone", json!(!stays));
    report.set("settled_after_ms", json!(settled.map(|(after, _)| after)));
    report.rule("a good change was undone", stays);
    report.set("in_time_before", json!(in_time(&before, &shares())));
    report.set("in_time_during", json!(in_time(&during, &shares())));
    framed(report, &[&before, &during]);
    versions(report, &stage.socket)?;
    end(report, &mut stage)
}

/// A thousand changes in a row under load, a client that sends half a line and stays, and signals in between.
pub fn storm(report: &mut Report, seed: u64, changes: u64, rate: f64) -> Result<(), Fault> {
    let broker = Broker::start(Script::default())?;
    broker.state().endless = Some(("stock".into(), crate::amqp::endless));
    let mut stage = stage_with(seed + 2_000, false, Some(&broker))?;
    let (at, of) = (stage.world.node.at, shares());
    let secret = stage.world.node.dir.join("password").display().to_string();
    let state = stage.socket.parent().map(Path::to_path_buf).unwrap_or_default();
    let span = Duration::from_secs(8);
    let load = std::thread::spawn(move || {
        play(at, &of, &[(span, rate)], seed, &AtomicBool::new(false)).map_err(|e| e.to_string())
    });
    let mut half = UnixStream::connect(&stage.socket)?;
    half.write_all(b"{\"v\": 1, \"do\": \"sta")?;
    std::thread::sleep(ms(1_000));
    let (mut early, mut took, mut signalled) = (0.0, Vec::new(), 0);
    for n in 0..changes {
        let mut settings = stage.setup.settings();
        settings["FamilyInfo"]["RamKb"] = json!(150_000 + n % 7 * 1_000 + 1);
        // Every third change removes a method, or brings it back, while RPCs of it are in hand.
        if n % 3 == 0 {
            settings["Categories"].as_array_mut().map(|all| all.remove(1));
        }
        // Every seventh is of the queue, with deliveries of it in hand.
        let text = match n % 7 {
            3 => operators(&stage.socket, &state, Some((&broker, 8 + n % 40))).replace("{password}", &secret),
            _ => file(&stage.setup, settings),
        };
        let wish = json!({"do": "stage", "text": text, "force": true});
        let mut staged = ask(&stage.socket, wish.clone())?;
        // A signal came in between, whose change is on probation now: that one is settled first.
        if staged["error"].as_str().is_some_and(|why| why.contains("on probation")) {
            signalled += 1;
            ask(&stage.socket, json!({"do": "settle"}))?;
            staged = ask(&stage.socket, wish)?;
        }
        if n % 7 == 3 && staged["ok"] != json!(true) {
            report.set("refused", staged.clone());
        }
        report.rule("a change was not staged", staged["ok"] == json!(true));
        let applied = ask(&stage.socket, json!({"do": "apply"}))?;
        took.extend(applied["took_us"].as_u64());
        let done = ask(&stage.socket, json!({"do": if n % 5 == 4 { "undo" } else { "settle" }}))?;
        report.rule("a change was neither settled nor undone", done["ok"] == json!(true));
        if n % 50 == 0 {
            stage.world.node.signal("HUP");
        }
        if n == changes / 4 {
            early = stage.world.node.memory_mb();
        }
    }
    let late = stage.world.node.memory_mb();
    took.sort_unstable();
    report.set("changes", json!(took.len()));
    report.set("changes_by_signal", json!(signalled));
    report.rule("no signal brought a change", signalled > 0);
    report.set("apply_us_median", json!(took.get(took.len() / 2)));
    report.set("apply_us_most", json!(took.last()));
    report.set("memory_mb_early", json!(early));
    report.set("memory_mb_late", json!(late));
    report.rule("memory grew with the changes", late < early + 2.0);
    let tallies = load.join().map_err(|_| "the load ended badly")??;
    framed(report, &[&tallies]);
    report.rule("nothing was answered ok", sum(&tallies, |t| t.ok) > 0);
    report.set("in_time", json!(in_time(&tallies, &shares())));
    versions(report, &stage.socket)?;
    drop(half);
    end(report, &mut stage)?;
    std::thread::sleep(ms(50));
    let kept = broker.ledger();
    crate::amqp::ledger(report, &kept);
    report.rule("no delivery was taken", kept.acked > 0);
    Ok(())
}

/// Killed in the middle of a probation that a signal began: the last good version starts, though the file says the
/// other, and what was on probation is not taken again.
pub fn crash(report: &mut Report, seed: u64) -> Result<(), Fault> {
    let mut stage = stage(seed + 3_000, false)?;
    let path = stage.world.node.dir.join("config.json");
    let good = std::fs::read_to_string(&path)?;
    let mut bad: Value = serde_json::from_str(&good)?;
    bad["settings"]["Categories"][0]["DeadlineMs"] = json!(150);
    bad["settings"]["FamilyInfo"]["NCores"] = json!(3);
    let status = || ask(&stage.socket, json!({"do": "status"}));
    let reach = |version: u64, probation: bool| {
        crate::amqp::until(Duration::from_secs(5), || {
            let holds = |s: Value| s["version"] == json!(version) && s["probation"].is_object() == probation;
            status().is_ok_and(holds)
        })
    };
    report.rule("it does not start with version 1", reach(1, false));
    // Half a file changes nothing.
    std::fs::write(&path, &good[..good.len() / 2])?;
    stage.world.node.signal("HUP");
    std::thread::sleep(ms(200));
    report.rule("half a file was taken", reach(1, false));
    std::fs::write(&path, bad.to_string())?;
    stage.world.node.signal("HUP");
    report.rule("the signal did not begin a probation", reach(2, true));
    let kept = stage.socket.with_file_name("versions");
    let written = || std::fs::read_to_string(&kept).is_ok_and(|text| text.contains("\nstep probation "));
    report.rule("the probation was not written down", crate::amqp::until(ms(2_000), written));
    stage.world.node.crash()?;
    report.rule("it does not start on the last good version", reach(1, false));
    let started = stage.world.node.read_log().contains("started on the last good version");
    report.rule("that was not said", started);
    stage.world.node.signal("HUP");
    std::thread::sleep(ms(300));
    report.rule("what was on probation was taken again", reach(1, false));
    // A state that is damaged is told, and the process serves what its file says.
    std::fs::write(&kept, "asterrill state 1\nsum 12\n")?;
    std::fs::write(&path, &good)?;
    stage.world.node.crash()?;
    report.rule("a damaged state stops it", reach(1, false));
    let told = stage.world.node.read_log().contains("a state file is not used");
    report.rule("a damaged state was not told", told);
    let none = AtomicBool::new(false);
    let tallies = play(stage.world.node.at, &shares(), &[(ms(1_000), 100.0)], seed, &none)?;
    framed(report, &[&tallies]);
    versions(report, &stage.socket)?;
    end(report, &mut stage)
}

fn end(report: &mut Report, stage: &mut Stage) -> Result<(), Fault> {
    stage.world.node.signal("TERM");
    let code = stage.world.node.ended(Duration::from_secs(6));
    report.rule("the node did not end well", code == Some(0));
    let log = stage.world.node.read_log();
    let events = log.lines().filter(|line| {
        let event: Option<Value> = serde_json::from_str(line).ok();
        event.is_some_and(|e| {
            e["msg"] == json!("configuration") && e["hash"].is_string() && e["why"].is_string()
        })
    });
    let events = events.count();
    report.set("events_logged", json!(events));
    report.rule("no change was logged with its figures", events > 1);
    if let Some(dir) = stage.socket.parent() {
        std::fs::remove_dir_all(dir).unwrap_or_default();
    }
    Ok(())
}

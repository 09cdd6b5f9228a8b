//! The configuration of a running process changed by steps of entries, over its control socket and by files that are read
//! again, with what may cross that: judged by what sidecars are answered. No sleep decides a verdict.

mod stand_ins;

use serde_json::{json, Value};
use stand_ins::*;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const OK: u8 = 0;
const ABORTED: u8 = 5;
const PUSHED_BACK: u8 = 11;

/// A process with a control socket and a state directory.
struct Node {
    child: Option<Child>,
    listen: SocketAddr,
    config: Value,
    name: &'static str,
    dir: PathBuf,
    _reports: Receiver<String>,
}

impl Node {
    /// With so many tenants, `t00000` and on.
    fn new(name: &'static str, tenants: usize) -> Node {
        let (listen, mut config, reports) = start_stand_ins(false);
        let all = (0..tenants).map(|n| json!({"Name": tenant(n), "QuotaRps": 100}));
        config["settings"]["Tenants"] = all.collect();
        config["settings"]["FamilyInfo"]["RamKb"] = json!(900_000);
        let dir = std::env::temp_dir().join(format!("asterrilld-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let reply = format!(
            "[changes]\ncontrol {}\nstate {}\nprobation 10m\n",
            dir.join("control").display(),
            dir.join("state").display()
        );
        std::fs::write(dir.join("operator.conf"), reply).unwrap();
        let mut node = Node { child: None, listen, config, name, dir, _reports: reports };
        node.start();
        node
    }
    /// Starts it, on what its file says now.
    fn start(&mut self) {
        self.write();
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterrilld"));
        command.arg("--file").arg(self.dir.join("operator.conf")).env("GW_CONFIG", config_path(self.name));
        self.child = Some(command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap());
        drop(connect(self.listen));
    }
    fn write(&self) {
        std::fs::write(config_path(self.name), self.config.to_string()).unwrap();
    }
    fn signal(&self, name: &str) {
        send_signal(self.child.as_ref().unwrap(), name);
    }
    fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }
    fn request(&self, request: Value) -> Value {
        control_request(&self.dir.join("control"), request)
    }
    fn stage(&self, step: &str) -> Value {
        self.request(json!({"do": "stage", "step": step}))
    }
    /// Stages and applies a step that has to be taken.
    fn stage_and_apply(&self, step: &str) -> Value {
        let staged = self.stage(step);
        assert_eq!(staged["ok"], json!(true), "{staged}");
        let applied = self.request(json!({"do": "apply"}));
        assert_eq!(applied["ok"], json!(true), "{applied}");
        applied
    }
    fn status(&self) -> Value {
        self.request(json!({"do": "status"}))
    }
    /// Ends it in order; what it counted has to be so.
    fn finish(mut self, counted: &[&str]) {
        self.signal("TERM");
        let output = wait_for_exit(self.child.take().unwrap());
        assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
        for counted in counted.iter().chain(&["half_applied=0 "]) {
            assert!(stderr_text(&output).contains(counted), "{counted} {}", stderr_text(&output));
        }
        std::fs::remove_dir_all(&self.dir).unwrap();
    }
}

impl Drop for Node {
    /// Nothing is left behind, also where a test fails.
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap_or_default();
            child.wait().map(drop).unwrap_or_default();
        }
    }
}

fn tenant(n: usize) -> String {
    format!("t{n:05}")
}

fn control_request(socket: &Path, mut request: Value) -> Value {
    request["v"] = json!(1);
    let until = Instant::now() + WAIT;
    let mut stream = loop {
        match UnixStream::connect(socket) {
            Ok(stream) => break stream,
            Err(e) => assert!(Instant::now() < until, "{e}"),
        }
        thread::yield_now();
    };
    stream.set_read_timeout(Some(WAIT * 3)).unwrap();
    stream.write_all(format!("{request}\n").as_bytes()).unwrap();
    let mut line = String::new();
    let mut reader = BufReader::new(&stream);
    reader.read_line(&mut line).unwrap();
    // The client's slot is given back before the connection ends: without the wait the next one could find none free.
    stream.shutdown(std::net::Shutdown::Write).unwrap_or_default();
    drop(reader.read_to_end(&mut Vec::new()));
    serde_json::from_str(&line).unwrap()
}

/// Whether the file of versions holds the complete step that puts this version on probation. Its head, `step probation
/// NUMBER BASE HASH FILE BYTES SUM SUM`, can be on disk before the BYTES of its body.
fn has_complete_probation_step(versions: &str, hash: &str) -> bool {
    let mut rest = versions;
    while let Some((line, after)) = rest.split_once('\n') {
        if line.starts_with("step probation") && line.contains(hash) {
            let body_bytes: usize = line.split(' ').nth(6).unwrap().parse().unwrap();
            return after.len() >= body_bytes;
        }
        rest = after;
    }
    false
}

fn rpc(stream: u32, id: u64, tenant: &str) -> Vec<u8> {
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let (id, born) = (format!("{id:016x}"), born.to_string());
    let fields = [
        ("route", "look"),
        ("trace", &id),
        ("born", &born),
        ("client", "4"),
        ("customer", tenant),
        ("patience", "1900"),
        ("size", "9"),
    ];
    encode_frame(1, stream, &fields, b"body")
}

/// Asks one thing after the other on one connection.
struct Sidecar {
    stream: TcpStream,
    asked: u32,
    of: u64,
}

impl Sidecar {
    fn new(node: &Node, of: u64) -> Sidecar {
        Sidecar { stream: connect(node.listen), asked: 0, of: of << 32 }
    }
    /// The code of the answer.
    fn ask(&mut self, tenant: &str) -> u8 {
        self.asked += 1;
        self.stream.write_all(&rpc(self.asked, self.of + u64::from(self.asked), tenant)).unwrap();
        loop {
            let (kind, on, payload) = read_frame(&mut self.stream).expect("an answer");
            if (kind, on) == (2, self.asked) {
                return payload[0];
            }
            assert_eq!(kind, 6, "on {on}: {payload:?}");
        }
    }
    /// Whether a tenant is served, however busy the server is.
    fn serves(&mut self, tenant: &str) -> bool {
        loop {
            match self.ask(tenant) {
                OK => return true,
                ABORTED => return false,
                code => assert_eq!(code, PUSHED_BACK),
            }
        }
    }
}

#[test]
fn applies_and_undoes_a_step() {
    let node = Node::new("at-once", 3);
    let start = node.status();
    let mut sidecar = Sidecar::new(&node, 1);
    assert!(sidecar.serves(&tenant(0)) && !sidecar.serves("new"));
    let step =
        "{\"put\":\"tenant\",\"Name\":\"new\",\"QuotaRps\":7}\n{\"take\":\"tenant\",\"Name\":\"t00000\"}\n";
    // Only checked at first.
    let diff = node.request(json!({"do": "diff", "step": step}));
    assert_eq!(
        (&diff["ok"], &diff["entries"]),
        (&json!(false), &json!(null)),
        "a tenant that goes is risky: {diff}"
    );
    let diff = node.request(json!({"do": "diff", "step": step, "force": true}));
    let lines = json!(["tenant new: RPCs per second: 0 -> 7", "tenant t00000: removed"]);
    assert_eq!((&diff["entries"], &diff["changes"]), (&json!(2), &lines), "{diff}");
    assert_eq!(node.status()["staged"], json!(null));
    let staged = node.request(json!({"do": "stage", "step": step, "force": true}));
    assert_eq!(
        (&staged["version"], &staged["entries"], &staged["hash"]),
        (&json!(2), &json!(2), &diff["hash"])
    );
    assert!(!sidecar.serves("new") && sidecar.serves(&tenant(0)), "staged only");
    let applied = node.request(json!({"do": "apply"}));
    assert_eq!((&applied["ok"], &applied["hash"]), (&json!(true), &diff["hash"]), "{applied}");
    assert!(sidecar.serves("new") && !sidecar.serves(&tenant(0)) && sidecar.serves(&tenant(1)));
    let undone = node.request(json!({"do": "undo"}));
    assert_eq!((&undone["hash"], &undone["entries"]), (&start["hash"], &json!(2)), "to exactly what was");
    assert!(!sidecar.serves("new") && sidecar.serves(&tenant(0)));
    node.finish(&["changes=2 ", "changes_refused=1 "]);
}

#[test]
fn rejects_invalid_steps() {
    let node = Node::new("wrong", 3);
    let start = node.status();
    let long = "n".repeat(129);
    let put =
        |name: &str, quota: &str| format!("{{\"put\":\"tenant\",\"Name\":\"{name}\",\"QuotaRps\":{quota}}}");
    let fine = put("fine", "1");
    for (step, parts) in [
        ("{\"base\":77}\n".to_string() + &fine, ["made from version 77", "version 1 is running"]),
        (format!("{{\"hash\":\"{}\"}}\n{fine}", "0".repeat(32)), ["made from hash 000", "is running"]),
        (put(&long, "1"), ["line 1", "1 to 128 bytes"]),
        (put("", "1"), ["line 1", "1 to 128 bytes"]),
        (put("fine", "-1"), ["line 1", "QuotaRps"]),
        ("{\"put\":\"tenant\",\"Name\":\"fine\"}".into(), ["line 1", "QuotaRps"]),
        (format!("{fine}\n{fine}"), ["fine", "twice"]),
        (format!("{fine}\n{{\"take\":\"tenant\",\"Name\":\"nobody\"}}"), ["nobody", "not known"]),
        (format!("{fine}\n{{\"take\":\"method\",\"Name\":\"look\"}}"), ["Categories", "last method"]),
        (format!("{fine}\n{{\"put\":\"tenant\",\"Na"), ["line 2", "JSON"]),
        ("{\"frame\":{\"FamilyInfo\":{\"NCores\":0}}}".into(), ["checks", "no core"]),
    ] {
        let reply = node.stage(&step).to_string();
        assert!(
            reply.contains("\"ok\":false") && parts.iter().all(|part| reply.contains(part)),
            "{step}: {reply}"
        );
    }
    // A name of 1 byte and one of 64, and a quota of zero, are none of these.
    let step = [put("n", "0"), put(&"n".repeat(64), "1")].join("\n");
    assert_eq!(node.stage(&step)["entries"], json!(2));
    let status = node.status();
    assert_eq!((&status["version"], &status["hash"]), (&json!(1), &start["hash"]));
    assert_eq!(status["counters"]["changes_refused"], json!(11), "{status}");
    node.finish(&["changes=0 ", "changes_refused=11 "]);
}

#[test]
fn rejects_a_step_made_from_an_older_version() {
    let node = Node::new("cross", 3);
    let hash = node.status()["hash"].as_str().unwrap()[..32].to_string();
    let put = |quota: u32| {
        format!("{{\"base\":1,\"hash\":\"{hash}\"}}\n{{\"put\":\"tenant\",\"Name\":\"t00001\",\"QuotaRps\":{quota}}}")
    };
    let (first, second) = (put(120), put(130));
    node.stage_and_apply(&first);
    assert_eq!(node.request(json!({"do": "settle"}))["ok"], json!(true));
    let reply = node.stage(&second);
    assert_eq!(reply["error"], json!("the change was made from version 1, but version 2 is running"));
    // The same without a number, by its hash alone.
    let reply = node.stage(&second.replace("\"base\":1,", ""));
    assert!(reply["error"].as_str().is_some_and(|why| why.contains("made from hash")), "{reply}");
    assert_eq!(node.status()["version"], json!(2));
    node.finish(&["changes=1 ", "changes_refused=2 "]);
}

/// Sidecars that ask all the time, for tenants that stay.
struct Load {
    over: Arc<AtomicBool>,
    sidecars: Vec<thread::JoinHandle<(u32, u32)>>,
}

impl Load {
    fn new(node: &Node, tenants: usize) -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let ask = |of: u64| {
            let (mut sidecar, over) = (Sidecar::new(node, 100 + of), over.clone());
            thread::spawn(move || {
                let mut aborted = 0;
                while !over.load(Ordering::Relaxed) {
                    let n = (u64::from(sidecar.asked) * 7919 + of) as usize % tenants;
                    aborted += u32::from(sidecar.ask(&tenant(n)) == ABORTED);
                }
                (sidecar.asked, aborted)
            })
        };
        Load { sidecars: (0..3).map(ask).collect(), over }
    }
    /// Each RPC was answered, and none as if its tenant were unknown. How many there were.
    fn finish(self) -> u32 {
        self.over.store(true, Ordering::Relaxed);
        let ended = self.sidecars.into_iter().map(|sidecar| sidecar.join().unwrap());
        ended.fold(0, |all, (asked, aborted)| {
            assert_eq!(aborted, 0, "an RPC of a tenant that is there was aborted");
            all + asked
        })
    }
}

/// A step that gives the first so many tenants another quota, takes those after them up to `all`, and puts as many new
/// ones, `n00000` and on.
fn large_step(quotas: usize, all: usize) -> String {
    let mut step = String::new();
    for n in 0..quotas {
        step.push_str(&format!("{{\"put\":\"tenant\",\"Name\":\"{}\",\"QuotaRps\":120}}\n", tenant(n)));
    }
    for n in quotas..all {
        step.push_str(&format!("{{\"take\":\"tenant\",\"Name\":\"{}\"}}\n", tenant(n)));
        step.push_str(&format!("{{\"put\":\"tenant\",\"Name\":\"n{n:05}\",\"QuotaRps\":120}}\n"));
    }
    step
}

#[test]
fn all_quotas_change_under_load_at_one_moment() {
    const ALL: usize = 49_000;
    const STAY: usize = 47_000;
    let node = Node::new("all", ALL);
    let load = Load::new(&node, STAY);
    // In the order of names the first and the last entry of the change: on one connection there is one moment.
    let (mut sidecar, over) = (Sidecar::new(&node, 7), Arc::new(AtomicBool::new(false)));
    let done = over.clone();
    let (goes, comes) = (tenant(ALL - 1), format!("n{STAY:05}"));
    let prober = thread::spawn(move || {
        let (mut turned, mut seen) = (false, [0; 2]);
        while !done.load(Ordering::Relaxed) || !turned {
            for (name, new) in [(&goes, false), (&comes, true)] {
                let under = sidecar.serves(name) == new;
                assert!(
                    under || !turned,
                    "{name} is decided under the version before after the new one was in force"
                );
                turned |= under;
                seen[usize::from(turned)] += 1;
            }
        }
        seen
    });
    let staged = node.request(json!({"do": "stage", "step": large_step(STAY, ALL), "force": true}));
    assert_eq!((&staged["ok"], &staged["entries"]), (&json!(true), &json!(ALL + ALL - STAY)), "{staged}");
    let applied = node.request(json!({"do": "apply"}));
    assert_eq!(applied["ok"], json!(true), "{applied}");
    over.store(true, Ordering::Relaxed);
    let seen = prober.join().unwrap();
    assert!(seen[0] > 0 && seen[1] > 0, "{seen:?}");
    let mut sidecar = Sidecar::new(&node, 8);
    let undone = node.request(json!({"do": "undo"}));
    assert_eq!(undone["entries"], json!(ALL + ALL - STAY), "{undone}");
    assert!(sidecar.serves(&tenant(ALL - 1)) && !sidecar.serves("n48999"));
    assert!(load.finish() > 100);
    assert_eq!(node.status()["counters"]["half_applied"], json!(0));
    node.finish(&["changes=2 ", "no_buffer=0 "]);
}

#[test]
fn undo_waits_for_the_last_slice_of_a_step() {
    const ALL: usize = 8_000;
    let node = Node::new("undo", ALL);
    let start = node.status();
    let load = Load::new(&node, ALL / 2);
    for _ in 0..5 {
        let staged = node.request(json!({"do": "stage", "step": large_step(ALL / 2, ALL), "force": true}));
        assert_eq!(staged["ok"], json!(true), "{staged}");
        let socket = node.dir.join("control");
        let applies = thread::spawn(move || control_request(&socket, json!({"do": "apply"})));
        // Asked for all the time: the first that comes once the change has begun is carried out after its last slice.
        let until = Instant::now() + WAIT;
        while node.request(json!({"do": "undo"}))["ok"] != json!(true) {
            assert!(Instant::now() < until);
        }
        assert_eq!(applies.join().unwrap()["ok"], json!(true));
        let status = node.status();
        assert_eq!((&status["hash"], &status["version"]), (&start["hash"], &json!(1)));
        let mut sidecar = Sidecar::new(&node, 9);
        assert!(sidecar.serves(&tenant(ALL - 1)) && !sidecar.serves(&format!("n{:05}", ALL - 1)));
    }
    load.finish();
    node.finish(&["changes=10 "]);
}

#[test]
fn reload_during_a_step_is_applied_before_it_or_rejected_after_it() {
    const ALL: usize = 8_000;
    for round in 0..3 {
        let mut node = Node::new("reload", ALL);
        let staged = node.request(json!({"do": "stage", "step": large_step(ALL, ALL)}));
        assert_eq!(staged["ok"], json!(true), "{staged}");
        node.config["settings"]["Tenants"][0]["QuotaRps"] = json!(555);
        node.write();
        let socket = node.dir.join("control");
        let applies = thread::spawn(move || control_request(&socket, json!({"do": "apply"})));
        if round > 0 {
            assert_eq!(node.status()["ok"], json!(true)); // it is under way, or over
        }
        node.signal("HUP");
        let applied = applies.join().unwrap();
        // The file was read, and is dealt with once nothing has to be waited for.
        let until = Instant::now() + WAIT;
        let status = loop {
            let status = node.status();
            let refused = status["counters"]["changes_refused"] != json!(0);
            if refused && status["version"] != json!(1) {
                break status;
            }
            assert!(Instant::now() < until, "{status} {applied}");
        };
        // One of the two runs, whole, on probation; the other was refused for that.
        assert_eq!(status["counters"]["changes"], json!(1), "{status}");
        assert_eq!(status["probation"]["good"], json!(1), "{status}");
        match applied["ok"].as_bool() {
            Some(true) => assert_eq!(status["hash"], staged["hash"], "{status}"),
            _ => assert_ne!(status["hash"], staged["hash"], "{status} {applied}"),
        }
        let mut sidecar = Sidecar::new(&node, 3);
        assert!(sidecar.serves(&tenant(ALL - 1)));
        node.finish(&["changes=1 ", "reloads=1 "]);
    }
}

#[test]
fn drain_rejects_steps_and_is_not_delayed_by_one() {
    const ALL: usize = 20_000;
    let node = Node::new("drain", ALL);
    let mut sidecar = Sidecar::new(&node, 1);
    assert!(sidecar.serves(&tenant(0)));
    let staged = node.request(json!({"do": "stage", "step": large_step(ALL, ALL)}));
    assert_eq!(staged["ok"], json!(true), "{staged}");
    let socket = node.dir.join("control");
    let applies = thread::spawn(move || control_request(&socket, json!({"do": "apply"})));
    node.signal("TERM");
    // What crosses the notice is served to the end, whichever way the two fell.
    let mut asked = 0;
    while node.request(json!({"do": "drop"}))["error"] != json!("nothing is staged") {
        asked += u32::from(sidecar.serves(&tenant(1)));
    }
    let reply = node.stage("{\"put\":\"tenant\",\"Name\":\"late\",\"QuotaRps\":1}");
    assert_eq!(reply["error"], json!("the server is shutting down"), "{reply}");
    let applied = applies.join().unwrap();
    let wanted = ["the server is shutting down", "nothing is staged"].map(|why| json!(why));
    assert!(applied["ok"] == json!(true) || wanted.contains(&applied["error"]), "{applied} after {asked}");
    sidecar.stream.set_read_timeout(Some(WAIT)).unwrap();
    let rest = sidecar.stream.read_to_end(&mut Vec::new());
    assert!(rest.is_ok_and(|_| true), "it ends in order");
    let mut node = node;
    let output = wait_for_exit(node.child.take().unwrap());
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    assert!(
        stderr_text(&output).contains("half_applied=0 ") && stderr_text(&output).contains("gone=0 "),
        "{}",
        stderr_text(&output)
    );
    std::fs::remove_dir_all(&node.dir).unwrap();
}

#[test]
fn restarts_on_the_last_good_version_after_a_kill() {
    const ALL: usize = 8_000;
    let mut node = Node::new("killed", ALL);
    let good = node.status()["hash"].clone();
    // By steps: the file says what was good. Killed at several moments from the wish to the version in force.
    for moment in 0..6 {
        let staged = node.request(json!({"do": "stage", "step": large_step(ALL / 2, ALL), "force": true}));
        assert_eq!(staged["ok"], json!(true), "{staged}");
        let mut stream = UnixStream::connect(node.dir.join("control")).unwrap();
        stream.write_all(b"{\"v\":1,\"do\":\"apply\"}\n").unwrap();
        for _ in 0..moment {
            assert_eq!(node.status()["ok"], json!(true));
        }
        node.kill();
        node.start();
        let status = node.status();
        assert_eq!((&status["hash"], &status["probation"]), (&good, &json!(null)), "moment {moment}");
        assert!(Sidecar::new(&node, 1).serves(&tenant(ALL - 1)), "moment {moment}");
    }
    // By a whole file, which stands there when it starts again: what was on probation is not what it starts with.
    let mut file = node.config.clone();
    file["settings"]["Tenants"].as_array_mut().unwrap().iter_mut().for_each(|t| t["QuotaRps"] = json!(90));
    std::mem::swap(&mut node.config, &mut file);
    node.write();
    node.signal("HUP");
    let until = Instant::now() + WAIT;
    loop {
        let status = node.status();
        let hash = status["hash"].as_str().unwrap();
        let stored = std::fs::read_to_string(node.dir.join("state/versions")).unwrap_or_default();
        if status["probation"] != json!(null) && has_complete_probation_step(&stored, hash) {
            break;
        }
        assert!(Instant::now() < until, "{status}");
    }
    node.kill();
    node.start();
    assert_eq!(node.status()["hash"], good, "it was on probation");
    assert!(Sidecar::new(&node, 2).serves(&tenant(0)));
    // And one that is cut off in the middle changes nothing.
    let whole = file.to_string();
    std::fs::write(config_path("killed"), &whole[..whole.len() / 2]).unwrap();
    node.signal("HUP");
    node.signal("USR1");
    let mut sidecar = Sidecar::new(&node, 3);
    assert!(sidecar.serves(&tenant(0)));
    node.finish(&["reloads_failed=1 "]);
}

/// A peer that stops in the middle of a line is given up, and nobody else waits for it.
#[test]
fn abandoned_request_leaves_nothing_behind() {
    let node = Node::new("leaves", 3);
    assert_eq!(node.status()["ok"], json!(true));
    let mut stream = UnixStream::connect(node.dir.join("control")).unwrap();
    stream.write_all(b"{\"v\":1,\"do\":\"stage\",\"step\":\"{\\\"put\\\":\\\"tenant\\\"").unwrap();
    drop(stream);
    let mut long = UnixStream::connect(node.dir.join("control")).unwrap();
    long.write_all(&vec![b'x'; 700 * 1024]).unwrap();
    long.shutdown(std::net::Shutdown::Both).unwrap();
    match long.read(&mut [0; 8]) {
        Ok(0) => {}
        other => assert!(other.is_err_and(|e| e.kind() != ErrorKind::WouldBlock)),
    }
    // What says what runs already is no entry of it.
    node.stage_and_apply(&large_step(2, 2));
    assert_eq!(node.request(json!({"do": "settle"}))["ok"], json!(true));
    assert_eq!(node.stage_and_apply(&large_step(3, 3))["entries"], json!(1));
    node.finish(&["changes=2 "]);
}

//! Configuration changes of a running daemon, by steps on its control socket and by reloaded files, also concurrently
//! with each other, with a shutdown and with a kill. The checks use the answers that sidecars receive and do not
//! depend on sleeps.

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

/// Daemon with a control socket and a state directory.
struct Node {
    child: Option<Child>,
    listen: SocketAddr,
    config: Value,
    name: &'static str,
    dir: PathBuf,
    _reports: Receiver<String>,
}

impl Node {
    /// Starts a daemon with the given number of tenants, named `t00000` and so on.
    fn new(name: &'static str, tenants: usize) -> Node {
        let (listen, mut config, reports) = start_stand_ins(false);
        let tenants = (0..tenants).map(|n| json!({"Name": tenant(n), "QuotaRps": 100}));
        config["settings"]["Tenants"] = tenants.collect();
        config["settings"]["FamilyInfo"]["RamKb"] = json!(900_000);
        let dir = std::env::temp_dir().join(format!("asterrilld-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let operator_file = format!(
            "[changes]\ncontrol {}\nstate {}\nprobation 10m\n",
            dir.join("control").display(),
            dir.join("state").display()
        );
        std::fs::write(dir.join("operator.conf"), operator_file).unwrap();
        let mut node = Node { child: None, listen, config, name, dir, _reports: reports };
        node.start();
        node
    }
    /// Writes the configuration file and starts the daemon.
    fn start(&mut self) {
        self.write_config();
        let mut command = Command::new(env!("CARGO_BIN_EXE_asterrilld"));
        command.arg("--file").arg(self.dir.join("operator.conf")).env("GW_CONFIG", config_path(self.name));
        self.child = Some(command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap());
        drop(connect(self.listen));
    }
    fn write_config(&self) {
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
    /// Stages and applies a step, and checks that both are accepted.
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
    /// Shuts the daemon down gracefully and checks that its log contains the given counters.
    fn finish(mut self, counters: &[&str]) {
        self.signal("TERM");
        let output = wait_for_exit(self.child.take().unwrap());
        assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
        for counter in counters.iter().chain(&["half_applied=0 "]) {
            assert!(stderr_text(&output).contains(counter), "{counter} {}", stderr_text(&output));
        }
        std::fs::remove_dir_all(&self.dir).unwrap();
    }
}

impl Drop for Node {
    /// Kills the daemon if the test has failed before it ended.
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
    let until = Instant::now() + TIMEOUT;
    let mut stream = loop {
        match UnixStream::connect(socket) {
            Ok(stream) => break stream,
            Err(e) => assert!(Instant::now() < until, "{e}"),
        }
        thread::yield_now();
    };
    stream.set_read_timeout(Some(TIMEOUT * 3)).unwrap();
    stream.write_all(format!("{request}\n").as_bytes()).unwrap();
    let mut line = String::new();
    let mut reader = BufReader::new(&stream);
    reader.read_line(&mut line).unwrap();
    // The slot is released before the connection ends. Without this wait the next client could find no free slot.
    stream.shutdown(std::net::Shutdown::Write).unwrap_or_default();
    drop(reader.read_to_end(&mut Vec::new()));
    serde_json::from_str(&line).unwrap()
}

/// Reports whether the file of versions holds the complete step that puts the version with this hash on probation.
///
/// Its header, `step probation NUMBER BASE HASH FILE BYTES SUM SUM`, can be on disk before the BYTES of its body.
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
    let sent_at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let (id, sent_at) = (format!("{id:016x}"), sent_at.to_string());
    let fields = [
        ("route", "look"),
        ("trace", &id),
        ("born", &sent_at),
        ("client", "4"),
        ("customer", tenant),
        ("patience", "1900"),
        ("size", "9"),
    ];
    encode_frame(1, stream, &fields, b"body")
}

/// Sidecar that sends one RPC at a time on one connection.
struct Sidecar {
    stream: TcpStream,
    sent: u32,
    first_id: u64,
}

impl Sidecar {
    /// Connects to a node. The ids of the RPCs are unique for each `index`.
    fn new(node: &Node, index: u64) -> Sidecar {
        Sidecar { stream: connect(node.listen), sent: 0, first_id: index << 32 }
    }
    /// Sends an RPC and returns the code of its answer.
    fn call(&mut self, tenant: &str) -> u8 {
        self.sent += 1;
        self.stream.write_all(&rpc(self.sent, self.first_id + u64::from(self.sent), tenant)).unwrap();
        loop {
            let (kind, stream, payload) =
                read_frame(&mut self.stream).expect("the connection ended before the answer");
            if (kind, stream) == (2, self.sent) {
                return payload[0];
            }
            assert_eq!(kind, 6, "frame on stream {stream}: {payload:?}");
        }
    }
    /// Reports whether a tenant is served, and retries while the server pushes back.
    fn serves(&mut self, tenant: &str) -> bool {
        loop {
            match self.call(tenant) {
                OK => return true,
                ABORTED => return false,
                code => assert_eq!(code, PUSHED_BACK),
            }
        }
    }
}

#[test]
fn applies_and_rolls_back_a_step() {
    let node = Node::new("at-once", 3);
    let start = node.status();
    let mut sidecar = Sidecar::new(&node, 1);
    assert!(sidecar.serves(&tenant(0)) && !sidecar.serves("new"));
    let step =
        "{\"put\":\"tenant\",\"Name\":\"new\",\"QuotaRps\":7}\n{\"take\":\"tenant\",\"Name\":\"t00000\"}\n";
    // A diff only checks the step.
    let diff = node.request(json!({"do": "diff", "step": step}));
    assert_eq!(
        (&diff["ok"], &diff["entries"]),
        (&json!(false), &json!(null)),
        "removing a tenant is risky: {diff}"
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
    assert!(!sidecar.serves("new") && sidecar.serves(&tenant(0)), "the staged step has an effect");
    let applied = node.request(json!({"do": "apply"}));
    assert_eq!((&applied["ok"], &applied["hash"]), (&json!(true), &diff["hash"]), "{applied}");
    assert!(sidecar.serves("new") && !sidecar.serves(&tenant(0)) && sidecar.serves(&tenant(1)));
    let undone = node.request(json!({"do": "undo"}));
    assert_eq!(
        (&undone["hash"], &undone["entries"]),
        (&start["hash"], &json!(2)),
        "not the previous version"
    );
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
    let valid = put("fine", "1");
    for (step, parts) in [
        ("{\"base\":77}\n".to_string() + &valid, ["made from version 77", "version 1 is running"]),
        (format!("{{\"hash\":\"{}\"}}\n{valid}", "0".repeat(32)), ["made from hash 000", "is running"]),
        (put(&long, "1"), ["line 1", "1 to 128 bytes"]),
        (put("", "1"), ["line 1", "1 to 128 bytes"]),
        (put("fine", "-1"), ["line 1", "QuotaRps"]),
        ("{\"put\":\"tenant\",\"Name\":\"fine\"}".into(), ["line 1", "QuotaRps"]),
        (format!("{valid}\n{valid}"), ["fine", "duplicate Name fine in Tenants"]),
        (format!("{valid}\n{{\"take\":\"tenant\",\"Name\":\"nobody\"}}"), ["nobody", "does not exist"]),
        (format!("{valid}\n{{\"take\":\"method\",\"Name\":\"look\"}}"), ["Categories", "last method"]),
        (format!("{valid}\n{{\"put\":\"tenant\",\"Na"), ["line 2", "JSON"]),
        ("{\"frame\":{\"FamilyInfo\":{\"NCores\":0}}}".into(), ["checks", "no core"]),
    ] {
        let reply = node.stage(&step).to_string();
        assert!(
            reply.contains("\"ok\":false") && parts.iter().all(|part| reply.contains(part)),
            "{step}: {reply}"
        );
    }
    // Names of 1 byte and of 64 bytes and a quota of zero are valid.
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
    // The same step with a hash but without a version number is rejected too.
    let reply = node.stage(&second.replace("\"base\":1,", ""));
    assert!(reply["error"].as_str().is_some_and(|why| why.contains("made from hash")), "{reply}");
    assert_eq!(node.status()["version"], json!(2));
    node.finish(&["changes=1 ", "changes_refused=2 "]);
}

/// Sidecars that send RPCs continuously, for tenants that the changes do not remove.
struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    sidecars: Vec<thread::JoinHandle<(u32, u32)>>,
}

impl BackgroundLoad {
    fn new(node: &Node, tenants: usize) -> BackgroundLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let start_sidecar = |index: u64| {
            let (mut sidecar, stop) = (Sidecar::new(node, 100 + index), stop.clone());
            thread::spawn(move || {
                let mut aborted = 0;
                while !stop.load(Ordering::Relaxed) {
                    let n = (u64::from(sidecar.sent) * 7919 + index) as usize % tenants;
                    aborted += u32::from(sidecar.call(&tenant(n)) == ABORTED);
                }
                (sidecar.sent, aborted)
            })
        };
        BackgroundLoad { sidecars: (0..3).map(start_sidecar).collect(), stop }
    }
    /// Stops the sidecars, checks that no RPC was aborted as for an unknown tenant, and returns the number of RPCs.
    fn finish(self) -> u32 {
        self.stop.store(true, Ordering::Relaxed);
        let results = self.sidecars.into_iter().map(|sidecar| sidecar.join().unwrap());
        results.fold(0, |total, (sent, aborted)| {
            assert_eq!(aborted, 0, "an RPC of an existing tenant was aborted");
            total + sent
        })
    }
}

/// Returns a step that changes the quotas of the first `quotas` tenants, removes those after them up to `all`, and
/// adds as many new ones, named `nXXXXX` with the numbers of the removed ones.
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
fn all_quotas_change_atomically_under_load() {
    const TENANTS: usize = 49_000;
    const KEPT_TENANTS: usize = 47_000;
    let node = Node::new("all", TENANTS);
    let load = BackgroundLoad::new(&node, KEPT_TENANTS);
    // The first and the last entry of the change, in the order of names, must change at the same moment as seen on
    // one connection.
    let (mut sidecar, stop) = (Sidecar::new(&node, 7), Arc::new(AtomicBool::new(false)));
    let stopped = stop.clone();
    let (removed, added) = (tenant(TENANTS - 1), format!("n{KEPT_TENANTS:05}"));
    let prober = thread::spawn(move || {
        let (mut switched, mut seen) = (false, [0; 2]);
        while !stopped.load(Ordering::Relaxed) || !switched {
            for (name, served_after) in [(&removed, false), (&added, true)] {
                let by_new_version = sidecar.serves(name) == served_after;
                assert!(
                    by_new_version || !switched,
                    "{name} was decided by the old version after the new one was active"
                );
                switched |= by_new_version;
                seen[usize::from(switched)] += 1;
            }
        }
        seen
    });
    let staged =
        node.request(json!({"do": "stage", "step": large_step(KEPT_TENANTS, TENANTS), "force": true}));
    assert_eq!(
        (&staged["ok"], &staged["entries"]),
        (&json!(true), &json!(TENANTS + TENANTS - KEPT_TENANTS)),
        "{staged}"
    );
    let applied = node.request(json!({"do": "apply"}));
    assert_eq!(applied["ok"], json!(true), "{applied}");
    stop.store(true, Ordering::Relaxed);
    let seen = prober.join().unwrap();
    assert!(seen[0] > 0 && seen[1] > 0, "{seen:?}");
    let mut sidecar = Sidecar::new(&node, 8);
    let undone = node.request(json!({"do": "undo"}));
    assert_eq!(undone["entries"], json!(TENANTS + TENANTS - KEPT_TENANTS), "{undone}");
    assert!(sidecar.serves(&tenant(TENANTS - 1)) && !sidecar.serves("n48999"));
    assert!(load.finish() > 100);
    assert_eq!(node.status()["counters"]["half_applied"], json!(0));
    node.finish(&["changes=2 ", "no_buffer=0 "]);
}

#[test]
fn rollback_waits_for_the_last_slice_of_a_step() {
    const TENANTS: usize = 8_000;
    let node = Node::new("undo", TENANTS);
    let start = node.status();
    let load = BackgroundLoad::new(&node, TENANTS / 2);
    for round in 0..5 {
        let staged =
            node.request(json!({"do": "stage", "step": large_step(TENANTS / 2, TENANTS), "force": true}));
        assert_eq!(staged["ok"], json!(true), "{staged}");
        let socket = node.dir.join("control");
        let apply = thread::spawn(move || control_request(&socket, json!({"do": "apply"})));
        // Undo is requested continuously. The first request after the start of the change is executed after its last
        // slice.
        let until = Instant::now() + TIMEOUT;
        while node.request(json!({"do": "undo"}))["ok"] != json!(true) {
            assert!(Instant::now() < until);
        }
        assert_eq!(apply.join().unwrap()["ok"], json!(true));
        let status = node.status();
        assert_eq!((&status["hash"], &status["version"]), (&start["hash"], &json!(1)));
        let mut sidecar = Sidecar::new(&node, 9 + round);
        assert!(sidecar.serves(&tenant(TENANTS - 1)) && !sidecar.serves(&format!("n{:05}", TENANTS - 1)));
    }
    load.finish();
    node.finish(&["changes=10 "]);
}

#[test]
fn reload_during_a_step_is_applied_before_it_or_rejected_after_it() {
    const TENANTS: usize = 8_000;
    for round in 0..3 {
        let mut node = Node::new("reload", TENANTS);
        let staged = node.request(json!({"do": "stage", "step": large_step(TENANTS, TENANTS)}));
        assert_eq!(staged["ok"], json!(true), "{staged}");
        node.config["settings"]["Tenants"][0]["QuotaRps"] = json!(555);
        node.write_config();
        let socket = node.dir.join("control");
        let apply = thread::spawn(move || control_request(&socket, json!({"do": "apply"})));
        if round > 0 {
            // After this reply the change is in progress or complete.
            assert_eq!(node.status()["ok"], json!(true));
        }
        node.signal("HUP");
        let applied = apply.join().unwrap();
        // Either the reload or the step is rejected once the other one is on probation.
        let until = Instant::now() + TIMEOUT;
        let status = loop {
            let status = node.status();
            let is_rejected = status["counters"]["changes_refused"] != json!(0);
            if is_rejected && status["version"] != json!(1) {
                break status;
            }
            assert!(Instant::now() < until, "{status} {applied}");
        };
        // One of the two changes is completely applied and on probation, and the other was rejected for that reason.
        assert_eq!(status["counters"]["changes"], json!(1), "{status}");
        assert_eq!(status["probation"]["good"], json!(1), "{status}");
        match applied["ok"].as_bool() {
            Some(true) => assert_eq!(status["hash"], staged["hash"], "{status}"),
            _ => assert_ne!(status["hash"], staged["hash"], "{status} {applied}"),
        }
        let mut sidecar = Sidecar::new(&node, 3);
        assert!(sidecar.serves(&tenant(TENANTS - 1)));
        node.finish(&["changes=1 ", "reloads=1 "]);
    }
}

#[test]
fn drain_rejects_steps_and_is_not_delayed_by_one() {
    const TENANTS: usize = 20_000;
    let node = Node::new("drain", TENANTS);
    let mut sidecar = Sidecar::new(&node, 1);
    assert!(sidecar.serves(&tenant(0)));
    let staged = node.request(json!({"do": "stage", "step": large_step(TENANTS, TENANTS)}));
    assert_eq!(staged["ok"], json!(true), "{staged}");
    let socket = node.dir.join("control");
    let apply = thread::spawn(move || control_request(&socket, json!({"do": "apply"})));
    node.signal("TERM");
    // RPCs are served until the drain begins, whether the step or the shutdown comes first.
    let mut served = 0;
    while node.request(json!({"do": "drop"}))["error"] != json!("nothing is staged") {
        served += u32::from(sidecar.serves(&tenant(1)));
    }
    let reply = node.stage("{\"put\":\"tenant\",\"Name\":\"late\",\"QuotaRps\":1}");
    assert_eq!(reply["error"], json!("the server is shutting down"), "{reply}");
    let applied = apply.join().unwrap();
    let expected = ["the server is shutting down", "nothing is staged"].map(|why| json!(why));
    assert!(applied["ok"] == json!(true) || expected.contains(&applied["error"]), "{applied} after {served}");
    sidecar.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let rest = sidecar.stream.read_to_end(&mut Vec::new());
    assert!(rest.is_ok_and(|_| true), "the connection was reset");
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
    const TENANTS: usize = 8_000;
    let mut node = Node::new("killed", TENANTS);
    let good = node.status()["hash"].clone();
    // A version applied by steps, with the good version in the configuration file. The daemon is killed at several
    // moments between the request and the activation.
    for moment in 0..6 {
        let staged =
            node.request(json!({"do": "stage", "step": large_step(TENANTS / 2, TENANTS), "force": true}));
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
        assert!(Sidecar::new(&node, 1).serves(&tenant(TENANTS - 1)), "moment {moment}");
    }
    // A version applied by a reloaded file, which is still there at the restart. The daemon must not start on it,
    // because it was on probation.
    let mut file = node.config.clone();
    file["settings"]["Tenants"].as_array_mut().unwrap().iter_mut().for_each(|t| t["QuotaRps"] = json!(90));
    std::mem::swap(&mut node.config, &mut file);
    node.write_config();
    node.signal("HUP");
    let until = Instant::now() + TIMEOUT;
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
    assert_eq!(node.status()["hash"], good, "it started on the version on probation");
    assert!(Sidecar::new(&node, 2).serves(&tenant(0)));
    // A truncated file changes nothing.
    let complete = file.to_string();
    std::fs::write(config_path("killed"), &complete[..complete.len() / 2]).unwrap();
    node.signal("HUP");
    node.signal("USR1");
    let mut sidecar = Sidecar::new(&node, 3);
    assert!(sidecar.serves(&tenant(0)));
    node.finish(&["reloads_failed=1 "]);
}

/// Guards against a client that disconnects in the middle of a request and blocks others or holds its slot.
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
    // Entries that are equal to the running ones do not count as changes.
    node.stage_and_apply(&large_step(2, 2));
    assert_eq!(node.request(json!({"do": "settle"}))["ok"], json!(true));
    assert_eq!(node.stage_and_apply(&large_step(3, 3))["entries"], json!(1));
    node.finish(&["changes=2 "]);
}

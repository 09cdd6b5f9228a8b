//! What surrounds a backend but for its callers and its broker: an agent with its cores, the layer below, the
//! name service, and the process itself. All on loopback ports that the system chooses.

use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A method of the stand-in deployment.
#[derive(Clone, Copy, Debug)]
pub struct Method {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`, as the settings have it.
    pub effect: &'static str,
    pub criticality: f64,
    pub target_ms: u64,
    pub deadline_ms: u64,
    /// Work of one run on a core.
    pub work: Duration,
    /// Of so many runs one fails.
    pub fails: u64,
    pub calls: bool,
}

const FREE: u64 = 100_000; // microseconds without a moment at which all cores were taken: one was free
const LATER: u64 = 20_000;

/// The agent's own account of what it ran, by body.
#[derive(Default)]
pub struct Runs {
    /// Runs that began, by the body that they were started with.
    pub of: BTreeMap<Vec<u8>, u64>,
    pub begun: u64,
    pub ended: u64,
    /// With more than three runs to a core each takes longer, as on cores that thrash.
    pub thrashes: bool,
    /// The launch of this number, counted from 1, is read and never heard of: as if it had got lost on the way.
    pub loses: Option<u64>,
    /// Launches that were read, and launches of what was known and not begun again.
    launches: u64,
    pub known_again: u64,
    /// Cores that are slow after a start, and since when this agent runs.
    pub cold: Option<Cold>,
    since: Option<Instant>,
    /// Spans in which all cores were taken, in microseconds since the agent began; the last may be open.
    taken: BTreeMap<u64, u64>,
    /// Work that was given to cores.
    pub worked: Duration,
    began: Option<Instant>,
    /// Calls that a run was told to do without, and when.
    pub forgone: Vec<Instant>,
    waiting: VecDeque<Run>,
    running: usize,
    due: BTreeMap<(Instant, u64), Run>,
    asleep: Vec<Run>,
    notices: Vec<Vec<u8>>,
    to: Option<TcpStream>,
    next: u64,
}

/// Cores that begin at a share of their speed and are warm after a time.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub from: f64,
    pub ramp: Duration,
}

impl Cold {
    pub fn speed(&self, up: Duration) -> f64 {
        self.from + (1.0 - self.from) * (up.as_secs_f64() / self.ramp.as_secs_f64()).min(1.0)
    }
}

#[derive(Clone)]
struct Run {
    id: String,
    method: Method,
    body: Vec<u8>,
    called: bool,
}

#[derive(Clone)]
pub struct Agent {
    pub at: SocketAddr,
    cores: usize,
    methods: Arc<Vec<Method>>,
    runs: Arc<(Mutex<Runs>, Condvar)>,
}

impl Agent {
    pub fn start(cores: usize, methods: &[Method]) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let agent = Agent { at, cores, methods: Arc::new(methods.to_vec()), runs: Arc::default() };
        agent.runs().began = Some(Instant::now());
        let (serves, works) = (agent.clone(), agent.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serves.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        std::thread::spawn(move || works.work());
        Ok(agent)
    }
    pub fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.0.lock().unwrap_or_else(|e| e.into_inner())
    }
    /// The machine starts anew: runs and notices are gone, the cores are cold. Its ledger stays.
    pub fn restart(&self, cold: Cold) {
        let mut runs = self.runs();
        runs.waiting.clear();
        runs.due.clear();
        runs.asleep.clear();
        runs.running = 0;
        (runs.cold, runs.since) = (Some(cold), Some(Instant::now()));
        runs.forget();
    }
    /// The backend starts anew beside an agent that goes on: its notices are numbered from 1 again.
    pub fn new_backend(&self) {
        self.runs().forget();
    }
    /// Runs of one body beyond the first, over all bodies that begin so.
    pub fn twice(&self, prefix: &str) -> u64 {
        let runs = self.runs();
        runs.of.iter().filter(|(body, _)| body.starts_with(prefix.as_bytes())).map(|(_, n)| n - 1).sum()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut from = BufReader::new(stream.try_clone().ok()?);
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let mut body = Vec::new();
            if ["launch", "deliver"].contains(&words[0]) {
                body = vec![0; words.last()?.parse::<usize>().ok()? + 2];
                from.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
            }
            let mut runs = self.runs();
            match words[0] {
                "subscribe" => {
                    let mut to = stream.try_clone().ok()?;
                    let last: usize = words.get(1)?.parse().ok()?;
                    let greeting = match (runs.cold, runs.since) {
                        (Some(_), Some(since)) => {
                            format!("greeting EMPTY {}\r\n", since.elapsed().as_millis())
                        }
                        _ => "greeting LOADED 3600000\r\n".to_string(),
                    };
                    to.write_all(greeting.as_bytes()).ok()?;
                    for notice in runs.notices.iter().skip(last) {
                        to.write_all(notice).ok()?;
                    }
                    runs.to = Some(to);
                }
                "launch" => {
                    let method = self.methods.iter().find(|method| method.name == words[2]).copied();
                    let known = runs.of.contains_key(&body) && runs.holds(words[1]);
                    runs.launches += 1;
                    runs.known_again += u64::from(known);
                    match method {
                        _ if runs.loses == Some(runs.launches) => {}
                        Some(method) if !known => {
                            *runs.of.entry(body.clone()).or_default() += 1;
                            runs.begun += 1;
                            let id = words[1].to_string();
                            runs.waiting.push_back(Run { id, method, body, called: false });
                        }
                        Some(_) => {}
                        None => runs.tell(format!("refusal launch {}\r\n", words[1]).as_bytes()),
                    }
                }
                "deliver" | "forgo" => {
                    let id = words[1].to_string();
                    if words[0] == "forgo" {
                        runs.forgone.push(Instant::now());
                    }
                    if let Some(run) = runs.calling(&id) {
                        runs.waiting.push_back(Run { called: true, ..run });
                    }
                }
                "sample" => {
                    let (on, links) = (runs.running + runs.waiting.len(), 8);
                    runs.tell(format!("sampled {} {on} {links}\r\n", words[1]).as_bytes());
                }
                "exercise" => runs.tell(format!("exercised {} PASS\r\n", words[1]).as_bytes()),
                "freeze" => runs.stop(words[1]),
                _ => {}
            }
            drop(runs);
            self.runs.1.notify_one();
        }
    }

    /// Runs wait for a core, in their order, and take it for as long as their work is.
    fn work(&self) {
        let mut runs = self.runs();
        loop {
            let now = Instant::now();
            while let Some(entry) = runs.due.first_entry().filter(|entry| entry.key().0 <= now) {
                let run = entry.remove();
                runs.running -= 1;
                runs.end(run);
            }
            while runs.running < self.cores {
                let Some(run) = runs.waiting.pop_front() else { break };
                runs.next += 1;
                runs.running += 1;
                let crowd = (runs.waiting.len() + runs.running) as f64 / (3 * self.cores) as f64;
                let slower = if runs.thrashes { crowd.clamp(1.0, 6.0) } else { 1.0 };
                let slower = slower / runs.speed();
                let key = (now + run.method.work.mul_f64(slower), runs.next);
                runs.worked += run.method.work;
                runs.due.insert(key, run);
            }
            let (at, full) = (runs.micros(now), runs.running >= self.cores);
            match runs.taken.last_entry() {
                Some(mut last) if *last.get() == u64::MAX && !full => {
                    last.insert(at);
                }
                _ if full => drop(runs.taken.insert(at, u64::MAX)),
                _ => {}
            }
            let first = runs.due.first_key_value().map(|((at, _), _)| *at);
            let wait =
                first.map_or(Duration::from_millis(50), |at| at.saturating_duration_since(Instant::now()));
            if first.is_some_and(|at| at <= Instant::now()) {
                continue;
            }
            let woken = self.runs.1.wait_timeout(runs, wait);
            runs = woken.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

impl Runs {
    fn micros(&self, at: Instant) -> u64 {
        self.began.map_or(0, |began| at.saturating_duration_since(began).as_micros() as u64)
    }
    /// A core was free all through the 100 ms before a moment, and just after it: what was launched with a wave of RPCs
    /// comes here a little later than pushbacks of the same wave go out.
    pub fn was_free(&self, at: Instant) -> bool {
        let at = self.micros(at);
        let spans = self.taken.range(..=at + LATER).next_back();
        spans.is_none_or(|(_, end)| *end < at.saturating_sub(FREE))
    }
    fn speed(&self) -> f64 {
        let up = self.since.map_or(Duration::MAX, |since| since.elapsed());
        self.cold.map_or(1.0, |cold| cold.speed(up))
    }
    /// What a backend before was told.
    fn forget(&mut self) {
        self.notices.clear();
        if let Some(to) = self.to.take() {
            to.shutdown(std::net::Shutdown::Both).unwrap_or_default();
        }
    }
    fn tell(&mut self, bytes: &[u8]) {
        if self.to.as_mut().is_some_and(|to| to.write_all(bytes).is_err()) {
            self.to = None;
        }
    }
    fn notice(&mut self, rest: &str, body: &[u8]) {
        let (kind, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        let mut bytes = format!("{kind} {} {rest}\r\n", self.notices.len() + 1).into_bytes();
        if !body.is_empty() || rest.ends_with(" 0") {
            bytes.extend_from_slice(body);
            bytes.extend_from_slice(b"\r\n");
        }
        self.notices.push(bytes.clone());
        self.tell(&bytes);
    }
    fn holds(&self, id: &str) -> bool {
        self.waiting.iter().chain(self.due.values()).any(|run| run.id == id)
            || self.asleep.iter().any(|r| r.id == id)
    }
    fn calling(&mut self, id: &str) -> Option<Run> {
        let at = self.asleep.iter().position(|run| run.id == id)?;
        Some(self.asleep.swap_remove(at))
    }
    fn stop(&mut self, id: &str) {
        let waits = self.waiting.iter().position(|run| run.id == id);
        let sleeps = self.asleep.iter().position(|run| run.id == id);
        let runs = self.due.iter().find(|(_, run)| run.id == id).map(|(key, _)| *key);
        if let Some(at) = waits {
            self.waiting.remove(at);
        } else if let Some(at) = sleeps {
            self.asleep.swap_remove(at);
        } else if let Some(key) = runs {
            self.due.remove(&key);
            self.running -= 1;
        } else {
            return;
        }
        self.ended += 1;
        self.notice(&format!("outcome {id} KILLED 1 0"), &[]);
    }
    fn end(&mut self, run: Run) {
        if run.method.calls && !run.called {
            self.notice(&format!("request {} {}", run.id, run.body.len()), &run.body);
            self.asleep.push(run);
            return;
        }
        self.ended += 1;
        let ms = run.method.work.as_millis();
        if run.method.fails > 0 && self.ended.is_multiple_of(run.method.fails) {
            return self.notice(&format!("outcome {} FAIL {ms} 0", run.id), &[]);
        }
        let result = [b"did ", &run.body[..]].concat();
        self.notice(&format!("outcome {} PASS {ms} {}", run.id, result.len()), &result);
    }
}

/// A layer below that answers each call at once.
pub fn below() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    let serve = |stream: TcpStream| -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (mut to, mut from) = (stream.try_clone().ok()?, BufReader::new(stream));
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            if words[0] == "OP" {
                let mut body = vec![0; words.last()?.parse::<usize>().ok()? + 2];
                from.read_exact(&mut body).ok()?;
                to.write_all(format!("{} DONE {}\r\n", words[1], body.len() - 2).as_bytes()).ok()?;
                to.write_all(&body).ok()?;
            }
        }
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(at)
}

/// A name service that takes every report, and tells the last.
pub fn naming() -> std::io::Result<(SocketAddr, Arc<Mutex<String>>)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let (at, last) = (listener.local_addr()?, Arc::new(Mutex::new(String::new())));
    let kept = last.clone();
    let serve = |stream: TcpStream, last: Arc<Mutex<String>>| -> Option<()> {
        let (mut to, mut from) = (stream.try_clone().ok()?, BufReader::new(stream));
        loop {
            let (mut length, mut line) = (0, String::new());
            while from.read_line(&mut line).ok()? > 2 {
                let told = line.strip_prefix("Content-Length: ").and_then(|n| n.trim().parse().ok());
                length = told.unwrap_or(length);
                line.clear();
            }
            if length == 0 {
                return None;
            }
            let mut body = vec![0; length];
            from.read_exact(&mut body).ok()?;
            *last.lock().unwrap_or_else(|e| e.into_inner()) = String::from_utf8_lossy(&body).into_owned();
            to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
        }
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let last = kept.clone();
            std::thread::spawn(move || serve(stream, last));
        }
    });
    Ok((at, last))
}

/// One backend: the program as it is built, in a process of its own.
pub struct Node {
    pub child: Child,
    pub at: SocketAddr,
    pub log: PathBuf,
    pub dir: PathBuf,
    program: PathBuf,
}

/// How a node is set up.
#[derive(Clone)]
pub struct Setup {
    pub methods: Vec<Method>,
    pub cores: usize,
    pub memory_mb: u64,
    pub sockets: u64,
    pub stop_ms: u64,
    /// The operator's file, if any; `{password}` stands for the path of the password file.
    pub file: Option<String>,
    /// `window` where credit is published, else `off`.
    pub say: &'static str,
    pub program: Option<PathBuf>,
    /// The launch of this number that the agent loses.
    pub loses: Option<u64>,
    /// How long a cold start is told to take.
    pub ramp: Duration,
    /// The share of criticality that an answer without its call earns.
    pub skips: f64,
    /// Of the calls at a time that a layer below survives, the part for each of so many servers, and how long a call may
    /// stay there that was given up.
    pub shared: Option<(f64, usize, Duration)>,
    /// Callers that the settings name.
    pub callers: usize,
}

/// Where one node of several stands: its name and the one address where it listens.
#[derive(Clone, Debug)]
pub struct Stand {
    pub name: String,
    pub at: SocketAddr,
    /// What stands for words in braces in the operator's file, besides the common ones.
    pub words: Vec<(String, String)>,
}

impl Setup {
    pub fn settings(&self) -> Value {
        let category = |m: &Method| {
            json!({"Name": m.name, "AimMs": m.target_ms, "DeadlineMs": m.deadline_ms, "Effect": m.effect,
                "Worth": m.criticality, "WindowMs": 10_000})
        };
        let calls = self.methods.iter().any(|m| m.calls);
        let below = match self.shared {
            Some(_) => "shared",
            None if calls => "tier",
            None => "off",
        };
        let (share, replicas, linger) = self.shared.unwrap_or((1.0, 1, Duration::ZERO));
        json!({"Categories": self.methods.iter().map(category).collect::<Vec<_>>(),
            "FamilyInfo": {"NCores": self.cores, "RamKb": 200_000, "RunFactor": 2, "Say": self.say,
                "Below": below, "CallShare": share, "DepWindowMs": 1_000,
                "LingerMs": linger.as_millis() as u64,
                "ClassSkipWorth": self.methods.iter().map(|m| if m.calls { self.skips } else { 0.0 }).collect::<Vec<_>>(),
                "StopMode": "abort", "Gauges": ["on_cores", "links"], "IdleMs": 30_000, "Callers": self.callers},
            "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 500}, "StepMs": 2, "ReplicasOfMe": replicas,
            "Safety": {"TipMultiple": 8, "ColdFrom": 0.5, "RampTimeMs": self.ramp.as_millis() as u64,
                "StopSendingWithinMs": 400}})
    }
}

/// The program beside this one, or one directory above, where tests run.
pub fn program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let dirs = [own.parent()?.to_path_buf(), own.parent()?.parent()?.to_path_buf()];
    dirs.into_iter().map(|dir| dir.join("asterrilld")).find(|path| path.exists())
}

impl Node {
    pub fn start(
        setup: &Setup, agent: SocketAddr, below: SocketAddr, naming: SocketAddr, password: &str,
    ) -> std::io::Result<Node> {
        let at = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let node = Node::begin(
            setup,
            &Stand { name: "n1".into(), at, words: Vec::new() },
            agent,
            below,
            naming,
            password,
        )?;
        node.listens()?;
        Ok(node)
    }

    /// The same for one of several, without waiting until it listens.
    pub fn begin(
        setup: &Setup, stand: &Stand, agent: SocketAddr, below: SocketAddr, naming: SocketAddr,
        password: &str,
    ) -> std::io::Result<Node> {
        let (name, at) = (&stand.name, stand.at);
        let config = json!({"name": name, "listen": at.to_string(), "agent": agent.to_string(),
            "naming": naming.to_string(), "records": below.to_string(), "seed": "00000000000000a7",
            "stop_ms": setup.stop_ms, "settings": setup.settings(),
            "limits": {"cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets}});
        let words = |file: &String| {
            stand.words.iter().fold(file.clone(), |text, (word, means)| text.replace(word, means))
        };
        let file = setup.file.as_ref().map(words);
        Node::of_files(at, &config.to_string(), file.as_deref(), setup.program.clone(), password)
    }

    /// The same with files as they are given; in the operator's file `{password}` stands for the path of the password
    /// file, and `{dir}` for the directory of the node.
    pub fn of_files(
        at: SocketAddr, config: &str, file: Option<&str>, program: Option<PathBuf>, password: &str,
    ) -> std::io::Result<Node> {
        static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("asterrill-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("config.json"), config)?;
        let secret = dir.join("password");
        std::fs::write(&secret, password)?;
        std::fs::set_permissions(&secret, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
        let log = dir.join("log");
        let program = program.or_else(self::program);
        let missing = || std::io::Error::other("asterrilld is not built beside this program");
        let program = program.ok_or_else(missing)?;
        if let Some(file) = file {
            let text = file.replace("{password}", &secret.display().to_string());
            std::fs::write(dir.join("asterrill.conf"), text.replace("{dir}", &dir.display().to_string()))?;
        }
        std::fs::File::create(&log)?;
        let child = Node::spawn(&program, &dir, &log)?;
        Ok(Node { child, at, log, dir, program })
    }

    fn spawn(program: &Path, dir: &Path, log: &Path) -> std::io::Result<Child> {
        let mut command = Command::new(program);
        command.env("GW_CONFIG", dir.join("config.json")).stdin(Stdio::null()).stdout(Stdio::null());
        if dir.join("asterrill.conf").exists() {
            command.arg("--file").arg(dir.join("asterrill.conf"));
        }
        command.stderr(std::fs::File::options().append(true).open(log)?).spawn()
    }

    /// Kills the process where it stands, and starts it again with the files as they are.
    pub fn crash(&mut self) -> std::io::Result<()> {
        self.kill();
        self.again()?;
        self.listens()
    }
    /// Kills the process where it stands, by its id.
    pub fn kill(&mut self) {
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }
    /// Starts it again with the files as they are.
    pub fn again(&mut self) -> std::io::Result<()> {
        self.child = Node::spawn(&self.program, &self.dir, &self.log)?;
        Ok(())
    }

    pub fn listens(&self) -> std::io::Result<()> {
        let until = Instant::now() + Duration::from_secs(5);
        while TcpStream::connect(self.at).is_err() {
            if Instant::now() > until {
                return Err(std::io::Error::other(format!("it does not listen: {}", self.read_log())));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    pub fn signal(&self, name: &str) {
        Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().ok();
    }
    /// CPU time so far, in microseconds.
    pub fn cpu_us(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or("");
        let field =
            |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
        (field(11) + field(12)) * 10_000 // ticks of 10 ms
    }
    /// The most memory that was resident, in MB.
    pub fn memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
    /// Waits for its end; its exit code, none if it was killed or does not end.
    pub fn ended(&mut self, within: Duration) -> Option<i32> {
        let until = Instant::now() + within;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                _ if Instant::now() > until => return None,
                _ => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
        if self.dir.starts_with(std::env::temp_dir()) {
            std::fs::remove_dir_all(Path::new(&self.dir)).unwrap_or_default();
        }
    }
}

//! A stand-in agent: the machine's cores, with an account of what it ran.

use crate::method::Method;
use crate::sync::lock;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const FREE_US: u64 = 100_000; // microseconds without a moment at which all cores were busy: one was free
const LATE_LAUNCH_US: u64 = 20_000; // by which a launch may come behind rejections of the same wave of RPCs
const IDLE_WAIT: Duration = Duration::from_millis(50);
const OPEN_SPAN: u64 = u64::MAX; // the end of a span that has not ended
const RUNS_PER_CORE: usize = 3; // beyond which cores thrash
const WORST_THRASHING: f64 = 6.0; // times that a run takes longer, at most

/// Cores that begin at a part of their speed and are warm after a time.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// The speed at the start, of 1.
    pub initial_speed: f64,
    /// The time until they are at full speed; the speed grows evenly.
    pub warm_up: Duration,
}

impl ColdStart {
    /// The speed (0 to 1) so long after the start.
    pub fn speed(&self, up: Duration) -> f64 {
        let warmed = (up.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        self.initial_speed + (1.0 - self.initial_speed) * warmed
    }
}

/// The agent's own account of what it ran, and its state.
pub struct AgentState {
    /// Runs that began, by the body that they were started with.
    pub starts: BTreeMap<Vec<u8>, u64>,
    /// Runs that began.
    pub started: u64,
    /// Runs that ended.
    pub ended: u64,
    /// With more than three runs to a core each takes longer, as on cores that thrash.
    pub thrashes: bool,
    /// The launch of this number, counted from 1, is read and lost.
    pub lost_launch: Option<u64>,
    /// Launches of runs that are there already, which do not begin again.
    pub repeated_launches: u64,
    /// Work that was given to cores.
    pub total_work: Duration,
    /// When a run was notified to go on without its call.
    pub skipped_calls: Vec<Instant>,
    created: Instant,
    launches: u64,
    /// Cores that are slow after a start, and since when this agent runs.
    cold: Option<(ColdStart, Instant)>,
    /// Spans in which all cores were busy, in microseconds since the agent began; the last may be open.
    busy: BTreeMap<u64, u64>,
    waiting: VecDeque<Run>,
    /// Runs on cores, by when they end, and a number that keeps those of one moment apart.
    on_cores: BTreeMap<(Instant, u64), Run>,
    /// Runs that wait for the answer to their call.
    awaiting_call: Vec<Run>,
    /// Notices so far, for a backend that subscribes again.
    notices: Vec<Vec<u8>>,
    subscriber: Option<TcpStream>,
    next_number: u64,
}

#[derive(Clone)]
struct Run {
    id: String,
    method: Method,
    body: Vec<u8>,
    called: bool,
}

/// An agent with so many cores.
#[derive(Clone)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    cores: usize,
    methods: Arc<Vec<Method>>,
    shared: Arc<(Mutex<AgentState>, Condvar)>,
}

impl Agent {
    /// Listens on a port that the system chooses.
    pub fn start(cores: usize, methods: &[Method]) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new((Mutex::new(AgentState::new()), Condvar::new()));
        let agent = Agent { address, cores, methods: Arc::new(methods.to_vec()), shared };
        let (acceptor, worker) = (agent.clone(), agent.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = acceptor.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        std::thread::spawn(move || worker.work());
        Ok(agent)
    }

    /// Its account and state.
    pub fn state(&self) -> MutexGuard<'_, AgentState> {
        lock(&self.shared.0)
    }

    /// The machine restarts: runs and notices are gone, the cores are cold. Its account stays.
    pub fn restart_cold(&self, cold: ColdStart) {
        let mut state = self.state();
        state.waiting.clear();
        state.on_cores.clear();
        state.awaiting_call.clear();
        state.cold = Some((cold, Instant::now()));
        state.forget_backend();
    }

    /// The backend restarts beside an agent that goes on: notices are numbered from 1 again.
    pub fn handle_backend_restart(&self) {
        self.state().forget_backend();
    }

    /// Runs of one body beyond the first, over all bodies that begin so.
    pub fn repeated_runs(&self, prefix: &str) -> u64 {
        let state = self.state();
        let bodies = state.starts.iter().filter(|(body, _)| body.starts_with(prefix.as_bytes()));
        bodies.map(|(_, starts)| starts - 1).sum()
    }

    /// Reads a backend's connection to its end.
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
            self.handle(&stream, &words, body)?;
            self.shared.1.notify_one();
        }
    }

    fn handle(&self, stream: &TcpStream, words: &[&str], body: Vec<u8>) -> Option<()> {
        let mut state = self.state();
        match words {
            ["subscribe", last, ..] => state.subscribe(stream.try_clone().ok()?, last.parse().ok()?)?,
            ["launch", id, method, ..] => {
                let method = self.methods.iter().find(|one| one.name == *method).copied();
                state.launch(id, method, body);
            }
            ["deliver", id, ..] => state.resume(id),
            ["forgo", id, ..] => {
                state.skipped_calls.push(Instant::now());
                state.resume(id);
            }
            ["sample", id, ..] => {
                let (runs, links) = (state.on_cores.len() + state.waiting.len(), 8);
                state.send(format!("sampled {id} {runs} {links}\r\n").as_bytes());
            }
            ["exercise", id, ..] => state.send(format!("exercised {id} PASS\r\n").as_bytes()),
            ["freeze", id, ..] => state.stop(id),
            _ => {}
        }
        Some(())
    }

    /// Runs wait for a core, in their order, and take it for as long as their work is.
    fn work(&self) {
        let mut state = self.state();
        loop {
            let now = Instant::now();
            state.finish_runs(now);
            state.start_runs(now, self.cores);
            state.account_busy(now, self.cores);
            let first = state.on_cores.first_key_value().map(|((at, _), _)| *at);
            if first.is_some_and(|at| at <= Instant::now()) {
                continue;
            }
            let wait = first.map_or(IDLE_WAIT, |at| at.saturating_duration_since(Instant::now()));
            let woken = self.shared.1.wait_timeout(state, wait);
            state = woken.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

impl AgentState {
    fn new() -> AgentState {
        AgentState {
            starts: BTreeMap::new(),
            started: 0,
            ended: 0,
            thrashes: false,
            lost_launch: None,
            repeated_launches: 0,
            total_work: Duration::ZERO,
            skipped_calls: Vec::new(),
            created: Instant::now(),
            launches: 0,
            cold: None,
            busy: BTreeMap::new(),
            waiting: VecDeque::new(),
            on_cores: BTreeMap::new(),
            awaiting_call: Vec::new(),
            notices: Vec::new(),
            subscriber: None,
            next_number: 0,
        }
    }

    /// Whether a core was free all through the 100 ms before a moment, and just after it: what was launched with a wave of
    /// RPCs comes here a little later than rejections of the same wave go out.
    pub fn had_free_core(&self, at: Instant) -> bool {
        let at = self.micros(at);
        let last_busy = self.busy.range(..=at + LATE_LAUNCH_US).next_back();
        last_busy.is_none_or(|(_, end)| *end < at.saturating_sub(FREE_US))
    }

    fn micros(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.created).as_micros() as u64
    }

    fn speed(&self) -> f64 {
        self.cold.map_or(1.0, |(cold, since)| cold.speed(since.elapsed()))
    }

    /// Forgets what a backend before was notified of.
    fn forget_backend(&mut self) {
        self.notices.clear();
        if let Some(subscriber) = self.subscriber.take() {
            subscriber.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }

    /// Greets a backend that has read so many notices, and sends it the others.
    fn subscribe(&mut self, mut subscriber: TcpStream, read: usize) -> Option<()> {
        let greeting = match self.cold {
            Some((_, since)) => format!("greeting EMPTY {}\r\n", since.elapsed().as_millis()),
            None => "greeting LOADED 3600000\r\n".to_string(),
        };
        subscriber.write_all(greeting.as_bytes()).ok()?;
        for notice in self.notices.iter().skip(read) {
            subscriber.write_all(notice).ok()?;
        }
        self.subscriber = Some(subscriber);
        Some(())
    }

    fn launch(&mut self, id: &str, method: Option<Method>, body: Vec<u8>) {
        let repeated = self.starts.contains_key(&body) && self.has_run(id);
        self.launches += 1;
        self.repeated_launches += u64::from(repeated);
        match method {
            _ if self.lost_launch == Some(self.launches) => {}
            Some(method) if !repeated => {
                *self.starts.entry(body.clone()).or_default() += 1;
                self.started += 1;
                self.waiting.push_back(Run { id: id.to_string(), method, body, called: false });
            }
            Some(_) => {}
            None => self.send(format!("refusal launch {id}\r\n").as_bytes()),
        }
    }

    /// A run goes on behind its call.
    fn resume(&mut self, id: &str) {
        if let Some(index) = self.awaiting_call.iter().position(|run| run.id == id) {
            let run = self.awaiting_call.swap_remove(index);
            self.waiting.push_back(Run { called: true, ..run });
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        if self.subscriber.as_mut().is_some_and(|to| to.write_all(bytes).is_err()) {
            self.subscriber = None;
        }
    }

    /// Sends a numbered notice and keeps it for a backend that subscribes again. `rest`: its kind, and what follows its
    /// number.
    fn notice(&mut self, rest: &str, body: &[u8]) {
        let (kind, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        let mut bytes = format!("{kind} {} {rest}\r\n", self.notices.len() + 1).into_bytes();
        if !body.is_empty() || rest.ends_with(" 0") {
            bytes.extend_from_slice(body);
            bytes.extend_from_slice(b"\r\n");
        }
        self.notices.push(bytes.clone());
        self.send(&bytes);
    }

    fn has_run(&self, id: &str) -> bool {
        let all = self.waiting.iter().chain(self.on_cores.values()).chain(&self.awaiting_call);
        all.into_iter().any(|run| run.id == id)
    }

    fn stop(&mut self, id: &str) {
        let waiting = self.waiting.iter().position(|run| run.id == id);
        let awaiting_call = self.awaiting_call.iter().position(|run| run.id == id);
        let on_core = self.on_cores.iter().find(|(_, run)| run.id == id).map(|(key, _)| *key);
        if let Some(index) = waiting {
            self.waiting.remove(index);
        } else if let Some(index) = awaiting_call {
            self.awaiting_call.swap_remove(index);
        } else if let Some(key) = on_core {
            self.on_cores.remove(&key);
        } else {
            return;
        }
        self.ended += 1;
        self.notice(&format!("outcome {id} KILLED 1 0"), &[]);
    }

    fn finish_runs(&mut self, now: Instant) {
        while let Some(entry) = self.on_cores.first_entry().filter(|entry| entry.key().0 <= now) {
            let run = entry.remove();
            self.finish(run);
        }
    }

    fn start_runs(&mut self, now: Instant, cores: usize) {
        while self.on_cores.len() < cores {
            let Some(run) = self.waiting.pop_front() else { break };
            self.next_number += 1;
            let runs = self.waiting.len() + self.on_cores.len() + 1;
            let crowding = runs as f64 / (RUNS_PER_CORE * cores) as f64;
            let slowdown = if self.thrashes { crowding.clamp(1.0, WORST_THRASHING) } else { 1.0 };
            let slowdown = slowdown / self.speed();
            let key = (now + run.method.work.mul_f64(slowdown), self.next_number);
            self.total_work += run.method.work;
            self.on_cores.insert(key, run);
        }
    }

    /// Opens or ends the span in which all cores are busy.
    fn account_busy(&mut self, now: Instant, cores: usize) {
        let (at, all_busy) = (self.micros(now), self.on_cores.len() >= cores);
        match self.busy.last_entry() {
            Some(mut last) if *last.get() == OPEN_SPAN && !all_busy => {
                last.insert(at);
            }
            _ if all_busy => drop(self.busy.insert(at, OPEN_SPAN)),
            _ => {}
        }
    }

    fn finish(&mut self, run: Run) {
        if run.method.calls_upstream && !run.called {
            self.notice(&format!("request {} {}", run.id, run.body.len()), &run.body);
            self.awaiting_call.push(run);
            return;
        }
        self.ended += 1;
        let ms = run.method.work.as_millis();
        if run.method.fails_every > 0 && self.ended.is_multiple_of(run.method.fails_every) {
            return self.notice(&format!("outcome {} FAIL {ms} 0", run.id), &[]);
        }
        let result = [b"did ", &run.body[..]].concat();
        self.notice(&format!("outcome {} PASS {ms} {}", run.id, result.len()), &result);
    }
}

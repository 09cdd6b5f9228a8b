//! A stub agent that simulates the machine's cores and records what it ran.

use crate::method::Method;
use crate::sync::lock;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time before a moment during which at least one core has to have been free throughout.
const FREE_CORE_WINDOW_US: u64 = 100_000;
/// Delay with which a launch may arrive after rejections of the same burst of RPCs.
const MAX_LAUNCH_DELAY_US: u64 = 20_000;
const MAX_IDLE_WAIT: Duration = Duration::from_millis(50);
/// End of a busy span that has not ended.
const OPEN_SPAN_END_US: u64 = u64::MAX;
/// Runs per core beyond which the cores thrash.
const THRASHING_RUNS_PER_CORE: usize = 3;
/// Largest factor by which thrashing makes a run take longer.
const MAX_THRASHING_FACTOR: f64 = 6.0;

/// Cores that start at a fraction of their speed and warm up.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Speed at the start (0 to 1).
    pub initial_speed: f64,
    /// Time until the cores run at full speed; the speed grows linearly.
    pub warm_up: Duration,
}

impl ColdStart {
    /// Returns the speed (0 to 1) at `uptime` after the start.
    pub fn speed(&self, uptime: Duration) -> f64 {
        let warmed = (uptime.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        self.initial_speed + (1.0 - self.initial_speed) * warmed
    }
}

/// State of the agent, and its record of what it ran.
pub struct AgentState {
    /// Number of runs that began, by the body that they were launched with.
    pub starts: BTreeMap<Vec<u8>, u64>,
    /// Number of runs that began.
    pub started: u64,
    /// Number of runs that ended.
    pub ended: u64,
    /// Whether the cores thrash: with more than three runs per core each run takes longer.
    pub thrashes: bool,
    /// Number, counted from 1, of the launch that is read and dropped.
    pub lost_launch: Option<u64>,
    /// Number of launches of runs that exist already; these do not begin again.
    pub repeated_launches: u64,
    /// Total work of the runs that were started on cores.
    pub total_work: Duration,
    /// Times at which a run was told to continue without its call.
    pub skipped_calls: Vec<Instant>,
    created: Instant,
    launches: u64,
    /// Warm-up of cores that are slow after a start, and the time of the start.
    cold: Option<(ColdStart, Instant)>,
    /// Spans in which all cores were busy, by start and end in microseconds since the agent was created. The last may
    /// be open.
    busy: BTreeMap<u64, u64>,
    waiting: VecDeque<Run>,
    /// Runs on cores, by their end time and a number that distinguishes runs with the same end time.
    on_cores: BTreeMap<(Instant, u64), Run>,
    /// Runs that wait for the answer to their upstream call.
    awaiting_call: Vec<Run>,
    /// Notices sent so far, for a backend that subscribes again.
    notices: Vec<Vec<u8>>,
    subscriber: Option<TcpStream>,
    last_run_number: u64,
}

#[derive(Clone)]
struct Run {
    id: String,
    method: Method,
    body: Vec<u8>,
    called: bool,
}

/// A stub agent with a fixed number of cores.
#[derive(Clone)]
pub struct Agent {
    /// Address on which the agent listens.
    pub address: SocketAddr,
    cores: usize,
    methods: Arc<Vec<Method>>,
    shared: Arc<(Mutex<AgentState>, Condvar)>,
}

impl Agent {
    /// Starts an agent that listens on a port chosen by the system.
    pub fn start(cores: usize, methods: &[Method]) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new((Mutex::new(AgentState::new()), Condvar::new()));
        let agent = Agent { address, cores, methods: Arc::new(methods.to_vec()), shared };
        let (acceptor, scheduler) = (agent.clone(), agent.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = acceptor.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        std::thread::spawn(move || scheduler.schedule_runs());
        Ok(agent)
    }

    /// Locks and returns the state of the agent.
    pub fn state(&self) -> MutexGuard<'_, AgentState> {
        lock(&self.shared.0)
    }

    /// Simulates a restart of the machine: runs and notices are lost and the cores are cold. The record of what ran
    /// stays.
    pub fn restart_cold(&self, cold: ColdStart) {
        let mut state = self.state();
        state.waiting.clear();
        state.on_cores.clear();
        state.awaiting_call.clear();
        state.cold = Some((cold, Instant::now()));
        state.reset_backend_session();
    }

    /// Simulates a restart of the backend while the agent keeps running: notices are numbered from 1 again.
    pub fn handle_backend_restart(&self) {
        self.state().reset_backend_session();
    }

    /// Counts the repeated runs of the same body, over all bodies that begin with `prefix`.
    pub fn repeated_runs(&self, prefix: &str) -> u64 {
        let state = self.state();
        let bodies = state.starts.iter().filter(|(body, _)| body.starts_with(prefix.as_bytes()));
        bodies.map(|(_, starts)| starts - 1).sum()
    }

    /// Serves the connection of a backend until it ends.
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
            self.handle_command(&stream, &words, body)?;
            self.shared.1.notify_one();
        }
    }

    fn handle_command(&self, stream: &TcpStream, words: &[&str], body: Vec<u8>) -> Option<()> {
        let mut state = self.state();
        match words {
            ["subscribe", last, ..] => state.subscribe(stream.try_clone().ok()?, last.parse().ok()?)?,
            ["launch", id, method, ..] => {
                let method = self.methods.iter().find(|candidate| candidate.name == *method).copied();
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
            ["freeze", id, ..] => state.stop_run(id),
            _ => {}
        }
        Some(())
    }

    /// Runs launches on the cores: each waits for a core in order of arrival and occupies it for the time of its work.
    fn schedule_runs(&self) {
        let mut state = self.state();
        loop {
            let now = Instant::now();
            state.finish_runs(now);
            state.start_runs(now, self.cores);
            state.record_busy_span(now, self.cores);
            let next_end = state.on_cores.first_key_value().map(|((end, _), _)| *end);
            if next_end.is_some_and(|end| end <= Instant::now()) {
                continue;
            }
            let wait = next_end.map_or(MAX_IDLE_WAIT, |end| end.saturating_duration_since(Instant::now()));
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
            last_run_number: 0,
        }
    }

    /// Reports whether a core was free during the 100 ms before `at` and for 20 ms after it: a launch from a burst of
    /// RPCs arrives at the agent a little later than the rejections of the same burst are sent.
    pub fn had_free_core(&self, at: Instant) -> bool {
        let at_us = self.micros_since_creation(at);
        let last_busy = self.busy.range(..=at_us + MAX_LAUNCH_DELAY_US).next_back();
        last_busy.is_none_or(|(_, end)| *end < at_us.saturating_sub(FREE_CORE_WINDOW_US))
    }

    fn micros_since_creation(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.created).as_micros() as u64
    }

    /// Returns the number of runs that wait for the answer to their upstream call.
    pub fn waiting_for_calls(&self) -> usize {
        self.awaiting_call.len()
    }

    fn speed(&self) -> f64 {
        self.cold.map_or(1.0, |(cold, since)| cold.speed(since.elapsed()))
    }

    /// Discards the notices and the connection of an earlier backend process.
    fn reset_backend_session(&mut self) {
        self.notices.clear();
        if let Some(subscriber) = self.subscriber.take() {
            subscriber.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }

    /// Greets a backend that has read `read` notices, and sends it the later ones.
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

    /// Continues a run after its upstream call.
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

    /// Sends a numbered notice and keeps it for a backend that subscribes again. `rest` holds its kind, and what
    /// follows the number.
    fn send_notice(&mut self, rest: &str, body: &[u8]) {
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

    fn stop_run(&mut self, id: &str) {
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
        self.send_notice(&format!("outcome {id} KILLED 1 0"), &[]);
    }

    fn finish_runs(&mut self, now: Instant) {
        while let Some(entry) = self.on_cores.first_entry().filter(|entry| entry.key().0 <= now) {
            let run = entry.remove();
            self.finish_run(run);
        }
    }

    fn start_runs(&mut self, now: Instant, cores: usize) {
        while self.on_cores.len() < cores {
            let Some(run) = self.waiting.pop_front() else { break };
            self.last_run_number += 1;
            let runs = self.waiting.len() + self.on_cores.len() + 1;
            let load_ratio = runs as f64 / (THRASHING_RUNS_PER_CORE * cores) as f64;
            let slowdown = if self.thrashes { load_ratio.clamp(1.0, MAX_THRASHING_FACTOR) } else { 1.0 };
            let slowdown = slowdown / self.speed();
            let key = (now + run.method.work.mul_f64(slowdown), self.last_run_number);
            self.total_work += run.method.work;
            self.on_cores.insert(key, run);
        }
    }

    /// Starts or ends the span in which all cores are busy.
    fn record_busy_span(&mut self, now: Instant, cores: usize) {
        let (now_us, all_busy) = (self.micros_since_creation(now), self.on_cores.len() >= cores);
        match self.busy.last_entry() {
            Some(mut last) if *last.get() == OPEN_SPAN_END_US && !all_busy => {
                last.insert(now_us);
            }
            _ if all_busy => drop(self.busy.insert(now_us, OPEN_SPAN_END_US)),
            _ => {}
        }
    }

    fn finish_run(&mut self, run: Run) {
        if run.method.calls_upstream && !run.called {
            self.send_notice(&format!("request {} {}", run.id, run.body.len()), &run.body);
            self.awaiting_call.push(run);
            return;
        }
        self.ended += 1;
        let ms = run.method.work.as_millis();
        if run.method.fails_every > 0 && self.ended.is_multiple_of(run.method.fails_every) {
            return self.send_notice(&format!("outcome {} FAIL {ms} 0", run.id), &[]);
        }
        let result = [b"did ", &run.body[..]].concat();
        self.send_notice(&format!("outcome {} PASS {ms} {}", run.id, result.len()), &result);
    }
}

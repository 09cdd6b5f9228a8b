//! A stub agent without a core limit that records the duration of each run.

use crate::sync::lock;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const MAX_IDLE_WAIT: Duration = Duration::from_millis(50);

#[derive(Default)]
struct AgentState {
    /// The backend connection that subscribed last.
    subscriber: Option<TcpStream>,
    notice_count: u64,
    /// Runs in progress, by the time of their end and a number that makes the key unique.
    running: BTreeMap<(Instant, u64), Run>,
    next_run_number: u64,
    /// Durations from the launch that was read to the outcome that was written, by the number in the body of the RPC.
    run_times: HashMap<u64, Duration>,
}

struct Run {
    id: String,
    body: Vec<u8>,
    received_at: Instant,
}

/// Returns the number of an RPC whose run time is recorded.
fn rpc_number(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.strip_prefix("rpc ")?.parse().ok()
}

impl AgentState {
    fn send(&mut self, bytes: &[u8]) {
        if self.subscriber.as_mut().is_some_and(|to| to.write_all(bytes).is_err()) {
            self.subscriber = None;
        }
    }

    fn finish(&mut self, run: &Run, outcome: &str) {
        let result = if outcome == "PASS" { [b"did ", &run.body[..]].concat() } else { Vec::new() };
        self.notice_count += 1;
        let head = format!("outcome {} {} {outcome} 1 {}\r\n", self.notice_count, run.id, result.len());
        let bytes = [head.as_bytes(), &result, b"\r\n"].concat();
        if let Some(number) = rpc_number(&run.body) {
            self.run_times.insert(number, run.received_at.elapsed());
        }
        self.send(&bytes);
    }
}

/// An agent whose runs all take the same time, and which records the duration of each run.
#[derive(Clone)]
pub struct TimedAgent {
    /// The listening address.
    pub addr: SocketAddr,
    work: Duration,
    shared: Arc<(Mutex<AgentState>, Condvar)>,
    stopped: Arc<AtomicBool>,
}

impl TimedAgent {
    /// Listens on a port that the system chooses; each run takes `work`.
    pub fn start(work: Duration) -> std::io::Result<TimedAgent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let agent = TimedAgent {
            addr: listener.local_addr()?,
            work,
            shared: Arc::default(),
            stopped: Arc::default(),
        };
        let (acceptor, worker) = (agent.clone(), agent.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.stopped.load(Ordering::Acquire) {
                    return;
                }
                let agent = acceptor.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        thread::spawn(move || worker.finish_runs());
        Ok(agent)
    }

    /// Removes and returns the recorded duration of the run of an RPC.
    pub fn take_run_time(&self, rpc: u64) -> Option<Duration> {
        self.state().run_times.remove(&rpc)
    }

    /// Stops the threads of the agent.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.shared.1.notify_all();
        // Wakes the acceptor, so that it sees the flag.
        drop(TcpStream::connect(self.addr));
    }

    fn state(&self) -> MutexGuard<'_, AgentState> {
        lock(&self.shared.0)
    }

    /// Serves a backend connection until it closes.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let received_at = Instant::now();
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let mut body = Vec::new();
            if ["launch", "deliver"].contains(&words[0]) {
                body = vec![0; words.last()?.parse::<usize>().ok()? + 2];
                reader.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
            }
            self.handle(&stream, &words, body, received_at)?;
        }
    }

    fn handle(&self, stream: &TcpStream, words: &[&str], body: Vec<u8>, received_at: Instant) -> Option<()> {
        let id = words.get(1).copied().unwrap_or_default();
        let mut state = self.state();
        match words[0] {
            "subscribe" => {
                let mut subscriber = stream.try_clone().ok()?;
                subscriber.write_all(b"greeting LOADED 3600000\r\n").ok()?;
                state.subscriber = Some(subscriber);
            }
            "launch" => {
                let run = Run { id: id.into(), body, received_at };
                if self.work.is_zero() {
                    state.finish(&run, "PASS");
                } else {
                    state.next_run_number += 1;
                    let key = (received_at + self.work, state.next_run_number);
                    state.running.insert(key, run);
                    drop(state);
                    self.shared.1.notify_one();
                }
            }
            "sample" => {
                let on_cores = state.running.len();
                state.send(format!("sampled {id} {on_cores} 8\r\n").as_bytes());
            }
            "exercise" => state.send(format!("exercised {id} PASS\r\n").as_bytes()),
            "freeze" => {
                let key = state.running.iter().find(|(_, run)| run.id == id).map(|(key, _)| *key);
                if let Some(run) = key.and_then(|key| state.running.remove(&key)) {
                    state.finish(&run, "KILLED");
                }
            }
            _ => {}
        }
        Some(())
    }

    /// Finishes runs when they are due, until the agent is stopped.
    fn finish_runs(&self) {
        let mut state = self.state();
        while !self.stopped.load(Ordering::Acquire) {
            while let Some(entry) =
                state.running.first_entry().filter(|entry| entry.key().0 <= Instant::now())
            {
                let run = entry.remove();
                state.finish(&run, "PASS");
            }
            let next_end = state.running.first_key_value().map(|((end, _), _)| *end);
            let wait = next_end.map_or(MAX_IDLE_WAIT, |end| end.saturating_duration_since(Instant::now()));
            state = self.shared.1.wait_timeout(state, wait).unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

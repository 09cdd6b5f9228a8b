//! An upstream that a fleet shares: so many calls at a time, each for so long; what waits beyond a bound is rejected.

use crate::sync::lock;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const IDLE_WAIT: Duration = Duration::from_millis(50);
const WAITING_PER_SLOT: usize = 4; // calls, beyond which more are rejected
const BUCKET_MS: u64 = 100;

/// The upstream.
#[derive(Clone)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<UpstreamState>, Condvar)>,
    stopped: Arc<AtomicBool>,
}

struct Call {
    id: String,
    body: Vec<u8>,
    to: Arc<Mutex<TcpStream>>,
    /// Of the connection: a call whose connection is gone is given up.
    alive: Arc<AtomicBool>,
}

/// Calls in hand, and the upstream's account of them.
pub struct UpstreamState {
    slots: usize,
    work: Duration,
    /// Of its full speed.
    speed: f64,
    waiting: VecDeque<Call>,
    /// By when they end, and a number that keeps those of one moment apart.
    in_progress: BTreeMap<(Instant, u64), Call>,
    next_number: u64,
    start: Instant,
    /// Calls that came, by tenths of a second since the start.
    pub arrivals: Vec<u32>,
    /// Calls waiting and in progress, in seconds of one, by such tenths.
    pub occupancy: Vec<f64>,
    /// Up to when that is counted.
    counted: Instant,
    /// The tenths in which a call had to wait, or was rejected.
    full: BTreeSet<usize>,
    /// Calls that were rejected.
    pub rejected: u64,
}

impl UpstreamState {
    /// Calls a second that it can do at full speed.
    pub fn capacity(&self) -> f64 {
        self.slots as f64 / self.work.as_secs_f64()
    }

    /// Whether it had a slot free all through these tenths of a second since the start.
    pub fn had_free_slot(&self, buckets: RangeInclusive<usize>) -> bool {
        self.full.range(buckets).next().is_none()
    }

    /// It restarts at a part of its speed: nothing is left of calls before.
    pub fn restart(&mut self, speed: f64) {
        self.waiting.clear();
        self.in_progress.clear();
        self.speed = speed;
    }

    /// Counts occupancy since the last time.
    fn count_occupancy(&mut self) {
        let now = Instant::now();
        let calls = (self.waiting.len() + self.in_progress.len()) as f64;
        while self.counted < now {
            let bucket = ((self.counted - self.start).as_millis() as u64 / BUCKET_MS) as usize;
            let edge = self.start + Duration::from_millis((bucket as u64 + 1) * BUCKET_MS);
            let until = edge.min(now);
            *element_mut(&mut self.occupancy, bucket) += calls * (until - self.counted).as_secs_f64();
            self.counted = until;
        }
    }

    /// Whether there is space for one more call, which is counted.
    fn admit(&mut self) -> bool {
        self.count_occupancy();
        let bucket = (self.start.elapsed().as_millis() as u64 / BUCKET_MS) as usize;
        *element_mut(&mut self.arrivals, bucket) += 1;
        if !self.waiting.is_empty() || self.in_progress.len() >= self.slots {
            self.full.insert(bucket);
        }
        let admitted = self.waiting.len() < WAITING_PER_SLOT * self.slots;
        self.rejected += u64::from(!admitted);
        admitted
    }

    fn cancel(&mut self, id: &str) {
        self.count_occupancy();
        self.waiting.retain(|call| call.id != id);
    }

    /// Calls whose time is over.
    fn finish_calls(&mut self, now: Instant) -> Vec<Call> {
        let mut done = Vec::new();
        while let Some(entry) = self.in_progress.first_entry().filter(|entry| entry.key().0 <= now) {
            done.push(entry.remove());
        }
        done
    }

    fn start_calls(&mut self, now: Instant) {
        while self.in_progress.len() < self.slots {
            let Some(call) = self.waiting.pop_front() else { break };
            if call.alive.load(Ordering::Acquire) {
                self.next_number += 1;
                let key = (now + self.work.div_f64(self.speed), self.next_number);
                self.in_progress.insert(key, call);
            }
        }
    }

    fn next_end_in(&self) -> Duration {
        let first = self.in_progress.first_key_value();
        first.map_or(IDLE_WAIT, |((at, _), _)| at.saturating_duration_since(Instant::now()))
    }
}

/// An element of a list that grows up to it.
pub(super) fn element_mut<T: Clone + Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if list.len() <= index {
        list.resize(index + 1, T::default());
    }
    &mut list[index]
}

impl Upstream {
    /// Listens on a port that the system chooses; `start` is when its account begins.
    pub fn start(start: Instant, slots: usize, work: Duration) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = UpstreamState {
            slots,
            work,
            speed: 1.0,
            waiting: VecDeque::new(),
            in_progress: BTreeMap::new(),
            next_number: 0,
            start,
            arrivals: Vec::new(),
            occupancy: Vec::new(),
            counted: start,
            full: BTreeSet::new(),
            rejected: 0,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let upstream = Upstream { address: listener.local_addr()?, shared, stopped: Arc::default() };
        let (acceptor, worker) = (upstream.clone(), upstream.clone());
        thread::spawn(move || acceptor.accept(&listener));
        thread::spawn(move || worker.work());
        Ok(upstream)
    }

    /// Its calls and its account.
    pub fn state(&self) -> MutexGuard<'_, UpstreamState> {
        lock(&self.shared.0)
    }

    /// Ends its threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.shared.1.notify_all();
        drop(TcpStream::connect(self.address)); // so that the acceptor looks
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.stopped.load(Ordering::Acquire) {
                return;
            }
            let upstream = self.clone();
            thread::spawn(move || {
                let alive = Arc::new(AtomicBool::new(true));
                drop(upstream.serve(stream, &alive));
                alive.store(false, Ordering::Release);
            });
        }
    }

    fn serve(&self, stream: TcpStream, alive: &Arc<AtomicBool>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let to = Arc::new(Mutex::new(stream.try_clone()?));
        let mut from = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["OP", id, _, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    from.read_exact(&mut body)?;
                    let mut state = self.state();
                    if !state.admit() {
                        drop(state);
                        lock(&to).write_all(format!("{id} WAIT\r\n").as_bytes())?;
                        continue;
                    }
                    let (to, alive) = (to.clone(), alive.clone());
                    state.waiting.push_back(Call { id: id.into(), body, to, alive });
                    drop(state);
                    self.shared.1.notify_one();
                }
                ["UNOP", id] => self.state().cancel(id),
                _ => return Ok(()),
            }
        }
    }

    fn work(&self) {
        let mut state = self.state();
        while !self.stopped.load(Ordering::Acquire) {
            let now = Instant::now();
            state.count_occupancy();
            let done = state.finish_calls(now);
            state.start_calls(now);
            let wait = state.next_end_in();
            drop(state);
            for call in done {
                let head = format!("{} DONE {}\r\n", call.id, call.body.len() - 2);
                let reply = [head.as_bytes(), &call.body].concat();
                lock(&call.to).write_all(&reply).unwrap_or_default();
            }
            state = self.state();
            if state.in_progress.len() < state.slots && !state.waiting.is_empty() {
                continue;
            }
            state = self.shared.1.wait_timeout(state, wait).unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

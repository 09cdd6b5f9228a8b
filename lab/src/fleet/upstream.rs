//! Stub of an upstream that a fleet shares. It processes a fixed number of calls concurrently, each for a fixed
//! time, and rejects calls when its queue is full.

use crate::sync::lock;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const MAX_IDLE_WAIT: Duration = Duration::from_millis(50);
const MAX_QUEUED_CALLS_PER_SLOT: usize = 4;
const BUCKET_MS: u64 = 100;

/// The upstream; clones share its state.
#[derive(Clone)]
pub struct Upstream {
    /// Address at which the upstream listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<UpstreamState>, Condvar)>,
    stopped: Arc<AtomicBool>,
}

struct Call {
    id: String,
    body: Vec<u8>,
    to: Arc<Mutex<TcpStream>>,
    /// Whether the connection is open; a call whose connection has closed is not started.
    connected: Arc<AtomicBool>,
}

/// Queued and running calls of the upstream, and its statistics.
pub struct UpstreamState {
    slots: usize,
    call_time: Duration,
    /// Fraction of the full speed.
    speed: f64,
    queued: VecDeque<Call>,
    /// Running calls by end time, with a sequence number that distinguishes calls of the same end time.
    running: BTreeMap<(Instant, u64), Call>,
    last_sequence_number: u64,
    start: Instant,
    /// Number of received calls, by 100 ms buckets since the start.
    pub arrivals: Vec<u32>,
    /// Sum of the seconds that calls were queued or running, by 100 ms buckets since the start.
    pub occupancy: Vec<f64>,
    /// Time up to which `occupancy` is complete.
    occupancy_counted_until: Instant,
    /// Buckets in which a call was queued or rejected, as no slot was free.
    saturated_buckets: BTreeSet<usize>,
    /// Number of rejected calls.
    pub rejected: u64,
}

impl UpstreamState {
    /// Returns the number of calls per second that the upstream can process at full speed.
    pub fn capacity(&self) -> f64 {
        self.slots as f64 / self.call_time.as_secs_f64()
    }

    /// Reports whether no call had to wait for a slot in these buckets.
    pub fn had_free_slot(&self, buckets: RangeInclusive<usize>) -> bool {
        self.saturated_buckets.range(buckets).next().is_none()
    }

    /// Restarts at a fraction of the full speed; earlier calls are lost.
    pub fn restart(&mut self, speed: f64) {
        self.queued.clear();
        self.running.clear();
        self.speed = speed;
    }

    /// Updates `occupancy` up to the present.
    fn count_occupancy(&mut self) {
        let now = Instant::now();
        let calls = (self.queued.len() + self.running.len()) as f64;
        while self.occupancy_counted_until < now {
            let bucket =
                ((self.occupancy_counted_until - self.start).as_millis() as u64 / BUCKET_MS) as usize;
            let bucket_end = self.start + Duration::from_millis((bucket as u64 + 1) * BUCKET_MS);
            let until = bucket_end.min(now);
            *element_mut(&mut self.occupancy, bucket) +=
                calls * (until - self.occupancy_counted_until).as_secs_f64();
            self.occupancy_counted_until = until;
        }
    }

    /// Counts a received call and reports whether the queue has space for it.
    fn try_admit(&mut self) -> bool {
        self.count_occupancy();
        let bucket = (self.start.elapsed().as_millis() as u64 / BUCKET_MS) as usize;
        *element_mut(&mut self.arrivals, bucket) += 1;
        if !self.queued.is_empty() || self.running.len() >= self.slots {
            self.saturated_buckets.insert(bucket);
        }
        let admitted = self.queued.len() < MAX_QUEUED_CALLS_PER_SLOT * self.slots;
        self.rejected += u64::from(!admitted);
        admitted
    }

    fn cancel(&mut self, id: &str) {
        self.count_occupancy();
        self.queued.retain(|call| call.id != id);
    }

    /// Removes and returns the calls that have ended.
    fn finish_calls(&mut self, now: Instant) -> Vec<Call> {
        let mut done = Vec::new();
        while let Some(entry) = self.running.first_entry().filter(|entry| entry.key().0 <= now) {
            done.push(entry.remove());
        }
        done
    }

    fn start_calls(&mut self, now: Instant) {
        while self.running.len() < self.slots {
            let Some(call) = self.queued.pop_front() else { break };
            if call.connected.load(Ordering::Acquire) {
                self.last_sequence_number += 1;
                let key = (now + self.call_time.div_f64(self.speed), self.last_sequence_number);
                self.running.insert(key, call);
            }
        }
    }

    fn time_until_next_end(&self) -> Duration {
        let first = self.running.first_key_value();
        first.map_or(MAX_IDLE_WAIT, |((at, _), _)| at.saturating_duration_since(Instant::now()))
    }
}

/// Returns the element at an index of a list; the list grows to this length if it is shorter.
pub(super) fn element_mut<T: Clone + Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if list.len() <= index {
        list.resize(index + 1, T::default());
    }
    &mut list[index]
}

impl Upstream {
    /// Starts an upstream on a port that the system chooses; `start` is the time at which its statistics begin.
    pub fn start(start: Instant, slots: usize, call_time: Duration) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = UpstreamState {
            slots,
            call_time,
            speed: 1.0,
            queued: VecDeque::new(),
            running: BTreeMap::new(),
            last_sequence_number: 0,
            start,
            arrivals: Vec::new(),
            occupancy: Vec::new(),
            occupancy_counted_until: start,
            saturated_buckets: BTreeSet::new(),
            rejected: 0,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let upstream = Upstream { address: listener.local_addr()?, shared, stopped: Arc::default() };
        let (acceptor, worker) = (upstream.clone(), upstream.clone());
        thread::spawn(move || acceptor.accept(&listener));
        thread::spawn(move || worker.process_calls());
        Ok(upstream)
    }

    /// Returns the locked state: calls and statistics.
    pub fn state(&self) -> MutexGuard<'_, UpstreamState> {
        lock(&self.shared.0)
    }

    /// Stops its threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.shared.1.notify_all();
        // The connection wakes the acceptor, which then sees the stop flag.
        drop(TcpStream::connect(self.address));
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.stopped.load(Ordering::Acquire) {
                return;
            }
            let upstream = self.clone();
            thread::spawn(move || {
                let connected = Arc::new(AtomicBool::new(true));
                drop(upstream.serve(stream, &connected));
                connected.store(false, Ordering::Release);
            });
        }
    }

    fn serve(&self, stream: TcpStream, connected: &Arc<AtomicBool>) -> std::io::Result<()> {
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
                    if !state.try_admit() {
                        drop(state);
                        lock(&to).write_all(format!("{id} WAIT\r\n").as_bytes())?;
                        continue;
                    }
                    let (to, connected) = (to.clone(), connected.clone());
                    state.queued.push_back(Call { id: id.into(), body, to, connected });
                    drop(state);
                    self.shared.1.notify_one();
                }
                ["UNOP", id] => self.state().cancel(id),
                _ => return Ok(()),
            }
        }
    }

    fn process_calls(&self) {
        let mut state = self.state();
        while !self.stopped.load(Ordering::Acquire) {
            let now = Instant::now();
            state.count_occupancy();
            let done = state.finish_calls(now);
            state.start_calls(now);
            let wait = state.time_until_next_end();
            drop(state);
            for call in done {
                let head = format!("{} DONE {}\r\n", call.id, call.body.len() - 2);
                let reply = [head.as_bytes(), &call.body].concat();
                lock(&call.to).write_all(&reply).unwrap_or_default();
            }
            state = self.state();
            if state.running.len() < state.slots && !state.queued.is_empty() {
                continue;
            }
            state = self.shared.1.wait_timeout(state, wait).unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

//! Simulated sidecars: framed RPCs at given rates over a few connections, with the outcome of each.

use crate::sidecar::{new_trace, read_frame, RpcHeader, ANSWER, DRAINING, MAX_STREAMS, OK, REJECTED};
use crate::sync::lock;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONNECTIONS: usize = 8;
/// Number of callers, to which the connections are assigned in turn.
const CALLERS: usize = 4;
/// Time beyond the longest timeout in which answers are still accepted.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(200);

/// Load of one method.
#[derive(Clone, Copy, Debug)]
pub struct MethodLoad {
    /// Name of the method.
    pub method: &'static str,
    /// Frequency of its calls in relation to the other methods.
    pub weight: u32,
    /// Criticality of the method.
    pub criticality: f64,
    /// Latency target.
    pub target: Duration,
    /// Time that callers wait for an answer.
    pub timeout: Duration,
}

/// Outcomes of the RPCs of one method.
#[derive(Clone, Debug)]
pub struct MethodStats {
    /// RPCs that were sent.
    pub sent: u64,
    /// Answers with a result.
    pub ok: u64,
    /// Answers with a result within the latency target.
    pub in_time: u64,
    /// Rejections before the RPC ran.
    pub rejected: u64,
    /// All other answers.
    pub aborted: u64,
    /// RPCs without an answer after their timeout.
    pub unanswered: u64,
    /// Answers to RPCs that had been answered before.
    pub answered_twice: u64,
    /// Results that do not belong to their RPC.
    pub wrong_results: u64,
    /// Latency of answers with a result, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl MethodStats {
    fn new() -> MethodStats {
        let latency_us = Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
        MethodStats {
            sent: 0,
            ok: 0,
            in_time: 0,
            rejected: 0,
            aborted: 0,
            unanswered: 0,
            answered_twice: 0,
            wrong_results: 0,
            latency_us,
        }
    }
}

/// Outcomes of RPCs by method.
pub type LoadStats = BTreeMap<&'static str, MethodStats>;

/// A rate of RPCs for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct RateSpan {
    /// Time for which the rate holds.
    pub duration: Duration,
    /// RPCs per second.
    pub rate: f64,
}

impl RateSpan {
    /// Returns a span of `rate` RPCs per second for `duration`.
    pub const fn new(duration: Duration, rate: f64) -> RateSpan {
        RateSpan { duration, rate }
    }
}

/// Returns the fraction (0 to 1) of RPCs, weighted by criticality, that were answered with a result within the latency
/// target.
pub fn in_time(stats: &LoadStats, methods: &[MethodLoad]) -> f64 {
    let weighted = |count: fn(&MethodStats) -> u64| -> f64 {
        let of = |method: &MethodLoad| {
            stats.get(method.method).map_or(0.0, |stats| count(stats) as f64 * method.criticality)
        };
        methods.iter().map(of).sum()
    };
    weighted(|stats| stats.in_time) / weighted(|stats| stats.sent).max(1e-9)
}

/// Returns the 99th percentile of the latency over all methods, in ms.
pub fn p99_ms(stats: &LoadStats) -> f64 {
    let mut all = MethodStats::new().latency_us;
    stats.values().for_each(|stats| all.add(&stats.latency_us).unwrap_or_default());
    all.value_at_quantile(0.99) as f64 / 1000.0
}

/// Returns the sum of a count over all methods.
pub fn sum(stats: &LoadStats, count: fn(&MethodStats) -> u64) -> u64 {
    stats.values().map(count).sum()
}

/// Picks a method at random in proportion to the weights.
pub fn pick_weighted<'a>(methods: &'a [MethodLoad], rng: &mut StdRng) -> Option<&'a MethodLoad> {
    let total: u32 = methods.iter().map(|method| method.weight).sum();
    let mut pick = rng.random_range(0..total);
    methods.iter().find(|method| {
        let hit = pick < method.weight;
        pick = pick.saturating_sub(method.weight);
        hit
    })
}

/// An RPC that waits for its answer.
struct InFlight {
    method: &'static str,
    target: Duration,
    sent: Instant,
    body: Vec<u8>,
}

type InFlightTable = Arc<Mutex<BTreeMap<u32, InFlight>>>;

struct Connection {
    stream: TcpStream,
    next_stream: u32,
    in_flight: InFlightTable,
}

/// State that the threads of a load share.
#[derive(Clone)]
struct Shared {
    stats: Arc<Mutex<LoadStats>>,
    /// Set when the backend drains or a connection broke; no further RPC is sent.
    draining: Arc<AtomicBool>,
}

impl Shared {
    fn new(methods: &[MethodLoad]) -> Shared {
        let stats = methods.iter().map(|method| (method.method, MethodStats::new())).collect();
        Shared { stats: Arc::new(Mutex::new(stats)), draining: Arc::default() }
    }

    fn count(&self, method: &'static str, count: impl FnOnce(&mut MethodStats)) {
        count(lock(&self.stats).entry(method).or_insert_with(MethodStats::new));
    }
}

impl Connection {
    fn open(address: SocketAddr, shared: &Shared) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let in_flight = InFlightTable::default();
        let (reader, table, shared) = (stream.try_clone()?, in_flight.clone(), shared.clone());
        std::thread::spawn(move || read_answers(reader, &table, &shared));
        Ok(Connection { stream, next_stream: 0, in_flight })
    }
}

fn read_answers(mut from: TcpStream, in_flight: &InFlightTable, shared: &Shared) -> Option<()> {
    loop {
        let frame = read_frame(&mut from)?;
        if frame.kind == DRAINING {
            shared.draining.store(true, Ordering::Release);
        }
        if frame.kind != ANSWER || frame.stream == 0 {
            continue;
        }
        let Some(rpc) = lock(in_flight).remove(&frame.stream) else {
            lock(&shared.stats).values_mut().take(1).for_each(|stats| stats.answered_twice += 1);
            continue;
        };
        let latency = rpc.sent.elapsed();
        shared.count(rpc.method, |stats| match frame.code() {
            Some(OK) => {
                stats.ok += 1;
                stats.in_time += u64::from(latency <= rpc.target);
                let expected = [b"did ", &rpc.body[..]].concat();
                stats.wrong_results += u64::from(!frame.payload.ends_with(&expected));
                stats.latency_us.record(latency.as_micros() as u64).unwrap_or_default();
            }
            Some(REJECTED) => stats.rejected += 1,
            _ => stats.aborted += 1,
        });
    }
}

/// Sends RPCs at the given rates, one rate after the other, until all have ended, `stop` is set or the backend drains.
/// Then waits for the answers in flight.
pub fn run_load(
    address: SocketAddr, methods: &[MethodLoad], rates: &[RateSpan], seed: u64, stop: &AtomicBool,
) -> std::io::Result<LoadStats> {
    let shared = Shared::new(methods);
    let connections = (0..CONNECTIONS).map(|_| Connection::open(address, &shared));
    let mut connections = connections.collect::<std::io::Result<Vec<Connection>>>()?;
    send(&mut connections, methods, rates, seed, stop, &shared);
    wait_for_answers(&connections, methods);
    let mut stats = lock(&shared.stats).clone();
    for connection in &connections {
        for rpc in lock(&connection.in_flight).values() {
            stats.entry(rpc.method).or_insert_with(MethodStats::new).unanswered += 1;
        }
        connection.stream.shutdown(Shutdown::Both).unwrap_or_default();
    }
    Ok(stats)
}

fn send(
    connections: &mut [Connection], methods: &[MethodLoad], rates: &[RateSpan], seed: u64, stop: &AtomicBool,
    shared: &Shared,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut send_at, mut number) = (Instant::now(), 0_u64);
    for RateSpan { duration, rate } in rates {
        let until = send_at + *duration;
        while send_at < until {
            // Exponential gaps produce Poisson arrivals, as from many independent callers.
            send_at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            std::thread::sleep(send_at.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::Acquire) || shared.draining.load(Ordering::Acquire) {
                return;
            }
            let Some(method) = pick_weighted(methods, &mut rng) else { continue };
            number += 1;
            let index = rng.random_range(0..connections.len());
            let connection = &mut connections[index];
            if lock(&connection.in_flight).len() >= MAX_STREAMS {
                continue;
            }
            connection.next_stream += 1;
            let body = format!("rpc {seed} {number}").into_bytes();
            let header = RpcHeader {
                method: method.method,
                trace: new_trace(&mut rng),
                caller: (index % CALLERS) as u64,
                timeout: method.timeout,
                tenant: None,
            };
            let bytes = header.encode(connection.next_stream, &body);
            let (method, target) = (method.method, method.target);
            let rpc = InFlight { method, target, sent: Instant::now(), body };
            lock(&connection.in_flight).insert(connection.next_stream, rpc);
            shared.count(method, |stats| stats.sent += 1);
            if connection.stream.write_all(&bytes).is_err() {
                shared.draining.store(true, Ordering::Release);
            }
        }
    }
}

/// Waits until each RPC has been answered or has timed out. RPCs without an answer then count as unanswered.
fn wait_for_answers(connections: &[Connection], methods: &[MethodLoad]) {
    let longest = methods.iter().map(|method| method.timeout).max().unwrap_or_default();
    let deadline = Instant::now() + longest + LATE_ANSWER_GRACE;
    let in_flight = |connection: &Connection| lock(&connection.in_flight).len();
    while connections.iter().map(in_flight).sum::<usize>() > 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
}

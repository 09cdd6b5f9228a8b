//! A load of RPCs at a constant mean rate over all methods and tenants, in which each RPC is tracked.

use super::agent::TimedAgent;
use super::ledger::{InFlight, InFlightTable, Ledger, PhaseStats, Violations};
use super::rpc::{encode_rpc, RPC_TIMEOUT};
use super::settings::{method_name, tenant_name};
use super::{health, version_order};
use crate::report::ScenarioError;
use crate::sidecar::{new_trace, read_frame, ANSWER, MAX_STREAMS, OK, REJECTED};
use crate::sync::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of connections that RPCs are sent on.
const CONNECTIONS: usize = 8;
/// Wait for answers beyond the timeout of the last RPC.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait for duplicate answers after the last RPC is answered.
const DUPLICATE_ANSWER_WAIT: Duration = Duration::from_millis(50);

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Number of called methods, numbered from 0.
    pub methods: usize,
    /// Number of tenants, numbered from 0. With 0, RPCs name no tenant.
    pub tenants: usize,
    /// Number of callers, numbered from 1.
    pub callers: usize,
    /// Mean rate in RPCs per second.
    pub rate: f64,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// A connection that RPCs are sent on.
struct Connection {
    stream: TcpStream,
    in_flight: InFlightTable,
    next_stream: u32,
}

/// A load of RPCs over all methods and tenants, from [`BackgroundLoad::start`] until [`BackgroundLoad::finish`].
pub struct BackgroundLoad {
    pub(super) ledger: Arc<Ledger>,
    sender: Option<JoinHandle<Vec<Connection>>>,
    workers: Vec<JoinHandle<()>>,
}

impl BackgroundLoad {
    /// Starts to send RPCs.
    pub fn start(
        at: SocketAddr, agent: &TimedAgent, profile: LoadProfile,
    ) -> std::io::Result<BackgroundLoad> {
        let ledger = Arc::new(Ledger::new());
        let (mut connections, mut workers) = (Vec::new(), Vec::new());
        for _ in 0..CONNECTIONS {
            let stream = connect(at)?;
            let in_flight = InFlightTable::default();
            let (from, table) = (stream.try_clone()?, in_flight.clone());
            let (ledger, agent) = (ledger.clone(), agent.clone());
            workers.push(thread::spawn(move || {
                read_answers(from, &table, &ledger, &agent).unwrap_or_default();
            }));
            connections.push(Connection { stream, in_flight, next_stream: 0 });
        }
        let shared = ledger.clone();
        let sender = Some(thread::spawn(move || send(connections, profile, &shared)));
        Ok(BackgroundLoad { ledger, sender, workers })
    }

    /// Starts continuous health checks of the process and, for comparison, of an echo server, each on its own
    /// connection.
    pub fn check_health(&mut self, at: SocketAddr) -> std::io::Result<()> {
        let echo = TcpListener::bind("127.0.0.1:0")?;
        for (at, is_echo) in [(at, false), (echo.local_addr()?, true)] {
            let stream = connect(at)?;
            let ledger = self.ledger.clone();
            self.workers.push(thread::spawn(move || {
                health::check_repeatedly(stream, &ledger, is_echo).unwrap_or_default();
            }));
        }
        let (accepted, _) = echo.accept()?;
        self.workers.push(thread::spawn(move || health::serve_echo(accepted).unwrap_or_default()));
        Ok(())
    }

    /// Starts to call both tenants of a sentinel pair at once, repeatedly, while
    /// [`BackgroundLoad::set_sentinel_pair`] names one.
    pub fn check_version_order(&mut self, at: SocketAddr, seed: u64) -> std::io::Result<()> {
        let stream = connect(at)?;
        let ledger = self.ledger.clone();
        self.workers.push(thread::spawn(move || {
            version_order::check_repeatedly(stream, &ledger, seed).unwrap_or_default();
        }));
        Ok(())
    }

    /// Sets the sentinel pair of tenants that the next change adds; 0 for none.
    pub fn set_sentinel_pair(&self, pair: u64) {
        self.ledger.sentinel_pair.store(pair, Ordering::Release);
    }

    /// Starts another phase. RPCs that are sent from now on count for it.
    pub fn set_phase(&self, phase: usize) {
        self.ledger.set_phase(phase);
    }

    /// Stops the load and waits for the RPCs in flight. Returns the statistics by phase, and the violations.
    pub fn finish(mut self) -> Result<(Vec<PhaseStats>, Violations), ScenarioError> {
        self.ledger.stop();
        let sender = self.sender.take().ok_or("the load is already finished")?;
        let connections = sender.join().map_err(|_| "the sender thread of the load panicked")?;
        let until = Instant::now() + RPC_TIMEOUT + LATE_ANSWER_TIMEOUT;
        let in_flight =
            || connections.iter().map(|connection| lock(&connection.in_flight).len() as u64).sum::<u64>();
        while in_flight() > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        lock(&self.ledger.violations).unanswered += in_flight();
        thread::sleep(DUPLICATE_ANSWER_WAIT);
        connections
            .iter()
            .for_each(|connection| connection.stream.shutdown(Shutdown::Both).unwrap_or_default());
        for worker in self.workers.drain(..) {
            worker.join().map_err(|_| "a worker thread of the load panicked")?;
        }
        let phases = self.ledger.phases.iter().map(|stats| lock(stats).clone()).collect();
        let violations = lock(&self.ledger.violations).clone();
        Ok((phases, violations))
    }
}

impl Drop for BackgroundLoad {
    fn drop(&mut self) {
        self.ledger.stop();
    }
}

fn connect(at: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends RPCs until the load is stopped or a connection breaks.
fn send(mut connections: Vec<Connection>, profile: LoadProfile, ledger: &Ledger) -> Vec<Connection> {
    let mut rng = StdRng::seed_from_u64(profile.seed);
    let (mut arrival, mut number) = (Instant::now(), 0_u64);
    while !ledger.is_stopped() {
        // Exponential intervals model the arrivals of many independent callers.
        arrival += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / profile.rate);
        thread::sleep(arrival.saturating_duration_since(Instant::now()));
        let index = rng.random_range(0..connections.len());
        let connection = &mut connections[index];
        if lock(&connection.in_flight).len() >= MAX_STREAMS {
            continue;
        }
        number += 1;
        connection.next_stream += 1;
        let stream = connection.next_stream;
        let method = method_name(rng.random_range(0..profile.methods.max(1)));
        let tenant = (profile.tenants > 0).then(|| tenant_name(rng.random_range(0..profile.tenants)));
        let caller = rng.random_range(1..=profile.callers.max(1)) as u64;
        let body = format!("rpc {number}");
        let bytes =
            encode_rpc(stream, &method, tenant.as_deref(), caller, new_trace(&mut rng), body.as_bytes());
        let phase = ledger.phase();
        lock(&ledger.phases[phase]).sent += 1;
        lock(&connection.in_flight).insert(stream, InFlight { number, sent: Instant::now(), phase });
        if connection.stream.write_all(&bytes).is_err() {
            // RPCs in flight count as unanswered.
            break;
        }
    }
    connections
}

/// Reads the answers on a connection and records them.
fn read_answers(
    mut from: TcpStream, in_flight: &InFlightTable, ledger: &Ledger, agent: &TimedAgent,
) -> Option<()> {
    loop {
        let frame = read_frame(&mut from)?;
        if frame.kind != ANSWER || frame.stream == 0 {
            continue;
        }
        let now = Instant::now();
        let Some(rpc) = lock(in_flight).remove(&frame.stream) else {
            lock(&ledger.violations).answered_twice += 1;
            continue;
        };
        let run_time = agent.take_run_time(rpc.number);
        let mut stats = lock(&ledger.phases[rpc.phase]);
        match frame.code() {
            Some(OK) => {
                stats.ok += 1;
                let expected = format!("did rpc {}", rpc.number);
                if !frame.payload.ends_with(expected.as_bytes()) {
                    lock(&ledger.violations).wrong_results += 1;
                }
                let added = now.duration_since(rpc.sent).saturating_sub(run_time.unwrap_or_default());
                stats.added_us.record(added.as_micros() as u64).unwrap_or_default();
            }
            Some(REJECTED) => stats.rejected += 1,
            _ => stats.aborted += 1,
        }
    }
}

#[cfg(test)]
#[path = "tests/load.rs"]
mod tests;

//! RPCs at a steady rate over all methods and tenants, with an account of each.

use super::agent::TimedAgent;
use super::ledger::{InFlight, InFlightTable, Ledger, PhaseStats, Violations};
use super::rpc::{encode_rpc, PATIENCE};
use super::settings::{method_name, tenant_name};
use super::{health, version_order};
use crate::report::ScenarioError;
use crate::sidecar::{read_frame, ANSWER, MAX_STREAMS, OK, REJECTED};
use crate::sync::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const CONNECTIONS: usize = 8; // that RPCs come on
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(500); // beyond the patience of the last RPC
const DUPLICATE_ANSWER_WAIT: Duration = Duration::from_millis(50); // until no RPC is answered a second time any more

/// How RPCs arrive.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Methods that are called, numbered from 0.
    pub methods: usize,
    /// Tenants for whom they are called; with 0 no tenant is named.
    pub tenants: usize,
    /// Callers, numbered from 1.
    pub callers: usize,
    /// RPCs a second.
    pub rate: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// A connection that RPCs are sent on.
struct Connection {
    stream: TcpStream,
    in_flight: InFlightTable,
    next_stream: u32,
}

/// RPCs at a steady rate over all methods and tenants, from [`BackgroundLoad::start`] until [`BackgroundLoad::finish`].
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

    /// Checks health all the time, on a connection of its own; and that of a stand-in beside it.
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

    /// Calls both tenants of a sentinel pair at once, again and again, while [`BackgroundLoad::set_sentinel_pair`] names
    /// one.
    pub fn check_version_order(&mut self, at: SocketAddr, seed: u64) -> std::io::Result<()> {
        let stream = connect(at)?;
        let ledger = self.ledger.clone();
        self.workers.push(thread::spawn(move || {
            version_order::check_repeatedly(stream, &ledger, seed).unwrap_or_default();
        }));
        Ok(())
    }

    /// A change is about to add this sentinel pair of tenants; 0 for none.
    pub fn set_sentinel_pair(&self, pair: u64) {
        self.ledger.sentinel_pair.store(pair, Ordering::Release);
    }

    /// What follows is counted under another phase.
    pub fn set_phase(&self, phase: usize) {
        self.ledger.set_phase(phase);
    }

    /// Sends no more RPCs and waits for those in flight. The figures by phase, and what must never happen.
    pub fn finish(mut self) -> Result<(Vec<PhaseStats>, Violations), ScenarioError> {
        self.ledger.stop();
        let sender = self.sender.take().ok_or("the load has ended already")?;
        let connections = sender.join().map_err(|_| "the load ended badly")?;
        let until = Instant::now() + PATIENCE + LATE_ANSWER_TIMEOUT;
        let in_flight = || connections.iter().map(|one| lock(&one.in_flight).len() as u64).sum::<u64>();
        while in_flight() > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        lock(&self.ledger.violations).unanswered += in_flight();
        thread::sleep(DUPLICATE_ANSWER_WAIT);
        connections.iter().for_each(|one| one.stream.shutdown(Shutdown::Both).unwrap_or_default());
        for worker in self.workers.drain(..) {
            worker.join().map_err(|_| "a stand-in ended badly")?;
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

fn send(mut connections: Vec<Connection>, profile: LoadProfile, ledger: &Ledger) -> Vec<Connection> {
    let mut rng = StdRng::seed_from_u64(profile.seed);
    let (mut at, mut number) = (Instant::now(), 0_u64);
    while !ledger.is_stopped() {
        // Exponential gaps: the arrivals of many callers that are independent of each other.
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / profile.rate);
        thread::sleep(at.saturating_duration_since(Instant::now()));
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
        let bytes = encode_rpc(stream, &method, tenant.as_deref(), caller, rng.random(), body.as_bytes());
        let phase = ledger.phase();
        lock(&ledger.phases[phase]).sent += 1;
        lock(&connection.in_flight).insert(stream, InFlight { number, sent: Instant::now(), phase });
        if connection.stream.write_all(&bytes).is_err() {
            break; // what is in flight counts as unanswered
        }
    }
    connections
}

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

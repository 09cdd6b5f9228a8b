//! `fleet-cold`: all servers start cold at once while the same number of callers send all RPCs that their credit
//! allows.

use super::cluster::Fleet;
use super::single_call::lookup_header;
use super::small_fleet::{member_setup, start_fleet};
use super::workload::{COLD_START, WARM_UP};
use crate::method::{Method, LOOK_UP};
use crate::report::{Report, ScenarioError};
use crate::sidecar::{Answer, ANSWER, MAX_STREAMS};
use crate::sync::lock;
use crate::time::ms;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MAX_SOCKETS: u64 = 512;
const AGENT_CONNECT_WAIT: Duration = ms(300);
/// Time after which a caller ignores an advertised credit.
const CREDIT_TTL: Duration = Duration::from_secs(1);
/// Mean number of turns for each RPC that a caller without credit sends.
const TURNS_PER_CALL_WITHOUT_CREDIT: u32 = 60;
const TURN_INTERVAL: Duration = ms(4);
const SAMPLE_INTERVAL: Duration = ms(5);
/// Seeds that are reserved for the callers of one run, as each caller has its own seed.
const SEEDS_PER_RUN: u64 = 1_000;
/// Size of the length field of a frame, which does not count itself.
const LENGTH_FIELD_BYTES: usize = 4;
const FRAME_HEADER_BYTES: usize = 9;
const READ_BUFFER_BYTES: usize = 4096;

/// Credit that a server advertised: the number of RPCs that a caller may have in flight there.
#[derive(Clone, Copy)]
struct AdvertisedCredit {
    credit: f64,
    /// The credit with its fraction rounded up or down at random.
    limit: usize,
    received_at: Instant,
}

/// Connection of a caller to a server.
struct Connection {
    to: TcpStream,
    bytes: Vec<u8>,
    last_stream: u32,
    /// RPCs in flight by stream, with whether the caller had credit when it sent them.
    in_flight: BTreeMap<u32, bool>,
    credit: Option<AdvertisedCredit>,
}

/// RPCs that a caller with credit has in flight at a server, and its credit there.
#[derive(Clone, Copy, Default)]
struct Usage {
    in_flight: usize,
    credit: f64,
}

/// Usage by server and caller.
type UsageByServer = Vec<Vec<Mutex<Usage>>>;

/// Numbers of RPCs of a caller.
#[derive(Clone, Copy, Default)]
struct Counts {
    sent: u64,
    answered: u64,
}

impl Connection {
    fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let to = TcpStream::connect(address)?;
        to.set_nodelay(true)?;
        to.set_nonblocking(true)?;
        Ok(Connection { to, bytes: Vec::new(), last_stream: 0, in_flight: BTreeMap::new(), credit: None })
    }

    /// Returns the number of RPCs in flight that were sent with credit.
    fn in_flight_with_credit(&self) -> usize {
        self.in_flight.values().filter(|with_credit| **with_credit).count()
    }

    /// Removes the next complete frame from the received bytes and returns its type, stream and payload.
    fn next_frame(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let length = u32::from_be_bytes(self.bytes.get(..LENGTH_FIELD_BYTES)?.try_into().ok()?) as usize;
        let mut header: Vec<u8> = self.bytes.get(..length + LENGTH_FIELD_BYTES)?.to_vec();
        if header.len() < FRAME_HEADER_BYTES {
            return None;
        }
        let payload = header.split_off(FRAME_HEADER_BYTES);
        self.bytes.drain(..length + LENGTH_FIELD_BYTES);
        let stream = u32::from_be_bytes(header[LENGTH_FIELD_BYTES + 1..].try_into().ok()?);
        Some((header[LENGTH_FIELD_BYTES], stream, payload))
    }

    /// Reads what was received and returns how many RPCs it answers.
    fn read_answers(&mut self, rng: &mut StdRng) -> u64 {
        let mut buffer = [0; READ_BUFFER_BYTES];
        while let Ok(n @ 1..) = self.to.read(&mut buffer) {
            self.bytes.extend_from_slice(&buffer[..n]);
        }
        let mut answered = 0;
        while let Some((kind, stream, payload)) = self.next_frame() {
            if kind != ANSWER || self.in_flight.remove(&stream).is_none() {
                continue;
            }
            answered += 1;
            let answer = Answer::parse(&payload);
            let credit = answer.and_then(|answer| answer.field("advice")?.parse::<f64>().ok());
            if let Some(credit) = credit {
                let limit = credit.floor() as usize + usize::from(rng.random::<f64>() < credit.fract());
                self.credit = Some(AdvertisedCredit { credit, limit, received_at: Instant::now() });
            }
        }
        answered
    }

    /// Sends an RPC if the credit allows it, and reports whether it was sent.
    fn send(&mut self, caller: u64, rng: &mut StdRng) -> bool {
        self.credit = self.credit.filter(|credit| credit.received_at.elapsed() < CREDIT_TTL);
        let with_credit = self.in_flight_with_credit();
        let allowed = match self.credit {
            Some(credit) => with_credit < credit.limit,
            // A caller without credit calls rarely, and has one RPC in flight at a time.
            None => {
                self.in_flight.len() == with_credit && rng.random_range(0..TURNS_PER_CALL_WITHOUT_CREDIT) == 0
            }
        };
        if !allowed || self.in_flight.len() >= MAX_STREAMS {
            return false;
        }
        self.last_stream += 1;
        self.in_flight.insert(self.last_stream, self.credit.is_some());
        let body = format!("look {caller} {}", self.last_stream);
        let bytes = lookup_header(caller, rng).encode(self.last_stream, body.as_bytes());
        self.to.write_all(&bytes).is_ok()
    }

    fn usage(&self) -> Usage {
        let credit = self.credit.map_or(0.0, |credit| credit.credit);
        Usage { in_flight: self.in_flight_with_credit(), credit }
    }
}

/// Runs a caller of all servers until it is stopped.
fn run_caller(
    caller: usize, servers: &[SocketAddr], seed: u64, usage: &UsageByServer, stopped: &AtomicBool,
) -> std::io::Result<Counts> {
    let mut rng = StdRng::seed_from_u64(seed * SEEDS_PER_RUN + caller as u64);
    let mut connections =
        servers.iter().map(|address| Connection::open(*address)).collect::<std::io::Result<Vec<_>>>()?;
    let mut counts = Counts::default();
    while !stopped.load(Ordering::Acquire) {
        for (connection, usage) in connections.iter_mut().zip(usage) {
            counts.answered += connection.read_answers(&mut rng);
            counts.sent += u64::from(connection.send(caller as u64 + 1, &mut rng));
            *lock(&usage[caller]) = connection.usage();
        }
        thread::sleep(TURN_INTERVAL);
    }
    Ok(counts)
}

/// Maxima over all servers and samples.
struct Peaks {
    /// RPCs in flight beyond the budget plus two, in units of the square root of the budget.
    excess_in_flight: f64,
    /// Sum of the callers' credit, divided by the budget.
    credit_sum: f64,
    samples: u64,
}

/// Samples the RPCs in flight and the sum of credit at each server during the warm-up, and compares them with the
/// budget that follows from the settings at that time.
fn sample(usage: &UsageByServer, start: Instant) -> Peaks {
    let mut peaks = Peaks { excess_in_flight: f64::MIN, credit_sum: f64::MIN, samples: 0 };
    while start.elapsed() < WARM_UP {
        let warm_up_progress = (start.elapsed().as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
        // According to the settings, the cores start at half of their speed.
        let speed = 0.5 + 0.5 * warm_up_progress;
        let budget = (1.0 + 7.0 * speed) * 2.0;
        for server in usage {
            let now: Vec<Usage> = server.iter().map(|usage| *lock(usage)).collect();
            let in_flight: usize = now.iter().map(|one| one.in_flight).sum();
            let credit_sum: f64 = now.iter().map(|one| one.credit).sum();
            peaks.excess_in_flight =
                peaks.excess_in_flight.max((in_flight as f64 - budget - 2.0) / budget.sqrt());
            peaks.credit_sum = peaks.credit_sum.max(credit_sum / budget);
        }
        peaks.samples += 1;
        thread::sleep(SAMPLE_INTERVAL);
    }
    peaks
}

fn restart_cold(fleet: &mut Fleet) -> Result<Instant, ScenarioError> {
    for member in &mut fleet.members {
        member.node.kill();
        member.agent.restart_cold(COLD_START);
    }
    let start = Instant::now();
    for member in &mut fleet.members {
        member.node.restart()?;
    }
    for member in &fleet.members {
        member.node.wait_until_listening()?;
    }
    thread::sleep(AGENT_CONNECT_WAIT);
    Ok(start)
}

/// Runs the scenario.
pub fn cold_start(report: &mut Report, seed: u64, nodes: usize) -> Result<(), ScenarioError> {
    let callers = nodes;
    let methods = [Method { work: ms(30), calls_upstream: false, ..LOOK_UP }];
    let mut fleet = start_fleet(nodes, member_setup(&methods, MAX_SOCKETS, callers))?;
    fleet.wait_until_listed();
    let start = restart_cold(&mut fleet)?;
    let stopped = Arc::new(AtomicBool::new(false));
    let server = |_| (0..callers).map(|_| Mutex::default()).collect();
    let usage: Arc<UsageByServer> = Arc::new((0..nodes).map(server).collect());
    let servers: Arc<Vec<SocketAddr>> = Arc::new(fleet.members.iter().map(|m| m.node.address).collect());
    let spawn = |caller: usize| {
        let (servers, stopped, usage) = (servers.clone(), stopped.clone(), usage.clone());
        thread::spawn(move || run_caller(caller, &servers, seed, &usage, &stopped))
    };
    let threads: Vec<_> = (0..callers).map(spawn).collect();
    let peaks = sample(&usage, start);
    stopped.store(true, Ordering::Release);
    let mut counts = Counts::default();
    for thread in threads {
        let caller_counts = thread.join().map_err(|_| "the thread of a caller panicked")??;
        counts.sent += caller_counts.sent;
        counts.answered += caller_counts.answered;
    }
    let two_decimals = |figure: f64| json!((figure * 100.0).round() / 100.0);
    report.set("processes", nodes.into());
    report.set("callers", callers.into());
    report.set("looks", peaks.samples.into());
    report.set("sent", counts.sent.into());
    report.set("answered", counts.answered.into());
    report.set("most_out_over_budget_in_roots", two_decimals(peaks.excess_in_flight));
    report.set("most_held_over_budget", two_decimals(peaks.credit_sum));
    report.rule(
        "more than N + 2 * sqrt(N) + 2 RPCs were in flight at a cold server with a budget of N",
        peaks.excess_in_flight <= 2.0,
    );
    report.rule(
        "the sum of the credit of all callers exceeded the budget of a server",
        peaks.credit_sum <= 1.0,
    );
    report.rule("too few RPCs were answered: 20 per process or fewer", counts.answered > 20 * nodes as u64);
    report.rule("a process was still running at the end", fleet.kill_all() == 0);
    Ok(())
}

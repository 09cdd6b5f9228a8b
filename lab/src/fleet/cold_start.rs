//! `fleet-cold`: all servers start cold at once, among as many callers that send whatever they are allowed to.

use super::cluster::Fleet;
use super::single_call::look_up;
use super::small_fleet::{member_setup, start_fleet};
use super::workload::{COLD, WARM_UP};
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

const SOCKETS: u64 = 512;
const AGENTS_GREETED: Duration = ms(300);
const ADVICE_HOLDS_FOR: Duration = Duration::from_secs(1); // a caller regards a number for so long
const BLIND_CALL_ODDS: u32 = 60; // a caller without a number calls once in so many turns
const TURN: Duration = ms(4);
const SAMPLE_EVERY: Duration = ms(5);
const SEEDS_PER_SCENARIO: u64 = 1_000; // each caller has a seed of its own
const LENGTH_BYTES: usize = 4; // of a frame, before what the length counts
const HEAD_BYTES: usize = 9;
const READ_BYTES: usize = 4096;

/// A number that a server advertised: how many RPCs a caller may have in flight there.
#[derive(Clone, Copy)]
struct Advice {
    number: f64,
    /// With its fraction rounded at random.
    limit: usize,
    came: Instant,
}

/// A caller's connection to one server.
struct Connection {
    to: TcpStream,
    bytes: Vec<u8>,
    last_stream: u32,
    /// By stream: whether the caller had advice when it was sent.
    in_flight: BTreeMap<u32, bool>,
    advice: Option<Advice>,
}

/// What a caller has in flight at a server, sent with advice; and the number that it holds.
#[derive(Clone, Copy, Default)]
struct Holding {
    in_flight: usize,
    number: f64,
}

/// By server and caller.
type Holdings = Vec<Vec<Mutex<Holding>>>;

/// RPCs of a caller.
#[derive(Clone, Copy, Default)]
struct Counts {
    sent: u64,
    answered: u64,
}

impl Connection {
    fn open(at: SocketAddr) -> std::io::Result<Connection> {
        let to = TcpStream::connect(at)?;
        to.set_nodelay(true)?;
        to.set_nonblocking(true)?;
        Ok(Connection { to, bytes: Vec::new(), last_stream: 0, in_flight: BTreeMap::new(), advice: None })
    }

    /// In flight, sent with advice.
    fn advised(&self) -> usize {
        self.in_flight.values().filter(|advised| **advised).count()
    }

    /// The next complete frame of what has come: its type, stream and payload.
    fn next_frame(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let length = u32::from_be_bytes(self.bytes.get(..LENGTH_BYTES)?.try_into().ok()?) as usize;
        let mut head: Vec<u8> = self.bytes.get(..length + LENGTH_BYTES)?.to_vec();
        if head.len() < HEAD_BYTES {
            return None;
        }
        let payload = head.split_off(HEAD_BYTES);
        self.bytes.drain(..length + LENGTH_BYTES);
        let stream = u32::from_be_bytes(head[LENGTH_BYTES + 1..].try_into().ok()?);
        Some((head[LENGTH_BYTES], stream, payload))
    }

    /// Reads what has come; how many RPCs were answered.
    fn read_answers(&mut self, rng: &mut StdRng) -> u64 {
        let mut some = [0; READ_BYTES];
        while let Ok(n @ 1..) = self.to.read(&mut some) {
            self.bytes.extend_from_slice(&some[..n]);
        }
        let mut answered = 0;
        while let Some((kind, stream, payload)) = self.next_frame() {
            if kind != ANSWER || self.in_flight.remove(&stream).is_none() {
                continue;
            }
            answered += 1;
            let answer = Answer::parse(&payload);
            let number = answer.and_then(|answer| answer.field("advice")?.parse::<f64>().ok());
            if let Some(number) = number {
                let limit = number.floor() as usize + usize::from(rng.random::<f64>() < number.fract());
                self.advice = Some(Advice { number, limit, came: Instant::now() });
            }
        }
        answered
    }

    /// Sends one RPC if the caller may; whether it was sent.
    fn send(&mut self, caller: u64, rng: &mut StdRng) -> bool {
        self.advice = self.advice.filter(|advice| advice.came.elapsed() < ADVICE_HOLDS_FOR);
        let advised = self.advised();
        let may = match self.advice {
            Some(advice) => advised < advice.limit,
            // A caller without advice calls seldom, and one at a time.
            None => self.in_flight.len() == advised && rng.random_range(0..BLIND_CALL_ODDS) == 0,
        };
        if !may || self.in_flight.len() >= MAX_STREAMS {
            return false;
        }
        self.last_stream += 1;
        self.in_flight.insert(self.last_stream, self.advice.is_some());
        let body = format!("look {caller} {}", self.last_stream);
        let bytes = look_up(caller, rng).encode(self.last_stream, body.as_bytes());
        self.to.write_all(&bytes).is_ok()
    }

    fn holding(&self) -> Holding {
        let number = self.advice.map_or(0.0, |advice| advice.number);
        Holding { in_flight: self.advised(), number }
    }
}

/// One caller of all servers, until it is stopped.
fn run_caller(
    caller: usize, servers: &[SocketAddr], seed: u64, holdings: &Holdings, stopped: &AtomicBool,
) -> std::io::Result<Counts> {
    let mut rng = StdRng::seed_from_u64(seed * SEEDS_PER_SCENARIO + caller as u64);
    let mut connections =
        servers.iter().map(|at| Connection::open(*at)).collect::<std::io::Result<Vec<_>>>()?;
    let mut counts = Counts::default();
    while !stopped.load(Ordering::Acquire) {
        for (connection, holdings) in connections.iter_mut().zip(holdings) {
            counts.answered += connection.read_answers(&mut rng);
            counts.sent += u64::from(connection.send(caller as u64 + 1, &mut rng));
            *lock(&holdings[caller]) = connection.holding();
        }
        thread::sleep(TURN);
    }
    Ok(counts)
}

/// The most that was seen of all servers and moments.
struct Extremes {
    /// RPCs in flight beyond the budget, in roots of it.
    excess: f64,
    /// Sum of the callers' numbers over the budget.
    numbers: f64,
    samples: u64,
}

/// Samples what is in flight at each server, and what its callers hold, against the settings' budget at that moment.
fn sample(holdings: &Holdings, start: Instant) -> Extremes {
    let mut extremes = Extremes { excess: f64::MIN, numbers: f64::MIN, samples: 0 };
    while start.elapsed() < WARM_UP {
        let warmed = (start.elapsed().as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
        let speed = 0.5 + 0.5 * warmed; // as the settings say
        let budget = (1.0 + 7.0 * speed) * 2.0;
        for server in holdings {
            let now: Vec<Holding> = server.iter().map(|holding| *lock(holding)).collect();
            let in_flight: usize = now.iter().map(|one| one.in_flight).sum();
            let numbers: f64 = now.iter().map(|one| one.number).sum();
            extremes.excess = extremes.excess.max((in_flight as f64 - budget - 2.0) / budget.sqrt());
            extremes.numbers = extremes.numbers.max(numbers / budget);
        }
        extremes.samples += 1;
        thread::sleep(SAMPLE_EVERY);
    }
    extremes
}

fn restart_cold(fleet: &mut Fleet) -> Result<Instant, ScenarioError> {
    for member in &mut fleet.members {
        member.node.kill();
        member.agent.restart_cold(COLD);
    }
    let start = Instant::now();
    for member in &mut fleet.members {
        member.node.restart()?;
    }
    for member in &fleet.members {
        member.node.wait_until_listening()?;
    }
    thread::sleep(AGENTS_GREETED);
    Ok(start)
}

/// Plays it.
pub fn cold_start(report: &mut Report, seed: u64, nodes: usize) -> Result<(), ScenarioError> {
    let callers = nodes;
    let methods = [Method { work: ms(30), calls_upstream: false, ..LOOK_UP }];
    let mut fleet = start_fleet(nodes, member_setup(&methods, SOCKETS, callers))?;
    fleet.wait_until_listed();
    let start = restart_cold(&mut fleet)?;
    let stopped = Arc::new(AtomicBool::new(false));
    let server = |_| (0..callers).map(|_| Mutex::default()).collect();
    let holdings: Arc<Holdings> = Arc::new((0..nodes).map(server).collect());
    let servers: Arc<Vec<SocketAddr>> = Arc::new(fleet.members.iter().map(|m| m.node.address).collect());
    let spawn = |caller: usize| {
        let (servers, stopped, holdings) = (servers.clone(), stopped.clone(), holdings.clone());
        thread::spawn(move || run_caller(caller, &servers, seed, &holdings, &stopped))
    };
    let threads: Vec<_> = (0..callers).map(spawn).collect();
    let extremes = sample(&holdings, start);
    stopped.store(true, Ordering::Release);
    let mut counts = Counts::default();
    for thread in threads {
        let of_one = thread.join().map_err(|_| "a caller failed")??;
        counts.sent += of_one.sent;
        counts.answered += of_one.answered;
    }
    let hundredths = |figure: f64| json!((figure * 100.0).round() / 100.0);
    report.set("processes", nodes.into());
    report.set("callers", callers.into());
    report.set("looks", extremes.samples.into());
    report.set("sent", counts.sent.into());
    report.set("answered", counts.answered.into());
    report.set("most_out_over_budget_in_roots", hundredths(extremes.excess));
    report.set("most_held_over_budget", hundredths(extremes.numbers));
    report.rule("more than N + 2 root N + 2 were out at a cold server", extremes.excess <= 2.0);
    report.rule("the numbers that callers held summed to over the budget", extremes.numbers <= 1.0);
    report.rule("hardly anything was sent", counts.answered > 20 * nodes as u64);
    report.rule("a process was left over", fleet.end() == 0);
    Ok(())
}

//! Narrow moments of whole processes: `fleet-ready`, thirty of them restarted at once; `idle-flood`, descriptors full of
//! idle clients while discovery is down; `fleet-cold`, cold servers under the sum of what all their callers send.

use super::callers::parts;
use super::restart_recovery::{methods, ms, COLD, RAMP};
use super::script::Spoil;
use super::{Fleet, Member, Plan};
use crate::amqp::LOOK;
use crate::load::{frame, request, unix_us};
use crate::report::{Fault, Report};
use crate::world::{Method, Setup};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const READY: Duration = Duration::from_secs(10); // from its start until nine in ten are ready
const NEVER: Duration = Duration::from_secs(30); // one that takes longer is not ready at all
const LATE: Duration = Duration::from_secs(2); // an agent that comes up late does so after this
const ANSWER: Duration = Duration::from_secs(2); // a health check or an RPC has its answer within this time
const SAID_FOR: Duration = Duration::from_secs(1); // a caller bears a number in mind for so long

fn setup(methods: &[Method], sockets: u64, callers: usize, file: Option<String>) -> Setup {
    Setup {
        methods: methods.to_vec(),
        cores: 2,
        memory_mb: 64,
        sockets,
        stop_ms: 1_500,
        file,
        say: "window",
        program: None,
        loses: None,
        ramp: RAMP,
        skips: 0.5,
        shared: None,
        callers,
    }
}

fn fleet(nodes: usize, setup: Setup) -> Result<Fleet, Fault> {
    Fleet::start(&Plan { nodes, setup, cold: COLD, slots: 400, call: ms(10), mesh: None })
}

/// Whether a health check on a connection of its own is answered good by then.
fn check(at: SocketAddr, until: Instant) -> bool {
    let ask = || {
        let mut to = TcpStream::connect_timeout(&at, ms(500)).ok()?;
        to.set_read_timeout(Some(ANSWER)).ok()?;
        to.write_all(&[0, 0, 0, 6, 4, 0, 0, 0, 1, 0]).ok()?;
        frame(&mut to).filter(|(kind, _, payload)| *kind == 5 && payload.first() == Some(&0))
    };
    while Instant::now() < until {
        if ask().is_some() {
            return true;
        }
        thread::sleep(ms(5));
    }
    false
}

/// Many processes are killed and start again at once, a quarter each with what they kept, without it, with it torn, and
/// with a full disk; a sixth of their agents come up late.
pub fn ready(report: &mut Report, nodes: usize) -> Result<(), Fault> {
    let file = "[changes]\ncontrol {dir}/control\nstate {dir}/state\n[recovery]\nsnapshot 1s\n";
    let mut fleet = fleet(nodes, setup(&methods(), 512, 4, Some(file.into())))?;
    fleet.listed();
    thread::sleep(ms(1_500));
    let kept = (0..nodes).filter(|n| fleet.state(*n).join("learned").exists()).count();
    report.rule("a process had kept nothing before the restart", kept == nodes);
    for member in &mut fleet.members {
        member.node.kill();
        member.agent.restart(COLD);
    }
    let late = |n: usize| n % 6 == 5;
    for n in 0..nodes {
        let learned = fleet.state(n).join("learned");
        match n % 4 {
            1 => std::fs::remove_dir_all(fleet.state(n))?,
            2 => {
                let text = std::fs::read(&learned)?;
                std::fs::write(&learned, &text[..text.len() / 2])?;
            }
            3 => fleet.spoil(n, &Spoil::Full)?,
            _ => {}
        }
        fleet.members[n].to_agent.hang(late(n));
    }
    let start = Instant::now();
    let naming = fleet.naming.clone();
    for member in &mut fleet.members {
        member.node.again()?;
    }
    let waits: Vec<_> = fleet
        .members
        .iter()
        .enumerate()
        .map(|(n, member)| {
            let (at, naming) = (member.node.at, naming.clone());
            thread::spawn(move || {
                let good = check(at, start + NEVER);
                while good && Instant::now() < start + NEVER {
                    if naming.reported(&format!("n{n}")).is_some_and(|reported| reported > start) {
                        return Some(start.elapsed());
                    }
                    thread::sleep(ms(5));
                }
                None
            })
        })
        .collect();
    thread::sleep(LATE.saturating_sub(start.elapsed()));
    fleet.members.iter().for_each(|member| member.to_agent.hang(false));
    let took: Vec<Option<Duration>> = waits.into_iter().map(|wait| wait.join().unwrap_or(None)).collect();
    let mut all: Vec<u64> = took.iter().flatten().map(|took| took.as_millis() as u64).collect();
    all.sort_unstable();
    let within = all.iter().filter(|ms| **ms <= READY.as_millis() as u64).count();
    report.set("processes", nodes.into());
    report.set("ready", all.len().into());
    report.set("ready_within_10_s", within.into());
    let at = |share: f64| all.get(((all.len() as f64 * share) as usize).min(all.len().saturating_sub(1)));
    report.set("ready_ms", json!({"median": at(0.5), "nine_in_ten": at(0.9), "most": at(1.0)}));
    let prompt: Vec<u64> = (0..nodes)
        .filter(|n| !late(*n))
        .filter_map(|n| took[n].map(|took| took.as_millis() as u64))
        .collect();
    report.set("ready_ms_most_with_prompt_agents", json!(prompt.iter().max()));
    report.rule("nine in ten were not ready within 10 s", within * 10 >= nodes * 9);
    report.rule("a process was never ready", all.len() == nodes);
    report.rule("a process was left over", fleet.end() == 0);
    Ok(())
}

/// One RPC on a connection of its own: its code, if it is answered in time.
fn ask_once(at: SocketAddr, n: u64, chance: &mut StdRng) -> Option<u8> {
    let until = Instant::now() + ANSWER;
    // A connection that is not taken in, or ends in the very moment, is tried again.
    while Instant::now() < until {
        let mut one = || {
            let mut to = TcpStream::connect_timeout(&at, ms(500)).ok()?;
            to.set_read_timeout(Some(until.saturating_duration_since(Instant::now()).max(ms(1)))).ok()?;
            to.write_all(&request(1, &fields(n, chance), b"look 1")).ok()?;
            loop {
                let (kind, stream, payload) = frame(&mut to)?;
                if (kind, stream) == (2, 1) {
                    return payload.first().copied();
                }
            }
        };
        if let Some(code) = one() {
            return Some(code);
        }
    }
    None
}

fn fields(caller: u64, chance: &mut StdRng) -> [(&'static str, String); 6] {
    [
        ("route", LOOK.name.to_string()),
        ("trace", format!("{:016x}", chance.random::<u64>())),
        ("born", (unix_us() / 1000).to_string()),
        ("client", caller.to_string()),
        ("patience", "1500".to_string()),
        ("size", "4".to_string()),
    ]
}

/// Idle clients that come again and again: some say nothing, some half a frame, some ask for health once and rest.
fn flood(at: SocketAddr, ends: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<u64>> {
    let client = move |kind: usize, ends: Arc<AtomicBool>| {
        let (mut held, mut made) = (Vec::<TcpStream>::new(), 0);
        while !ends.load(Ordering::Acquire) {
            held.retain(|stream| {
                let end = stream.set_nonblocking(true).map(|()| (&mut &*stream).read(&mut [0; 64]));
                !matches!(end, Ok(Ok(0))) && !matches!(end, Ok(Err(e)) if e.kind() != ErrorKind::WouldBlock)
            });
            while held.len() < 60 && !ends.load(Ordering::Acquire) {
                let Ok(mut stream) = TcpStream::connect_timeout(&at, ms(100)) else { break };
                let says: &[u8] = match kind % 3 {
                    0 => &[],
                    1 => &[0, 0, 0, 90, 1],
                    _ => &[0, 0, 0, 6, 4, 0, 0, 0, 1, 0],
                };
                stream.write_all(says).unwrap_or_default();
                held.push(stream);
                made += 1;
            }
            thread::sleep(ms(20));
        }
        made
    };
    (0..6)
        .map(|kind| {
            let ends = ends.clone();
            thread::spawn(move || client(kind, ends))
        })
        .collect()
}

/// Idle clients fill the descriptors while the name service is down.
pub fn idle_flood(report: &mut Report, seed: u64) -> Result<(), Fault> {
    let mut chance = StdRng::seed_from_u64(seed);
    let methods = [Method { work: ms(4), ..LOOK }];
    let mut fleet = fleet(1, setup(&methods, 64, 4, None))?;
    fleet.listed();
    let Member { node, to_agent, to_below, to_naming, .. } = &fleet.members[0];
    let at = node.at;
    report.rule("nothing was served before", ask_once(at, 1, &mut chance) == Some(0));
    // Away, or there without a word.
    if seed.is_multiple_of(2) {
        to_naming.gone(true);
    } else {
        to_naming.hang(true);
    }
    let ends = Arc::new(AtomicBool::new(false));
    let clients = flood(at, &ends);
    thread::sleep(ms(500));
    let begin = Instant::now();
    let (mut asked, mut served, mut answered, mut checks, mut good) = (0, 0, 0, 0, 0);
    let (mut slowest, mut steps) = (Duration::ZERO, 0);
    while begin.elapsed() < Duration::from_secs(5) {
        let step = Instant::now();
        match steps {
            8 => to_agent.reset(),
            16 => to_below.reset(),
            _ => {}
        }
        let code = ask_once(at, 2 + steps % 3, &mut chance);
        asked += 1;
        answered += u64::from(code.is_some());
        served += u64::from(code == Some(0));
        slowest = slowest.max(step.elapsed());
        checks += 1;
        good += u64::from(check(at, Instant::now() + ANSWER));
        steps += 1;
        thread::sleep(ms(150).saturating_sub(step.elapsed()));
    }
    to_naming.gone(false);
    to_naming.hang(false);
    let back = Instant::now();
    while fleet.naming.reported("n0").is_none_or(|at| at < back) && back.elapsed() < NEVER {
        thread::sleep(ms(10));
    }
    let reported = back.elapsed();
    ends.store(true, Ordering::Release);
    let made: u64 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let member = &mut fleet.members[0];
    member.node.signal("TERM");
    let code = member.node.ended(Duration::from_secs(4));
    let log = member.node.read_log();
    let counted = |name: &str| -> u64 {
        let rest = log.rsplit(&format!("{name}=")).next().unwrap_or("");
        rest.split(|c: char| !c.is_ascii_digit()).next().and_then(|n| n.parse().ok()).unwrap_or(0)
    };
    for name in ["closed_crowded", "bad_sidecar", "connections", "reports_lost", "agent_up"] {
        report.set(name, counted(name).into());
    }
    report.set("idle_connections", made.into());
    report.set("asked", asked.into());
    report.set("served", served.into());
    report.set("health_checks", checks.into());
    report.set("slowest_ms", (slowest.as_millis() as u64).into());
    report.set("report_after_ms", (reported.as_millis() as u64).into());
    report.rule("a listed sidecar had no answer within 2 s", answered == asked);
    report.rule("under nine in ten of a listed sidecar's RPCs were served", served * 10 >= asked * 9);
    report.rule("a health check was not answered good within 2 s", good == checks);
    report.rule("no report came within 3 s of the name service's return", reported < Duration::from_secs(3));
    report.rule("the agent's link was not made anew", counted("agent_up") >= 2);
    report.rule("the clients did not fill the descriptors", counted("closed_crowded") > 0 && made > 200);
    report.rule("it did not leave in order", code == Some(0));
    report.rule("a process was left over", fleet.end() == 0);
    Ok(())
}

/// A connection of a caller to one server, and what it knows of it.
struct Link {
    to: TcpStream,
    bytes: Vec<u8>,
    next: u32,
    /// Of each stream that is open: it was sent when the caller had been told.
    open: BTreeMap<u32, bool>,
    /// The number as it came, what chance made of its fraction, and when it came.
    told: Option<(f64, usize, Instant)>,
}

/// What a caller has out at a server, sent when told; and the number that it holds.
#[derive(Clone, Copy, Default)]
struct Out {
    out: usize,
    number: f64,
}

impl Link {
    fn new(at: SocketAddr) -> std::io::Result<Link> {
        let to = TcpStream::connect(at)?;
        to.set_nodelay(true)?;
        to.set_nonblocking(true)?;
        Ok(Link { to, bytes: Vec::new(), next: 0, open: BTreeMap::new(), told: None })
    }
    /// Takes what has come; how many were answered.
    fn hear(&mut self, chance: &mut StdRng) -> u64 {
        let (mut some, mut answered) = ([0; 4096], 0);
        while let Ok(n @ 1..) = self.to.read(&mut some) {
            self.bytes.extend_from_slice(&some[..n]);
        }
        while let Some(mut whole) = self.bytes.get(..4).and_then(|head| {
            let length = u32::from_be_bytes(head.try_into().ok()?) as usize + 4;
            self.bytes.get(..length).map(<[u8]>::to_vec)
        }) {
            let payload = whole.split_off(9);
            let stream = u32::from_be_bytes([whole[5], whole[6], whole[7], whole[8]]);
            self.bytes.drain(..9 + payload.len());
            if whole[4] != 2 || self.open.remove(&stream).is_none() {
                continue;
            }
            answered += 1;
            let advice = parts(&payload).and_then(|(_, fields, _)| {
                fields
                    .iter()
                    .find(|(name, _)| name == "advice")
                    .and_then(|(_, value)| value.parse::<f64>().ok())
            });
            if let Some(number) = advice {
                let most = number.floor() as usize + usize::from(chance.random::<f64>() < number.fract());
                self.told = Some((number, most, Instant::now()));
            }
        }
        answered
    }
    /// Sends one RPC if the caller may.
    fn send(&mut self, caller: u64, chance: &mut StdRng) -> bool {
        self.told = self.told.filter(|(_, _, at)| at.elapsed() < SAID_FOR);
        let out = self.open.values().filter(|told| **told).count();
        let may = match self.told {
            Some((_, most, _)) => out < most,
            // Who knows nothing tries seldom, and one at a time.
            None => self.open.len() == out && chance.random_range(0..60) == 0,
        };
        if !may || self.open.len() >= 32 {
            return false;
        }
        self.next += 1;
        self.open.insert(self.next, self.told.is_some());
        let body = format!("look {caller} {}", self.next);
        let bytes = request(self.next, &fields(caller, chance), body.as_bytes());
        self.to.write_all(&bytes).is_ok()
    }
}

/// All servers start cold at once, among as many callers that send whatever they are allowed to.
pub fn cold(report: &mut Report, seed: u64, nodes: usize) -> Result<(), Fault> {
    let callers = nodes;
    let methods = [Method { work: ms(30), calls: false, ..LOOK }];
    let mut fleet = fleet(nodes, setup(&methods, 512, callers, None))?;
    fleet.listed();
    for member in &mut fleet.members {
        member.node.kill();
        member.agent.restart(COLD);
    }
    let start = Instant::now();
    for member in &mut fleet.members {
        member.node.again()?;
    }
    for member in &fleet.members {
        member.node.listens()?;
    }
    thread::sleep(ms(300)); // every agent has greeted
    let (ends, board) = (Arc::new(AtomicBool::new(false)), Arc::new(board(nodes, callers)));
    let at: Vec<SocketAddr> = fleet.members.iter().map(|member| member.node.at).collect();
    let works: Vec<_> = (0..callers)
        .map(|caller| {
            let (at, ends, board) = (at.clone(), ends.clone(), board.clone());
            let mut chance = StdRng::seed_from_u64(seed * 1_000 + caller as u64);
            thread::spawn(move || -> std::io::Result<(u64, u64)> {
                let mut links = at.iter().map(|at| Link::new(*at)).collect::<std::io::Result<Vec<Link>>>()?;
                let (mut sent, mut answered) = (0, 0);
                while !ends.load(Ordering::Acquire) {
                    for (server, link) in links.iter_mut().enumerate() {
                        answered += link.hear(&mut chance);
                        sent += u64::from(link.send(caller as u64 + 1, &mut chance));
                        let out = link.open.values().filter(|told| **told).count();
                        let number = link.told.map_or(0.0, |(number, _, _)| number);
                        *board[server][caller].lock().unwrap_or_else(|e| e.into_inner()) =
                            Out { out, number };
                    }
                    thread::sleep(ms(4));
                }
                Ok((sent, answered))
            })
        })
        .collect();
    // What is out at each server, and what its callers hold, against the settings' budget at that moment.
    let (mut excess, mut held, mut looks) = (f64::MIN, f64::MIN, 0_u64);
    while start.elapsed() < RAMP {
        let speed = 0.5 + 0.5 * (start.elapsed().as_secs_f64() / RAMP.as_secs_f64()).min(1.0); // as the settings say
        let budget = (1.0 + 7.0 * speed) * 2.0;
        for server in board.iter() {
            let now: Vec<Out> =
                server.iter().map(|out| *out.lock().unwrap_or_else(|e| e.into_inner())).collect();
            let out: usize = now.iter().map(|one| one.out).sum();
            let numbers: f64 = now.iter().map(|one| one.number).sum();
            excess = excess.max((out as f64 - budget - 2.0) / budget.sqrt());
            held = held.max(numbers / budget);
        }
        looks += 1;
        thread::sleep(ms(5));
    }
    ends.store(true, Ordering::Release);
    let (mut sent, mut answered) = (0, 0);
    for work in works {
        let (more, back) = work.join().map_err(|_| "a caller failed")??;
        (sent, answered) = (sent + more, answered + back);
    }
    report.set("processes", nodes.into());
    report.set("callers", callers.into());
    report.set("looks", looks.into());
    report.set("sent", sent.into());
    report.set("answered", answered.into());
    report.set("most_out_over_budget_in_roots", json!((excess * 100.0).round() / 100.0));
    report.set("most_held_over_budget", json!((held * 100.0).round() / 100.0));
    report.rule("more than N + 2 root N + 2 were out at a cold server", excess <= 2.0);
    report.rule("the numbers that callers held summed to over the budget", held <= 1.0);
    report.rule("hardly anything was sent", answered > 20 * nodes as u64);
    report.rule("a process was left over", fleet.end() == 0);
    Ok(())
}

type Board = Vec<Vec<std::sync::Mutex<Out>>>;

fn board(servers: usize, callers: usize) -> Board {
    (0..servers).map(|_| (0..callers).map(|_| std::sync::Mutex::default()).collect()).collect()
}

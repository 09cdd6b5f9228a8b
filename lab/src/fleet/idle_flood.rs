//! `idle-flood`: idle clients fill the descriptors of a process while the name service is down.

use super::cluster::Fleet;
use super::single_call::{call_once, is_healthy_by, ANSWERED_WITHIN};
use super::small_fleet::{member_setup, start_fleet};
use crate::method::{Method, LOOK_UP};
use crate::report::{Report, ScenarioError};
use crate::sidecar::{encode_health_check, OK, REQUEST};
use crate::time::ms;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const SOCKETS: u64 = 64;
const CALLERS: usize = 4;
const CLIENTS: usize = 6; // threads of idle clients
const CONNECTIONS: usize = 60; // that each of them keeps open
const FLOODED_FOR: Duration = Duration::from_secs(5);
const CALL_EVERY: Duration = ms(150);
const AGENT_RESET_AT: u64 = 8; // calls
const UPSTREAM_RESET_AT: u64 = 16;
const NEVER: Duration = Duration::from_secs(30); // no report comes any more
const EXITS_WITHIN: Duration = Duration::from_secs(4);

/// Idle clients that come again and again.
struct IdleClients {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<u64>>,
}

impl IdleClients {
    fn start(at: SocketAddr) -> IdleClients {
        let stopped = Arc::new(AtomicBool::new(false));
        let client = |kind: usize| {
            let stopped = stopped.clone();
            thread::spawn(move || keep_idle_connections(at, kind, &stopped))
        };
        let threads = (0..CLIENTS).map(client).collect();
        IdleClients { stopped, threads }
    }

    /// How many connections they made.
    fn stop(self) -> u64 {
        self.stopped.store(true, Ordering::Release);
        self.threads.into_iter().map(|client| client.join().unwrap_or(0)).sum()
    }
}

/// Some clients send nothing, some half a frame, some a health check once. How many connections were made.
fn keep_idle_connections(at: SocketAddr, kind: usize, stopped: &AtomicBool) -> u64 {
    let (mut open, mut made) = (Vec::<TcpStream>::new(), 0);
    let sent: Vec<u8> = match kind % 3 {
        0 => Vec::new(),
        1 => vec![0, 0, 0, 90, REQUEST],
        _ => encode_health_check(1),
    };
    while !stopped.load(Ordering::Acquire) {
        open.retain(is_open);
        while open.len() < CONNECTIONS && !stopped.load(Ordering::Acquire) {
            let Ok(mut stream) = TcpStream::connect_timeout(&at, ms(100)) else { break };
            stream.write_all(&sent).unwrap_or_default();
            open.push(stream);
            made += 1;
        }
        thread::sleep(ms(20));
    }
    made
}

fn is_open(stream: &TcpStream) -> bool {
    let read = stream.set_nonblocking(true).map(|()| (&mut &*stream).read(&mut [0; 64]));
    !matches!(read, Ok(Ok(0))) && !matches!(read, Ok(Err(e)) if e.kind() != ErrorKind::WouldBlock)
}

/// What the process answered while it was flooded.
#[derive(Default)]
struct Service {
    calls: u64,
    answered: u64,
    ok: u64,
    health_checks: u64,
    healthy: u64,
    slowest: Duration,
}

/// Plays it.
pub fn idle_flood(report: &mut Report, seed: u64) -> Result<(), ScenarioError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let methods = [Method { work: ms(4), ..LOOK_UP }];
    let mut fleet = start_fleet(1, member_setup(&methods, SOCKETS, CALLERS))?;
    fleet.wait_until_listed();
    let member = &fleet.members[0];
    report.rule("nothing was served before", call_once(member.node.address, 1, &mut rng) == Some(OK));
    // Away, or there without a word.
    if seed.is_multiple_of(2) {
        member.naming_proxy.refuse(true);
    } else {
        member.naming_proxy.hang(true);
    }
    let clients = IdleClients::start(member.node.address);
    thread::sleep(ms(500));
    let service = call_while_flooded(&fleet, &mut rng);
    let reported_after = wait_for_report(&fleet);
    let made = clients.stop();
    let member = &mut fleet.members[0];
    member.node.signal("TERM");
    let code = member.node.wait_for_exit(EXITS_WITHIN);
    let log = member.node.read_log();
    report_service(report, &service);
    for name in ["closed_crowded", "bad_sidecar", "connections", "reports_lost", "agent_up"] {
        report.set(name, logged_count(&log, name).into());
    }
    report.set("idle_connections", made.into());
    report.set("report_after_ms", (reported_after.as_millis() as u64).into());
    let soon = reported_after < Duration::from_secs(3);
    report.rule("no report came within 3 s of the name service's return", soon);
    report.rule("the agent's link was not made anew", logged_count(&log, "agent_up") >= 2);
    let filled = logged_count(&log, "closed_crowded") > 0 && made > 200;
    report.rule("the clients did not fill the descriptors", filled);
    report.rule("it did not leave in order", code == Some(0));
    report.rule("a process was left over", fleet.end() == 0);
    Ok(())
}

/// Calls and checks health, while links to the agent and the upstream break once each.
fn call_while_flooded(fleet: &Fleet, rng: &mut StdRng) -> Service {
    let member = &fleet.members[0];
    let at = member.node.address;
    let (begin, mut service) = (Instant::now(), Service::default());
    while begin.elapsed() < FLOODED_FOR {
        let turn = Instant::now();
        match service.calls {
            AGENT_RESET_AT => member.agent_proxy.reset(),
            UPSTREAM_RESET_AT => member.upstream_proxy.reset(),
            _ => {}
        }
        let code = call_once(at, 2 + service.calls % 3, rng);
        service.calls += 1;
        service.answered += u64::from(code.is_some());
        service.ok += u64::from(code == Some(OK));
        service.slowest = service.slowest.max(turn.elapsed());
        service.health_checks += 1;
        service.healthy += u64::from(is_healthy_by(at, Instant::now() + ANSWERED_WITHIN));
        thread::sleep(CALL_EVERY.saturating_sub(turn.elapsed()));
    }
    service
}

/// The name service comes back; how long until the process has reported.
fn wait_for_report(fleet: &Fleet) -> Duration {
    fleet.members[0].naming_proxy.refuse(false);
    fleet.members[0].naming_proxy.hang(false);
    let back = Instant::now();
    while fleet.naming.reported("n0").is_none_or(|at| at < back) && back.elapsed() < NEVER {
        thread::sleep(ms(10));
    }
    back.elapsed()
}

/// A count in the statistics that the process logs at its end.
fn logged_count(log: &str, name: &str) -> u64 {
    let rest = log.rsplit(&format!("{name}=")).next().unwrap_or("");
    rest.split(|c: char| !c.is_ascii_digit()).next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn report_service(report: &mut Report, service: &Service) {
    report.set("asked", service.calls.into());
    report.set("served", service.ok.into());
    report.set("health_checks", service.health_checks.into());
    report.set("slowest_ms", (service.slowest.as_millis() as u64).into());
    report.rule("a listed sidecar had no answer within 2 s", service.answered == service.calls);
    let most = service.ok * 10 >= service.calls * 9;
    report.rule("under nine in ten of a listed sidecar's RPCs were served", most);
    let healthy = service.healthy == service.health_checks;
    report.rule("a health check was not answered good within 2 s", healthy);
}

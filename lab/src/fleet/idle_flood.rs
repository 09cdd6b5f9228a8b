//! `idle-flood`: idle clients use up the file descriptors of a process while the name service is down.

use super::cluster::Fleet;
use super::single_call::{call_once, is_healthy_by, ANSWER_TIMEOUT};
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

const MAX_SOCKETS: u64 = 64;
const CALLERS: usize = 4;
const CLIENT_THREADS: usize = 6;
const CONNECTIONS_PER_CLIENT: usize = 60;
const FLOOD_DURATION: Duration = Duration::from_secs(5);
const CALL_INTERVAL: Duration = ms(150);
const AGENT_RESET_AT_CALL: u64 = 8;
const UPSTREAM_RESET_AT_CALL: u64 = 16;
/// Time after which the scenario no longer waits for a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);
const EXIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle clients that reopen their connections when the server closes them.
struct IdleClients {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<u64>>,
}

impl IdleClients {
    fn start(address: SocketAddr) -> IdleClients {
        let stopped = Arc::new(AtomicBool::new(false));
        let client = |kind: usize| {
            let stopped = stopped.clone();
            thread::spawn(move || keep_idle_connections(address, kind, &stopped))
        };
        let threads = (0..CLIENT_THREADS).map(client).collect();
        IdleClients { stopped, threads }
    }

    /// Stops the clients and returns how many connections they opened.
    fn stop(self) -> u64 {
        self.stopped.store(true, Ordering::Release);
        self.threads.into_iter().map(|client| client.join().unwrap_or(0)).sum()
    }
}

/// Keeps connections open that send nothing, an incomplete frame or a single health check, by the kind of the client.
/// Returns how many connections were opened.
fn keep_idle_connections(address: SocketAddr, kind: usize, stopped: &AtomicBool) -> u64 {
    let (mut open, mut opened) = (Vec::<TcpStream>::new(), 0);
    let sent: Vec<u8> = match kind % 3 {
        0 => Vec::new(),
        1 => vec![0, 0, 0, 90, REQUEST],
        _ => encode_health_check(1),
    };
    while !stopped.load(Ordering::Acquire) {
        open.retain(is_open);
        while open.len() < CONNECTIONS_PER_CLIENT && !stopped.load(Ordering::Acquire) {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(100)) else { break };
            stream.write_all(&sent).unwrap_or_default();
            open.push(stream);
            opened += 1;
        }
        thread::sleep(ms(20));
    }
    opened
}

fn is_open(stream: &TcpStream) -> bool {
    let read = stream.set_nonblocking(true).map(|()| (&mut &*stream).read(&mut [0; 64]));
    !matches!(read, Ok(Ok(0))) && !matches!(read, Ok(Err(e)) if e.kind() != ErrorKind::WouldBlock)
}

/// Answers of the process while idle connections filled its descriptors.
#[derive(Default)]
struct ServiceCounts {
    calls: u64,
    answered: u64,
    ok: u64,
    health_checks: u64,
    healthy: u64,
    slowest: Duration,
}

/// Runs the scenario.
pub fn idle_flood(report: &mut Report, seed: u64) -> Result<(), ScenarioError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let methods = [Method { work: ms(4), ..LOOK_UP }];
    let mut fleet = start_fleet(1, member_setup(&methods, MAX_SOCKETS, CALLERS))?;
    fleet.wait_until_listed();
    let member = &fleet.members[0];
    report.rule(
        "an RPC before the flood was not served",
        call_once(member.node.address, 1, &mut rng) == Some(OK),
    );
    // Even seeds make the name service unreachable; odd seeds keep its connections open without an answer.
    if seed.is_multiple_of(2) {
        member.name_service_proxy.set_refusing(true);
    } else {
        member.name_service_proxy.set_stalled(true);
    }
    let clients = IdleClients::start(member.node.address);
    thread::sleep(ms(500));
    let service = call_while_flooded(&fleet, &mut rng);
    let reported_after = wait_for_report(&fleet);
    let opened = clients.stop();
    let member = &mut fleet.members[0];
    member.node.signal("TERM");
    let exit_code = member.node.wait_for_exit(EXIT_TIMEOUT);
    report_service(report, &service);
    for name in ["closed_crowded", "bad_sidecar", "connections", "reports_lost", "agent_up"] {
        report.set(name, member.node.logged_count(name).into());
    }
    report.set("idle_connections", opened.into());
    report.set("report_after_ms", (reported_after.as_millis() as u64).into());
    let in_time = reported_after < Duration::from_secs(3);
    report.rule("no load report arrived within 3 s of the return of the name service", in_time);
    report.rule("the link to the agent was not re-established", member.node.logged_count("agent_up") >= 2);
    let filled = member.node.logged_count("closed_crowded") > 0 && opened > 200;
    report.rule("the idle clients did not use up the descriptors", filled);
    report.rule("asterrilld did not exit with code 0 within 4 s", exit_code == Some(0));
    report.rule("a process was still running at the end", fleet.kill_all() == 0);
    Ok(())
}

/// Sends RPCs and health checks, while the links to the agent and the upstream are reset once each.
fn call_while_flooded(fleet: &Fleet, rng: &mut StdRng) -> ServiceCounts {
    let member = &fleet.members[0];
    let address = member.node.address;
    let (start, mut service) = (Instant::now(), ServiceCounts::default());
    while start.elapsed() < FLOOD_DURATION {
        let turn_start = Instant::now();
        match service.calls {
            AGENT_RESET_AT_CALL => member.agent_proxy.reset_connections(),
            UPSTREAM_RESET_AT_CALL => member.upstream_proxy.reset_connections(),
            _ => {}
        }
        let code = call_once(address, 2 + service.calls % 3, rng);
        service.calls += 1;
        service.answered += u64::from(code.is_some());
        service.ok += u64::from(code == Some(OK));
        service.slowest = service.slowest.max(turn_start.elapsed());
        service.health_checks += 1;
        service.healthy += u64::from(is_healthy_by(address, Instant::now() + ANSWER_TIMEOUT));
        thread::sleep(CALL_INTERVAL.saturating_sub(turn_start.elapsed()));
    }
    service
}

/// Restores the name service and returns the time until the process has sent a load report.
fn wait_for_report(fleet: &Fleet) -> Duration {
    fleet.members[0].name_service_proxy.set_refusing(false);
    fleet.members[0].name_service_proxy.set_stalled(false);
    let restored_at = Instant::now();
    while fleet.name_service.last_serving_report("n0").is_none_or(|reported_at| reported_at < restored_at)
        && restored_at.elapsed() < REPORT_TIMEOUT
    {
        thread::sleep(ms(10));
    }
    restored_at.elapsed()
}

fn report_service(report: &mut Report, service: &ServiceCounts) {
    report.set("asked", service.calls.into());
    report.set("served", service.ok.into());
    report.set("health_checks", service.health_checks.into());
    report.set("slowest_ms", (service.slowest.as_millis() as u64).into());
    report.rule("an RPC of a listed sidecar was not answered within 2 s", service.answered == service.calls);
    let enough_served = service.ok * 10 >= service.calls * 9;
    report.rule("fewer than 90% of the RPCs of a listed sidecar were served", enough_served);
    let healthy = service.healthy == service.health_checks;
    report.rule("a health check was not answered as healthy within 2 s", healthy);
}

//! `scale-callers`: what connections cost that callers keep open at one real process. Each sends one RPC and then rests.

use crate::agent::Agent;
use crate::method::{Method, LOOK_UP};
use crate::node::Node;
use crate::process::{resident_kb, thread_cpu_ns};
use crate::report::{Report, ScenarioError};
use crate::setup::{Services, Setup};
use crate::sidecar::{read_frame, RpcHeader, OK};
use crate::stubs::{start_echo_upstream, start_name_service};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Connections, growing; what all callers would be at one backend is the last.
const SIZES: [usize; 5] = [42, 510, 1_275, 2_550, 5_100];
const CORES: usize = 8;
const SOCKETS: u64 = 8_192;
const REST: Duration = Duration::from_secs(4);
const STARTED: Duration = Duration::from_millis(500); // until memory is what it stays at
const OPENED: Duration = Duration::from_millis(300);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const EXITS_WITHIN: Duration = Duration::from_secs(6);

/// A connection that a caller keeps open.
struct Held {
    stream: TcpStream,
    /// Its RPC was answered ok.
    ok: bool,
}

/// Opens a connection and sends one RPC on it.
fn open(at: SocketAddr, caller: u64) -> Option<Held> {
    let mut stream = TcpStream::connect_timeout(&at, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let patience = Duration::from_millis(1_500);
    let header = RpcHeader { method: LOOK_UP.name, trace: caller, caller, timeout: patience, tenant: None };
    stream.write_all(&header.encode(1, format!("look {caller}").as_bytes())).ok()?;
    loop {
        let frame = read_frame(&mut stream)?;
        if frame.answers(1) {
            let ok = frame.code() == Some(OK);
            return Some(Held { stream, ok });
        }
    }
}

/// Whether it is open still, once all that came on it is read.
fn is_open(stream: &mut TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    loop {
        match stream.read(&mut [0; 256]) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// CPU in ms that all threads of it have used, to the nanosecond.
fn cpu_ms(node: &Node) -> f64 {
    thread_cpu_ns(&node.process()).map(|(_, ns)| ns as f64).sum::<f64>() / 1e6
}

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.process())).map_or(0, Iterator::count)
}

fn start_node(program: Option<&Path>) -> Result<Node, ScenarioError> {
    let methods = [Method { work: Duration::from_micros(200), ..LOOK_UP }];
    let agent = Agent::start(CORES, &methods)?;
    let setup = Setup {
        memory_mb: 192,
        sockets: SOCKETS,
        stop_ms: 4_000,
        program: program.map(Into::into),
        warm_up: Duration::from_millis(100),
        skip_value: 0.5,
        callers: SIZES[SIZES.len() - 1],
        ..Setup::new(&methods, CORES)
    };
    let (upstream, naming) = (start_echo_upstream()?, start_name_service()?);
    let services = Services { agent: agent.address, upstream, naming };
    Ok(Node::start(&setup, &services, "")?)
}

/// What a process without callers takes.
struct Baseline {
    resident_kb: f64,
    descriptors: usize,
}

/// What so many callers cost that rest.
fn measure(report: &mut Report, node: &Node, held: &mut [Held], baseline: &Baseline) -> Value {
    thread::sleep(OPENED);
    let (cpu, since) = (cpu_ms(node), Instant::now());
    thread::sleep(REST);
    let cpu_ms_per_s = (cpu_ms(node) - cpu) / since.elapsed().as_secs_f64();
    let size = held.len();
    let standing = held.iter_mut().filter_map(|one| is_open(&mut one.stream).then_some(())).count();
    let memory_mb = (resident_kb(&node.process()) - baseline.resident_kb) / 1_024.0;
    report.rule("a connection was closed on a caller that keeps it", standing == size);
    json!({"connections": size, "standing": standing, "memory_mb": memory_mb,
        "descriptors": descriptors(node) - baseline.descriptors, "cpu_ms_per_s": cpu_ms_per_s})
}

/// Plays it with this build, or another.
pub fn scenario(report: &mut Report, program: Option<&Path>) -> Result<(), ScenarioError> {
    let mut node = start_node(program)?;
    thread::sleep(STARTED);
    let baseline = Baseline { resident_kb: resident_kb(&node.process()), descriptors: descriptors(&node) };
    let (mut held, mut runs) = (Vec::new(), Vec::new());
    for size in SIZES {
        while held.len() < size {
            held.push(open(node.address, held.len() as u64).ok_or("an RPC was not answered")?);
        }
        runs.push(measure(report, &node, &mut held, &baseline));
    }
    report.set("ok", held.iter().filter(|one| one.ok).count().into());
    report.set("runs", json!(runs));
    report.set("descriptors_without", baseline.descriptors.into());
    drop(held);
    node.signal("TERM");
    let code = node.wait_for_exit(EXITS_WITHIN);
    report.rule("it did not leave in order", code == Some(0));
    Ok(())
}

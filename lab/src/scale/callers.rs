//! `scale-callers`: memory, descriptors and CPU time that idle caller connections cost one real process. Each caller
//! sends one RPC and then keeps its connection open.

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

/// Numbers of open connections, in ascending order. The last is that of all callers at a single backend.
const CONNECTIONS: [usize; 5] = [42, 510, 1_275, 2_550, 5_100];
const CORES: usize = 8;
const MAX_SOCKETS: u64 = 8_192;
const MEASUREMENT_TIME: Duration = Duration::from_secs(4);
/// Delay after the start of the process, until its memory is stable.
const STARTUP_SETTLE_TIME: Duration = Duration::from_millis(500);
/// Delay after connections are opened, before the measurement.
const OPEN_SETTLE_TIME: Duration = Duration::from_millis(300);
const RPC_TIMEOUT: Duration = Duration::from_millis(1_500);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// Connection that a caller keeps open.
struct OpenConnection {
    stream: TcpStream,
    /// Whether the RPC was answered ok.
    ok: bool,
}

/// Opens a connection, sends one RPC on it and waits for the answer.
fn open_connection(address: SocketAddr, caller: u64) -> Option<OpenConnection> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let header =
        RpcHeader { method: LOOK_UP.name, trace: caller, caller, timeout: RPC_TIMEOUT, tenant: None };
    stream.write_all(&header.encode(1, format!("look {caller}").as_bytes())).ok()?;
    loop {
        let frame = read_frame(&mut stream)?;
        if frame.answers(1) {
            let ok = frame.code() == Some(OK);
            return Some(OpenConnection { stream, ok });
        }
    }
}

/// Reports whether the connection is still open. Reads and discards the data received so far.
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

/// Returns the CPU time used by all threads of the process, in ms with nanosecond precision.
fn cpu_ms(node: &Node) -> f64 {
    thread_cpu_ns(&node.process()).map(|(_, ns)| ns as f64).sum::<f64>() / 1e6
}

/// Returns the number of open file descriptors of the process.
fn descriptor_count(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.process())).map_or(0, Iterator::count)
}

/// Starts the process with an agent, an upstream and a name service, and settings for all callers.
fn start_node(program: Option<&Path>) -> Result<Node, ScenarioError> {
    let methods = [Method { work: Duration::from_micros(200), ..LOOK_UP }];
    let agent = Agent::start(CORES, &methods)?;
    let setup = Setup {
        memory_mb: 192,
        sockets: MAX_SOCKETS,
        stop_ms: 4_000,
        program: program.map(Into::into),
        warm_up: Duration::from_millis(100),
        skip_value: 0.5,
        callers: CONNECTIONS[CONNECTIONS.len() - 1],
        ..Setup::new(&methods, CORES)
    };
    let (upstream, naming) = (start_echo_upstream()?, start_name_service()?);
    let services = Services { agent: agent.address, upstream, naming };
    Ok(Node::start(&setup, &services, "")?)
}

/// Resource use of the process before any caller connects.
struct Baseline {
    resident_kb: f64,
    descriptors: usize,
}

/// Measures what the open idle connections cost the process.
fn measure(
    report: &mut Report, node: &Node, connections: &mut [OpenConnection], baseline: &Baseline,
) -> Value {
    thread::sleep(OPEN_SETTLE_TIME);
    let (cpu_ms_before, start) = (cpu_ms(node), Instant::now());
    thread::sleep(MEASUREMENT_TIME);
    let cpu_ms_per_s = (cpu_ms(node) - cpu_ms_before) / start.elapsed().as_secs_f64();
    let count = connections.len();
    let open =
        connections.iter_mut().filter_map(|connection| is_open(&mut connection.stream).then_some(())).count();
    let memory_mb = (resident_kb(&node.process()) - baseline.resident_kb) / 1_024.0;
    report.rule("an idle connection of a caller was closed", open == count);
    json!({"connections": count, "standing": open, "memory_mb": memory_mb,
        "descriptors": descriptor_count(node) - baseline.descriptors, "cpu_ms_per_s": cpu_ms_per_s})
}

/// Measures this build, or the build at the path `program`.
pub fn scenario(report: &mut Report, program: Option<&Path>) -> Result<(), ScenarioError> {
    let mut node = start_node(program)?;
    thread::sleep(STARTUP_SETTLE_TIME);
    let baseline =
        Baseline { resident_kb: resident_kb(&node.process()), descriptors: descriptor_count(&node) };
    let (mut connections, mut runs) = (Vec::new(), Vec::new());
    for count in CONNECTIONS {
        while connections.len() < count {
            let caller = connections.len() as u64;
            let connection = open_connection(node.address, caller);
            connections.push(connection.ok_or_else(|| {
                format!("caller {caller} could not connect to {}, or its RPC was not answered", node.address)
            })?);
        }
        runs.push(measure(report, &node, &mut connections, &baseline));
    }
    report.set("ok", connections.iter().filter(|connection| connection.ok).count().into());
    report.set("runs", json!(runs));
    report.set("descriptors_without", baseline.descriptors.into());
    drop(connections);
    node.signal("TERM");
    let code = node.wait_for_exit(EXIT_TIMEOUT);
    report.rule("asterrilld did not exit with code 0 within 6 s", code == Some(0));
    Ok(())
}

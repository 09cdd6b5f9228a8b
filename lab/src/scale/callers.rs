//! `scale-callers`: what connections cost that callers keep open at one real process. Each asks one RPC and then rests.

use crate::amqp::LOOK;
use crate::load::{frame, request, unix_us};
use crate::report::{Fault, Report};
use crate::world::{below, naming, Agent, Method, Node, Setup};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Connections, growing; what all callers would be at one backend is the last.
const SIZES: [usize; 5] = [42, 510, 1_275, 2_550, 5_100];
const SOCKETS: u64 = 8_192;
const REST: Duration = Duration::from_secs(4);

/// Opens a connection and asks one RPC on it; whether it was answered ok.
fn open(at: SocketAddr, caller: u64) -> Option<(TcpStream, bool)> {
    let mut to = TcpStream::connect_timeout(&at, Duration::from_secs(2)).ok()?;
    to.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let fields = [
        ("route", LOOK.name.to_string()),
        ("trace", format!("{caller:016x}")),
        ("born", (unix_us() / 1_000).to_string()),
        ("client", caller.to_string()),
        ("patience", "1500".to_string()),
        ("size", "4".to_string()),
    ];
    to.write_all(&request(1, &fields, format!("look {caller}").as_bytes())).ok()?;
    loop {
        let (kind, stream, payload) = frame(&mut to)?;
        if (kind, stream) == (2, 1) {
            return Some((to, payload.first() == Some(&0)));
        }
    }
}

/// Whether it is open still, once all that came on it is read.
fn stands(stream: &mut TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    loop {
        match stream.read(&mut [0; 256]) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

/// CPU in ms that all threads of it have used, to the nanosecond.
fn cpu_ms(node: &Node) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", node.child.id()));
    let of = |task: std::fs::DirEntry| {
        let stat = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse::<f64>().ok()
    };
    tasks.into_iter().flatten().flatten().filter_map(of).sum::<f64>() / 1e6
}

pub fn scenario(report: &mut Report, program: Option<&std::path::Path>) -> Result<(), Fault> {
    let methods = [Method { work: Duration::from_micros(200), ..LOOK }];
    let agent = Agent::start(8, &methods)?;
    let setup = Setup {
        methods: methods.to_vec(),
        cores: 8,
        memory_mb: 192,
        sockets: SOCKETS,
        stop_ms: 4_000,
        file: None,
        say: "window",
        program: program.map(Into::into),
        loses: None,
        ramp: Duration::from_millis(100),
        skips: 0.5,
        shared: None,
        callers: SIZES[SIZES.len() - 1],
    };
    let mut node = Node::start(&setup, agent.at, below()?, naming()?.0, "")?;
    thread::sleep(Duration::from_millis(500));
    let descriptors = |node: &Node| -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).map_or(0, Iterator::count)
    };
    let kb = |node: &Node| -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
    };
    let (empty, mut held, mut ok, mut runs) = (kb(&node), Vec::new(), 0, Vec::new());
    let none = descriptors(&node);
    for size in SIZES {
        while held.len() < size {
            let (stream, fine) = open(node.at, held.len() as u64).ok_or("an RPC was not answered")?;
            ok += usize::from(fine);
            held.push(stream);
        }
        thread::sleep(Duration::from_millis(300));
        let (cpu, since) = (cpu_ms(&node), Instant::now());
        thread::sleep(REST);
        let cpu = (cpu_ms(&node) - cpu) / since.elapsed().as_secs_f64();
        let standing = held.iter_mut().map(stands).filter(|stands| *stands).count();
        runs.push(
            json!({"connections": size, "standing": standing, "memory_mb": (kb(&node) - empty) / 1_024.0,
            "descriptors": descriptors(&node) - none, "cpu_ms_per_s": cpu}),
        );
        report.rule("a connection was closed on a caller that keeps it", standing == size);
    }
    report.set("ok", ok.into());
    report.set("runs", json!(runs));
    report.set("descriptors_without", none.into());
    drop(held);
    node.signal("TERM");
    report.rule("it did not leave in order", node.ended(Duration::from_secs(6)) == Some(0));
    Ok(())
}

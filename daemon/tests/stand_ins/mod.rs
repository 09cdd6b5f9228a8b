//! Stand-ins for the agent, the upstream tier, the name service and a sidecar, and functions that run the daemon.

// Each test binary uses only some of the functions.
#![allow(dead_code)]

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time limit for anything that a test waits for.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the configuration file for a daemon with the given addresses.
pub fn config(listen: SocketAddr, agent: SocketAddr, upstream: SocketAddr, naming: SocketAddr) -> Value {
    json!({"name": "n1", "listen": listen.to_string(), "agent": agent.to_string(),
        "records": upstream.to_string(), "naming": naming.to_string(), "seed": "00000000000000ff", "stop_ms": 900,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
        "settings": {
            "Categories": [{"Name": "look", "AimMs": 800, "DeadlineMs": 2000, "Effect": "free", "Worth": 1}],
            "FamilyInfo": {"Below": "tier", "NCores": 2, "RamKb": 9000, "RunFactor": 4, "Say": "window",
                "StopMode": "abort", "Gauges": ["on_cores"], "IdleMs": 30000},
            "Limits": {}, "Safety": {"TipMultiple": 8, "ColdFrom": 0.3, "RampTimeMs": 3000,
            "StopSendingWithinMs": 300}, "StepMs": 4}})
}

/// Returns an address for the daemon to listen on.
///
/// The address stays bound by a socket of this process that does not listen. The daemon can bind it too, because it
/// shares ports (`SO_REUSEPORT`), but the system does not assign it to a socket of another test meanwhile.
pub fn free_address() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_port(true).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

pub fn config_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("asterrilld-{}-{name}.json", std::process::id()))
}

pub fn start_daemon(name: &str, config: &str) -> Child {
    let path = config_path(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterrilld"));
    command.env("GW_CONFIG", &path).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap()
}

pub fn send_signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args(["-s", name, &child.id().to_string()]).status().unwrap();
    assert!(sent.success());
}

pub fn wait_for_exit(mut child: Child) -> Output {
    let until = Instant::now() + TIMEOUT;
    while child.try_wait().unwrap().is_none() {
        if Instant::now() > until {
            child.kill().unwrap();
            panic!(
                "the daemon did not exit within {TIMEOUT:?}: {}",
                stderr_text(&child.wait_with_output().unwrap())
            );
        }
        thread::sleep(Duration::from_millis(10));
    }
    child.wait_with_output().unwrap()
}

pub fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Reads a command line and, for commands that have one, the body whose length is the last word of the line.
pub fn read_command(from: &mut impl BufRead) -> Option<(Vec<String>, Vec<u8>)> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    assert!(line.ends_with("\r\n"), "{line:?}");
    let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
    let mut body = Vec::new();
    if ["launch", "deliver", "OP"].contains(&words[0].as_str()) {
        body = vec![0; words.last()?.parse::<usize>().ok()? + 2];
        from.read_exact(&mut body).ok()?;
        assert_eq!(body.split_off(body.len() - 2), b"\r\n");
    }
    Some((words, body))
}

/// Accepts one connection, answers the first input on it with `garbage` and waits until the peer closes it.
pub fn answer_with_garbage(listener: &TcpListener, garbage: &[u8]) {
    let mut stream = listener.accept().unwrap().0;
    assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
    stream.write_all(garbage).unwrap();
    stream.read(&mut [0; 1024]).unwrap_or_default();
}

/// Notices of an agent, which a second stand-in continues after a move to another address.
pub type Notices = Arc<Mutex<Vec<Vec<u8>>>>;

/// Runs an agent whose first link breaks in the middle of a run. Each run makes one upstream call and returns its
/// reply.
pub fn run_agent(listener: TcpListener, garbage: bool, notices: Notices) {
    let mut link_broken_before = !notices.lock().unwrap().is_empty();
    if garbage {
        answer_with_garbage(&listener, b"greeting PERHAPS\r\n");
    }
    for stream in listener.incoming() {
        let mut to = stream.unwrap();
        let mut from = BufReader::new(to.try_clone().unwrap());
        while let Some((words, body)) = read_command(&mut from) {
            let mut notices = notices.lock().unwrap();
            let mut send = |bytes: Vec<u8>| drop(to.write_all(&bytes));
            let number = notices.len() + 1;
            match words[0].as_str() {
                "subscribe" => {
                    send(b"greeting EMPTY 5\r\n".to_vec());
                    notices.iter().skip(words[1].parse().unwrap()).for_each(|notice| send(notice.clone()));
                }
                "launch" if body == b"slow" => {
                    thread::sleep(Duration::from_millis(600));
                    let line = format!("outcome {number} {} PASS 600 4\r\nslow\r\n", words[1]);
                    notices.push(line.into_bytes());
                    send(notices[number - 1].clone());
                }
                "launch" => {
                    let line = format!("request {number} {} {}\r\n", words[1], body.len());
                    notices.push([line.as_bytes(), &body, b"\r\n"].concat());
                    if !std::mem::replace(&mut link_broken_before, true) {
                        // The notice is sent on the next link.
                        break;
                    }
                    send(notices[number - 1].clone());
                }
                "deliver" => {
                    let line = format!("outcome {number} {} PASS 1 {}\r\n", words[1], body.len());
                    notices.push([line.as_bytes(), &body, b"\r\n"].concat());
                    send(notices[number - 1].clone());
                }
                "sample" => send(format!("sampled {} 1\r\n", words[1]).into_bytes()),
                "exercise" => send(format!("exercised {} PASS\r\n", words[1]).into_bytes()),
                _ => {}
            }
        }
    }
}

/// Runs an upstream tier that answers each call with its body reversed.
pub fn run_upstream(listener: TcpListener, garbage: bool) {
    if garbage {
        answer_with_garbage(&listener, b"what?\r\n");
    }
    for stream in listener.incoming() {
        let mut to = stream.unwrap();
        let mut from = BufReader::new(to.try_clone().unwrap());
        thread::spawn(move || {
            while let Some((words, mut body)) = read_command(&mut from) {
                if words[0] == "OP" {
                    body.reverse();
                    let line = format!("{} DONE {}\r\n", words[1], body.len());
                    to.write_all(&[line.as_bytes(), &body, b"\r\n"].concat()).unwrap_or_default();
                }
            }
        });
    }
}

/// Runs a name service that sends the request line and the body of each load report to `reports`.
pub fn run_name_service(listener: TcpListener, reports: Sender<String>, garbage: bool) {
    if garbage {
        answer_with_garbage(&listener, b"HTTP/9 who?\r\n\r\n");
    }
    for stream in listener.incoming() {
        let mut to = stream.unwrap();
        let mut from = BufReader::new(to.try_clone().unwrap());
        let reports = reports.clone();
        thread::spawn(move || loop {
            let (mut head, mut line) = (String::new(), String::new());
            while from.read_line(&mut line).unwrap_or(0) > 2 {
                head.push_str(&std::mem::take(&mut line));
            }
            let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.trim().parse().ok());
            let Some(length) = length else { return };
            let mut body = vec![0; length];
            from.read_exact(&mut body).unwrap();
            let first = head.lines().next().unwrap_or("").to_string();
            reports.send(format!("{first} {}", String::from_utf8_lossy(&body))).unwrap_or_default();
            to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap_or_default();
        });
    }
}

pub fn encode_frame(kind: u8, stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend_from_slice(name.as_bytes());
        payload.extend_from_slice(&(value.len() as u16).to_be_bytes());
        payload.extend_from_slice(value.as_bytes());
    }
    payload.extend_from_slice(body);
    let length = (payload.len() + 5) as u32;
    [&length.to_be_bytes()[..], &[kind], &stream.to_be_bytes(), &payload].concat()
}

pub fn rpc_frame(stream: u32, trace: &str, body: &[u8]) -> Vec<u8> {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis().to_string();
    let fields = [
        ("route", "look"),
        ("trace", trace),
        ("born", &born),
        ("client", "4"),
        ("patience", "1900"),
        ("size", "9"),
    ];
    encode_frame(1, stream, &fields, body)
}

/// Reads the next frame and returns its type, stream and payload, or `None` at the end of the connection.
pub fn read_frame(from: &mut TcpStream) -> Option<(u8, u32, Vec<u8>)> {
    let mut head = [0; 9];
    from.set_read_timeout(Some(TIMEOUT)).unwrap();
    from.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
    let mut payload = vec![0; length - 5];
    from.read_exact(&mut payload).ok()?;
    Some((head[4], u32::from_be_bytes(head[5..].try_into().unwrap()), payload))
}

pub fn connect(to: SocketAddr) -> TcpStream {
    let until = Instant::now() + TIMEOUT;
    loop {
        match TcpStream::connect(to) {
            Ok(stream) => return stream,
            Err(e) => assert!(Instant::now() < until, "{e}"),
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Starts all stand-ins with an agent that has sent no notices yet; see [`start_stand_ins_with`].
pub fn start_stand_ins(garbage: bool) -> (SocketAddr, Value, Receiver<String>) {
    start_stand_ins_with(garbage, Notices::default())
}

/// Starts all stand-ins. Returns the address for the daemon, its configuration, and the load reports that arrive.
///
/// With `garbage`, each stand-in answers its first connection with garbage.
pub fn start_stand_ins_with(garbage: bool, notices: Notices) -> (SocketAddr, Value, Receiver<String>) {
    let [agent, upstream, naming] = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let address = |listener: &TcpListener| listener.local_addr().unwrap();
    let listen = free_address();
    let config = config(listen, address(&agent), address(&upstream), address(&naming));
    let (sender, reports) = channel();
    thread::spawn(move || run_agent(agent, garbage, notices));
    thread::spawn(move || run_upstream(upstream, garbage));
    thread::spawn(move || run_name_service(naming, sender, garbage));
    (listen, config, reports)
}

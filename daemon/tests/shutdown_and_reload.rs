//! Races of requests with shutdown, reload and the close of a connection, on real sockets.
//!
//! The daemon is paused with SIGSTOP, bytes and signals are delivered, and it is resumed with SIGCONT, so that all of
//! them arrive at the same time. Sleeps only produce a situation; no result depends on their duration.

mod stand_ins;

use serde_json::json;
use stand_ins::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

/// Time before the close of a connection in which a sidecar has to expect that an RPC it sent is lost, and sends it
/// again. The test allows twice as much, for delays of its own threads.
const LOSS_WINDOW: Duration = Duration::from_millis(50);

/// Stops the process with SIGSTOP, and waits until it is stopped.
fn pause_process(child: &Child) {
    send_signal(child, "STOP");
    let stat = format!("/proc/{}/stat", child.id());
    let until = Instant::now() + TIMEOUT;
    while !std::fs::read_to_string(&stat).unwrap().rsplit(')').next().unwrap().trim().starts_with('T') {
        assert!(Instant::now() < until, "the process was not stopped");
        thread::sleep(Duration::from_millis(1));
    }
}

fn resume_process(child: &Child) {
    send_signal(child, "CONT");
}

/// Reads the answer on a stream and returns its code and payload. Announcements of a drain are skipped.
fn read_answer(from: &mut TcpStream, stream: u32) -> (u8, Vec<u8>) {
    loop {
        let (kind, found, payload) = read_frame(from).expect("the connection ended before the answer");
        if (kind, found) == (2, stream) {
            return (payload[0], payload);
        }
        assert!(kind == 6 && found == 0, "frame of type {kind} on stream {found}: {payload:?}");
    }
}

fn start_with_stand_ins(name: &str) -> (Child, SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (listen, config, reports) = start_stand_ins(false);
    let child = start_daemon(name, &config.to_string());
    assert!(reports.recv_timeout(TIMEOUT).unwrap().contains("yes"));
    (child, listen, reports)
}

#[test]
fn answers_all_rpcs_that_arrive_with_sigterm() {
    let (child, listen, reports) = start_with_stand_ins("arrives");
    let [mut complete, mut partial, mut silent] = [(); 3].map(|()| connect(listen));
    complete.write_all(&rpc_frame(1, "00000000000000a1", b"first")).unwrap();
    assert_eq!(read_answer(&mut complete, 1).0, 0);
    pause_process(&child);
    // A complete RPC, a partial one, one on a connection that is not accepted yet, a connection without input, and
    // both signals twice.
    complete.write_all(&rpc_frame(2, "00000000000000a2", b"whole")).unwrap();
    let bytes = rpc_frame(1, "00000000000000a3", b"half");
    partial.write_all(&bytes[..30]).unwrap();
    let mut queued = TcpStream::connect(listen).unwrap();
    queued.write_all(&rpc_frame(1, "00000000000000a4", b"queued")).unwrap();
    let mut unused = TcpStream::connect(listen).unwrap();
    ["TERM", "HUP", "TERM", "HUP"].into_iter().for_each(|name| send_signal(&child, name));
    resume_process(&child);
    let (code, payload) = read_answer(&mut complete, 2);
    assert!(code == 0 && payload.ends_with(b"elohw"), "{payload:?}");
    assert_eq!(
        read_answer(&mut queued, 1).0,
        0,
        "an RPC that arrives within the health propagation delay is run"
    );
    partial.write_all(&bytes[30..]).unwrap();
    assert!([0, 11].contains(&read_answer(&mut partial, 1).0));
    // Each connection is closed in order at the end, without a reset.
    for stream in [&mut complete, &mut partial, &mut queued, &mut silent, &mut unused] {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.read_to_end(&mut Vec::new()).unwrap();
    }
    while !reports.recv_timeout(TIMEOUT).unwrap().ends_with(r#"{"serving":"no"}"#) {}
    let output = wait_for_exit(child);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    assert!(
        !stderr_text(&output).contains(" reloads=0 "),
        "the file was not reloaded: {}",
        stderr_text(&output)
    );
    for counter in ["rpcs=4 ", "reloads_failed=0 ", "gone=0 "] {
        assert!(stderr_text(&output).contains(counter), "{counter} {}", stderr_text(&output));
    }
}

#[test]
fn sidecars_that_keep_sending_lose_only_rpcs_sent_right_before_the_close() {
    for round in 0..3 {
        let (child, listen, _reports) = start_with_stand_ins(&format!("very-end-{round}"));
        let mut stream = connect(listen);
        let mut from = stream.try_clone().unwrap();
        let reader = thread::spawn(move || {
            let mut answered = Vec::new();
            loop {
                let mut head = [0; 9];
                match from.read_exact(&mut head) {
                    Ok(()) => {}
                    Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok((answered, Instant::now())),
                    Err(e) => return Err(e),
                }
                let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
                from.read_exact(&mut vec![0; length - 5])?;
                if head[4] == 2 {
                    answered.push(u32::from_be_bytes(head[5..].try_into().unwrap()));
                }
            }
        });
        send_signal(&child, "TERM");
        let (mut sent, mut n) = (Vec::new(), 0);
        while stream.write_all(&rpc_frame(n + 1, &format!("{:016x}", 0xe000 + n), b"body")).is_ok() {
            n += 1;
            sent.push((n, Instant::now()));
            thread::sleep(Duration::from_millis(3));
        }
        let (answered, end) = reader.join().unwrap().expect("the connection was reset");
        assert!(answered.len() > 30 && sent.len() > 30, "{} of {}", answered.len(), sent.len());
        for (stream, at) in sent.iter().filter(|(stream, _)| !answered.contains(stream)) {
            assert!(
                *at + 2 * LOSS_WINDOW > end,
                "RPC {stream} of {n} lost, {:?} before the close",
                end - *at
            );
        }
        assert_eq!(wait_for_exit(child).status.code(), Some(0));
    }
}

#[test]
fn silent_name_service_delays_nothing() {
    let (listen, mut config, _reports) = start_stand_ins(false);
    let naming = TcpListener::bind("127.0.0.1:0").unwrap();
    config["naming"] = json!(naming.local_addr().unwrap().to_string());
    let (sender, reports) = std::sync::mpsc::channel();
    thread::spawn(move || {
        // Each connection is read to its end and never answered.
        for mut stream in naming.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || {
                let mut bytes = vec![0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    sender.send(String::from_utf8_lossy(&bytes[..n]).into_owned()).unwrap_or_default();
                }
            });
        }
    });
    let child = start_daemon("silent-naming", &config.to_string());
    let mut sidecar = connect(listen);
    assert!(reports.recv_timeout(TIMEOUT).unwrap().contains("yes"));
    for stream in 1..=20 {
        let sent = Instant::now();
        sidecar.write_all(&rpc_frame(stream, &format!("{:016x}", 0xb000 + stream), b"body")).unwrap();
        assert_eq!(read_answer(&mut sidecar, stream).0, 0);
        assert!(sent.elapsed() < Duration::from_millis(500), "delayed by {:?}", sent.elapsed());
    }
    std::fs::write(config_path("silent-naming"), config.to_string()).unwrap();
    send_signal(&child, "HUP");
    send_signal(&child, "TERM");
    let output = wait_for_exit(child);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    // The last report, on the last connection, has the final state.
    let received: Vec<String> = reports.try_iter().collect();
    let last = received.iter().rfind(|report| report.contains("serving")).unwrap();
    assert!(last.contains(r#"{"serving":"no"}"#), "{received:?}");
}

#[test]
fn successor_takes_over_the_address() {
    let (listen, config, reports) = start_stand_ins(false);
    let first = start_daemon("before", &config.to_string());
    assert!(reports.recv_timeout(TIMEOUT).unwrap().contains("yes"));
    let mut slow = connect(listen);
    slow.write_all(&rpc_frame(1, "00000000000000c1", b"slow")).unwrap();
    send_signal(&first, "TERM");
    // The successor has its own agent, and the same name, address and name service.
    let (_, mut second_config, _second_reports) = start_stand_ins(false);
    second_config["listen"] = json!(listen.to_string());
    second_config["naming"] = config["naming"].clone();
    let second = start_daemon("after", &second_config.to_string());
    while !reports.recv_timeout(TIMEOUT).unwrap().ends_with(r#"{"serving":"yes"}"#) {}
    assert_eq!(read_answer(&mut slow, 1).0, 0, "an open RPC is completed by the process that accepted it");
    assert_eq!(wait_for_exit(first).status.code(), Some(0));
    for n in 0..20 {
        let mut sidecar = TcpStream::connect(listen).unwrap();
        sidecar.write_all(&rpc_frame(1, &format!("{:016x}", 0xd000 + n), b"body")).unwrap();
        assert_eq!(read_answer(&mut sidecar, 1).0, 0);
    }
    send_signal(&second, "TERM");
    let output = wait_for_exit(second);
    assert_eq!(output.status.code(), Some(0));
    assert!(stderr_text(&output).contains(" ok=20 "), "{}", stderr_text(&output));
}

#[test]
fn reload_with_fewer_sockets_keeps_open_connections() {
    let (listen, mut config, reports) = start_stand_ins(false);
    let child = start_daemon("fewer", &config.to_string());
    assert!(reports.recv_timeout(TIMEOUT).unwrap().contains("yes"));
    let mut sidecars: Vec<TcpStream> = (0..30).map(|_| connect(listen)).collect();
    for (n, sidecar) in sidecars.iter_mut().enumerate() {
        sidecar.write_all(&rpc_frame(1, &format!("{:016x}", 0xf000 + n), b"body")).unwrap();
        assert!([0, 11].contains(&read_answer(sidecar, 1).0));
    }
    config["limits"]["sockets"] = json!(30);
    std::fs::write(config_path("fewer"), config.to_string()).unwrap();
    pause_process(&child);
    send_signal(&child, "HUP");
    // All sidecars send an RPC at the moment at which the limit drops below their number.
    for (n, sidecar) in sidecars.iter_mut().enumerate() {
        sidecar.write_all(&rpc_frame(2, &format!("{:016x}", 0xf100 + n), b"body")).unwrap();
    }
    resume_process(&child);
    for sidecar in &mut sidecars {
        assert!([0, 11].contains(&read_answer(sidecar, 2).0));
    }
    send_signal(&child, "TERM");
    let output = wait_for_exit(child);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    assert!(
        stderr_text(&output).contains("rpcs=60 ") && stderr_text(&output).contains("gone=0 "),
        "{}",
        stderr_text(&output)
    );
}

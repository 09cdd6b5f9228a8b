//! What crosses a notice to leave, a signal or the end of a connection, forced on sockets: the process is stopped by its
//! id, bytes and signals are delivered, and it is let go on. A sleep brings a moment about here; none decides a verdict.

mod stand_ins;

use serde_json::json;
use stand_ins::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

/// What crosses an end by so much is sent again, by the page; the threads of a test get as much once more.
const CROSSING: Duration = Duration::from_millis(50);

/// Stops the process, and waits until it is.
fn pause_process(child: &Child) {
    send_signal(child, "STOP");
    let stat = format!("/proc/{}/stat", child.id());
    let until = Instant::now() + WAIT;
    while !std::fs::read_to_string(&stat).unwrap().rsplit(')').next().unwrap().trim().starts_with('T') {
        assert!(Instant::now() < until, "it does not stop");
        thread::sleep(Duration::from_millis(1));
    }
}

fn resume_process(child: &Child) {
    send_signal(child, "CONT");
}

/// The answer on a stream: its code and body. Frames that tell of no answer are passed over.
fn answer(from: &mut TcpStream, stream: u32) -> (u8, Vec<u8>) {
    loop {
        let (kind, on, payload) = read_frame(from).expect("an answer before the end");
        if (kind, on) == (2, stream) {
            return (payload[0], payload);
        }
        assert!(kind == 6 && on == 0, "{kind} on {on}: {payload:?}");
    }
}

fn start_with_stand_ins(name: &str) -> (Child, SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (listen, config, reports) = start_stand_ins(false);
    let child = start_daemon(name, &config.to_string());
    assert!(reports.recv_timeout(WAIT).unwrap().contains("yes"));
    (child, listen, reports)
}

#[test]
fn answers_all_that_arrives_with_sigterm() {
    let (child, listen, reports) = start_with_stand_ins("arrives");
    let [mut whole, mut half, mut silent] = [(); 3].map(|()| connect(listen));
    whole.write_all(&rpc_frame(1, "00000000000000a1", b"first")).unwrap();
    assert_eq!(answer(&mut whole, 1).0, 0);
    pause_process(&child);
    // A whole RPC, half a one, one on a connection that nobody has taken in yet, a connection alone, and both signals twice.
    whole.write_all(&rpc_frame(2, "00000000000000a2", b"whole")).unwrap();
    let bytes = rpc_frame(1, "00000000000000a3", b"half");
    half.write_all(&bytes[..30]).unwrap();
    let mut queued = TcpStream::connect(listen).unwrap();
    queued.write_all(&rpc_frame(1, "00000000000000a4", b"queued")).unwrap();
    let mut bare = TcpStream::connect(listen).unwrap();
    ["TERM", "HUP", "TERM", "HUP"].into_iter().for_each(|name| send_signal(&child, name));
    resume_process(&child);
    let (code, payload) = answer(&mut whole, 2);
    assert!(code == 0 && payload.ends_with(b"elohw"), "{payload:?}");
    assert_eq!(answer(&mut queued, 1).0, 0, "within the grace it is run");
    half.write_all(&bytes[30..]).unwrap();
    assert!([0, 11].contains(&answer(&mut half, 1).0));
    // Each connection ends in order once all is over: nobody is reset.
    for stream in [&mut whole, &mut half, &mut queued, &mut silent, &mut bare] {
        stream.set_read_timeout(Some(WAIT)).unwrap();
        stream.read_to_end(&mut Vec::new()).unwrap();
    }
    while !reports.recv_timeout(WAIT).unwrap().ends_with(r#"{"serving":"no"}"#) {}
    let output = wait_for_exit(child);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    assert!(
        !stderr_text(&output).contains(" reloads=0 "),
        "the file was read again: {}",
        stderr_text(&output)
    );
    for counted in ["rpcs=4 ", "reloads_failed=0 ", "gone=0 "] {
        assert!(stderr_text(&output).contains(counted), "{counted} {}", stderr_text(&output));
    }
}

#[test]
fn sidecars_that_never_stop_lose_only_what_crosses_the_close() {
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
        let (answered, end) = reader.join().unwrap().expect("an end in order, not a reset");
        assert!(answered.len() > 30 && sent.len() > 30, "{} of {}", answered.len(), sent.len());
        for (stream, at) in sent.iter().filter(|(stream, _)| !answered.contains(stream)) {
            assert!(*at + 2 * CROSSING > end, "{stream} of {} lost, {:?} before the end", n, end - *at);
        }
        assert_eq!(wait_for_exit(child).status.code(), Some(0));
    }
}

#[test]
fn silent_name_service_delays_nothing() {
    let (listen, mut config, _reports) = start_stand_ins(false);
    let naming = TcpListener::bind("127.0.0.1:0").unwrap();
    config["naming"] = json!(naming.local_addr().unwrap().to_string());
    let (reports, lines) = std::sync::mpsc::channel();
    thread::spawn(move || {
        // Each connection is read to its end, and never answered.
        for mut stream in naming.incoming().flatten() {
            let reports = reports.clone();
            thread::spawn(move || {
                let mut bytes = vec![0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    reports.send(String::from_utf8_lossy(&bytes[..n]).into_owned()).unwrap_or_default();
                }
            });
        }
    });
    let child = start_daemon("silent-naming", &config.to_string());
    let mut sidecar = connect(listen);
    assert!(lines.recv_timeout(WAIT).unwrap().contains("yes"));
    for stream in 1..=20 {
        let asked = Instant::now();
        sidecar.write_all(&rpc_frame(stream, &format!("{:016x}", 0xb000 + stream), b"body")).unwrap();
        assert_eq!(answer(&mut sidecar, stream).0, 0);
        assert!(asked.elapsed() < Duration::from_millis(500), "held up: {:?}", asked.elapsed());
    }
    std::fs::write(config_path("silent-naming"), config.to_string()).unwrap();
    send_signal(&child, "HUP");
    send_signal(&child, "TERM");
    let output = wait_for_exit(child);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    // The last word that was sent is the true one, on a connection that came after all others.
    let words: Vec<String> = lines.try_iter().collect();
    let last = words.iter().rfind(|line| line.contains("serving")).unwrap();
    assert!(last.contains(r#"{"serving":"no"}"#), "{words:?}");
}

#[test]
fn successor_takes_over_the_address() {
    let (listen, config, reports) = start_stand_ins(false);
    let first = start_daemon("before", &config.to_string());
    assert!(reports.recv_timeout(WAIT).unwrap().contains("yes"));
    let mut slow = connect(listen);
    slow.write_all(&rpc_frame(1, "00000000000000c1", b"slow")).unwrap();
    send_signal(&first, "TERM");
    // It has an agent of its own, and the same name, address and name service.
    let (_, mut other, _others) = start_stand_ins(false);
    other["listen"] = json!(listen.to_string());
    other["naming"] = config["naming"].clone();
    let second = start_daemon("after", &other.to_string());
    while !reports.recv_timeout(WAIT).unwrap().ends_with(r#"{"serving":"yes"}"#) {}
    assert_eq!(answer(&mut slow, 1).0, 0, "what was in hand ends where it was");
    assert_eq!(wait_for_exit(first).status.code(), Some(0));
    for n in 0..20 {
        let mut sidecar = TcpStream::connect(listen).unwrap();
        sidecar.write_all(&rpc_frame(1, &format!("{:016x}", 0xd000 + n), b"body")).unwrap();
        assert_eq!(answer(&mut sidecar, 1).0, 0);
    }
    send_signal(&second, "TERM");
    let output = wait_for_exit(second);
    assert_eq!(output.status.code(), Some(0));
    assert!(stderr_text(&output).contains(" ok=20 "), "{}", stderr_text(&output));
}

#[test]
fn reload_with_fewer_sockets_keeps_connections_and_bounds_new_ones() {
    let (listen, mut config, reports) = start_stand_ins(false);
    let child = start_daemon("fewer", &config.to_string());
    assert!(reports.recv_timeout(WAIT).unwrap().contains("yes"));
    let mut sidecars: Vec<TcpStream> = (0..30).map(|_| connect(listen)).collect();
    for (n, sidecar) in sidecars.iter_mut().enumerate() {
        sidecar.write_all(&rpc_frame(1, &format!("{:016x}", 0xf000 + n), b"body")).unwrap();
        assert!([0, 11].contains(&answer(sidecar, 1).0));
    }
    config["limits"]["sockets"] = json!(30);
    std::fs::write(config_path("fewer"), config.to_string()).unwrap();
    pause_process(&child);
    send_signal(&child, "HUP");
    // All ask in the very moment in which there is no more room for all of them.
    for (n, sidecar) in sidecars.iter_mut().enumerate() {
        sidecar.write_all(&rpc_frame(2, &format!("{:016x}", 0xf100 + n), b"body")).unwrap();
    }
    resume_process(&child);
    for sidecar in &mut sidecars {
        assert!([0, 11].contains(&answer(sidecar, 2).0));
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

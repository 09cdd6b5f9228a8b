//! Control socket with slow clients, long requests and invalid requests.

use super::*;
use crate::change::{ChangeRequest, ChangeSource};
use serde_json::json;

/// Sends bytes on a new connection and returns the reply line.
fn send_request(path: &Path, bytes: &[u8]) -> String {
    let mut stream = UnixStream::connect(path).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    stream.write_all(bytes).unwrap();
    let mut line = String::new();
    let mut reader = BufReader::new(&stream);
    reader.read_line(&mut line).unwrap();
    // The slot is released before the connection ends. Without this wait the next client could find no free slot.
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    drop(reader.read_to_end(&mut Vec::new()));
    line
}

#[test]
fn socket_is_private_and_invalid_requests_are_rejected_while_another_client_is_slow() {
    let path = std::env::temp_dir().join(format!("asterrilld-control-{}", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    let log = Logger::root(slog::Discard, slog::o!());
    let handler: Handler = Arc::new(|request| json!({"ok": true, "request": format!("{request:?}")}).into());
    listen(&path, handler.clone(), &log).unwrap();
    let mode = std::fs::metadata(&path).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode, 0o600);
    let mut incomplete = UnixStream::connect(&path).unwrap();
    incomplete.write_all(b"{\"v\": 1, ").unwrap();
    for (request, part) in [
        (&b"{\"v\": 1, \"do\": \"status\"}\n"[..], "Status"),
        (b"{\"v\": 1, \"do\": \"apply\", \"if_base\": 3}\n", "if_base: Some(3)"),
        (
            b"{\"v\": 1, \"do\": \"apply\", \"if_base\": -3}\n",
            "if_base: expected a non-negative integer, found -3",
        ),
        (b"{\"v\": 1, \"do\": \"stage\"}\n", "stage requires text or step"),
        (b"{\"v\": 1, \"do\": \"diff\", \"step\": 3}\n", "diff requires text or step"),
        (
            b"{\"v\": 1, \"do\": \"stage\", \"step\": \"s\", \"text\": \"t\"}\n",
            "expected either text or step, found both",
        ),
        (
            b"{\"v\": 1, \"do\": \"stage\", \"step\": \"s\", \"base\": 3}\n",
            "source: Step(\\\"s\\\"), base: Some(3)",
        ),
        (b"{\"v\": 2, \"do\": \"status\"}\n", "expected protocol version 1, found 2"),
        (b"{\"v\": 1, \"do\": \"dance\"}\n", "unknown command \\\"dance\\\""),
        (b"what?\n", "not valid JSON"),
    ] {
        let line = send_request(&path, request);
        assert!(line.contains(part), "{line} does not contain {part}");
    }
    // Parsed values take many times the memory of their text, so that they are counted before.
    let many_values = format!("{{\"v\": 1, \"do\": \"status\", \"more\": [{}0]}}\n", "0,".repeat(2_000_000));
    assert!(send_request(&path, many_values.as_bytes()).contains("at most 20000 values"));
    let long_text = format!("{{\"v\": 1, \"do\": \"stage\", \"step\": \"{}\"}}\n", "[,{\\\"".repeat(100_000));
    assert!(send_request(&path, long_text.as_bytes()).contains("source: Step"));
    let long = vec![b'x'; MAX_REQUEST_BYTES as usize + 1];
    assert!(send_request(&path, &long).contains("one line of at most 4 MiB"));
    // The incomplete request is rejected after its time limit.
    let mut line = String::new();
    incomplete.set_read_timeout(Some(REQUEST_TIMEOUT * 2)).unwrap();
    BufReader::new(incomplete).read_line(&mut line).unwrap();
    assert!(line.contains("within 5 s"), "{line}");
    // A socket that another process listens on is not replaced, nor is a file of another kind.
    assert!(listen(&path, handler.clone(), &log).unwrap_err().to_string().contains("another process"));
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "a file").unwrap();
    assert!(listen(&path, handler, &log).unwrap_err().to_string().contains("not a socket"));
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn one_long_request_is_handled_at_a_time_and_others_wait_or_are_rejected() {
    let path = std::env::temp_dir().join(format!("asterrilld-long-{}", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    // The handler holds each long request for a while and records how many long requests it holds at a time. The pair
    // contains the current number and the maximum.
    let (held, changed) = (std::sync::Mutex::new((0_u32, 0_u32)), std::sync::Condvar::new());
    let handler: Handler = Arc::new(move |request| match request {
        Request::Stage(ChangeRequest { source: ChangeSource::Step(step), .. }) => {
            let mut held = held.lock().unwrap();
            held.0 += 1;
            held.1 = held.1.max(held.0);
            changed.notify_all();
            let wait = Duration::from_millis(300);
            held = changed.wait_timeout_while(held, wait, |held| held.1 < 2).unwrap().0;
            held.0 -= 1;
            json!({"ok": true, "bytes": step.len(), "max_held": held.1}).into()
        }
        other => json!({"ok": false, "error": format!("{other:?}")}).into(),
    });
    listen(&path, handler, &Logger::root(slog::Discard, slog::o!())).unwrap();
    let bytes = 3 * 1024 * 1024;
    let long = format!("{{\"v\": 1, \"do\": \"stage\", \"step\": \"{}\"}}\n", "s".repeat(bytes)).into_bytes();
    assert!(send_request(&path, &long).contains(&format!("\"bytes\":{bytes}")));
    let clients: Vec<_> = (0..3)
        .map(|_| {
            let (path, complete) = (path.clone(), long.clone());
            std::thread::spawn(move || send_request(&path, &complete))
        })
        .collect();
    for client in clients {
        let reply = client.join().unwrap();
        assert!(reply.contains("\"max_held\":1"), "{reply}");
    }
    // While one long request is incomplete, another one waits, and it is answered after the first.
    let mut first = UnixStream::connect(&path).unwrap();
    first.write_all(&long[..bytes / 2]).unwrap();
    let (at, complete) = (path.clone(), long.clone());
    let second = std::thread::spawn(move || send_request(&at, &complete));
    let reply = send_request(&path, b"{\"v\": 1, \"do\": \"status\"}\n");
    assert!(reply.contains("Status"), "a short request was not served: {reply}");
    assert!(!second.is_finished(), "a second long request was handled");
    first.write_all(&long[bytes / 2..]).unwrap();
    let mut line = String::new();
    BufReader::new(&first).read_line(&mut line).unwrap();
    assert!(line.contains("\"ok\":true"), "{line}");
    assert!(second.join().unwrap().contains("\"ok\":true"));
    // An incomplete long request delays others only until its own time limit. A client that waited as long is told
    // the reason. Of the second request only the part that fits the socket buffers is sent.
    let mut incomplete = UnixStream::connect(&path).unwrap();
    incomplete.write_all(&long[..bytes]).unwrap();
    let mut waiting = UnixStream::connect(&path).unwrap();
    waiting.write_all(&long[..530 * 1024]).unwrap();
    let mut replies = Vec::new();
    for stream in [incomplete, waiting] {
        stream.set_read_timeout(Some(REQUEST_TIMEOUT * 2)).unwrap();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        replies.push(line);
    }
    assert!(replies[0].contains("one line of at most 4 MiB, received within 5 s"), "{replies:?}");
    assert!(replies[1].contains("another request of more than 512 KiB is being read"), "{replies:?}");
    assert!(send_request(&path, &long).contains("\"ok\":true"), "the permit was not released");
    std::fs::remove_file(&path).unwrap();
}

/// Guards against the rejection of a client because the threads of clients that have disconnected have not run yet.
#[test]
fn client_waits_for_the_slot_of_one_that_disconnects() {
    let path = std::env::temp_dir().join(format!("asterrilld-slots-{}", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    let handler: Handler = Arc::new(|request| json!({"ok": true, "request": format!("{request:?}")}).into());
    listen(&path, handler, &Logger::root(slog::Discard, slog::o!())).unwrap();
    let status = b"{\"v\": 1, \"do\": \"status\"}\n";
    let mut served: Vec<UnixStream> = (0..MAX_CLIENTS).map(|_| UnixStream::connect(&path).unwrap()).collect();
    for client in &mut served {
        client.write_all(status).unwrap();
        BufReader::new(client).read_line(&mut String::new()).unwrap();
    }
    let rejected = send_request(&path, status);
    assert!(rejected.contains("too many clients"), "{rejected}");
    let (at, request) = (path.clone(), status.to_vec());
    let waiting = std::thread::spawn(move || send_request(&at, &request));
    std::thread::sleep(Duration::from_millis(100));
    served.pop();
    let reply = waiting.join().unwrap();
    assert!(reply.contains("Status"), "{reply}");
    std::fs::remove_file(&path).unwrap();
}

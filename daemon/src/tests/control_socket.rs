//! The control socket against operators that are slow, long or wrong.

use super::*;
use crate::change::{ChangeRequest, ChangeSource};
use serde_json::json;

fn ask(path: &Path, bytes: &[u8]) -> String {
    let mut stream = UnixStream::connect(path).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    stream.write_all(bytes).unwrap();
    let mut line = String::new();
    let mut reader = BufReader::new(&stream);
    reader.read_line(&mut line).unwrap();
    // The slot is given back before the connection ends: without the wait the next one could find none free.
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    drop(reader.read_to_end(&mut Vec::new()));
    line
}

#[test]
fn socket_is_private_and_bad_requests_are_named_while_others_are_served() {
    let path = std::env::temp_dir().join(format!("asterrilld-control-{}", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    let log = Logger::root(slog::Discard, slog::o!());
    let handler: Handler = Arc::new(|request| json!({"ok": true, "request": format!("{request:?}")}).into());
    listen(&path, handler.clone(), &log).unwrap();
    let mode = std::fs::metadata(&path).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode, 0o600);
    let mut half = UnixStream::connect(&path).unwrap();
    half.write_all(b"{\"v\": 1, ").unwrap();
    for (asked, part) in [
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
        let line = ask(&path, asked);
        assert!(line.contains(part), "{line} for {part}");
    }
    let long = vec![b'x'; MAX_REQUEST_BYTES as usize + 1];
    assert!(ask(&path, &long).contains("one line of at most 4 MiB"));
    // The half line is given up in its time.
    let mut line = String::new();
    half.set_read_timeout(Some(REQUEST_TIMEOUT * 2)).unwrap();
    BufReader::new(half).read_line(&mut line).unwrap();
    assert!(line.contains("within 5 s"), "{line}");
    // A place where somebody listens is not taken over; one that a process has left is.
    assert!(listen(&path, handler.clone(), &log).unwrap_err().to_string().contains("another process"));
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "a file").unwrap();
    assert!(listen(&path, handler, &log).unwrap_err().to_string().contains("not a socket"));
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn one_long_request_is_held_at_a_time_and_others_wait_or_are_rejected() {
    let path = std::env::temp_dir().join(format!("asterrilld-long-{}", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    // A long one waits a while for the company of another, which it must not get.
    let (inside, came) = (std::sync::Mutex::new((0_u32, 0_u32)), std::sync::Condvar::new());
    let handler: Handler = Arc::new(move |request| match request {
        Request::Stage(ChangeRequest { source: ChangeSource::Step(step), .. }) => {
            let mut now = inside.lock().unwrap();
            now.0 += 1;
            now.1 = now.1.max(now.0);
            came.notify_all();
            let wait = Duration::from_millis(300);
            now = came.wait_timeout_while(now, wait, |now| now.1 < 2).unwrap().0;
            now.0 -= 1;
            json!({"ok": true, "bytes": step.len(), "together": now.1}).into()
        }
        other => json!({"ok": false, "error": format!("{other:?}")}).into(),
    });
    listen(&path, handler, &Logger::root(slog::Discard, slog::o!())).unwrap();
    let bytes = 3 * 1024 * 1024;
    let long = format!("{{\"v\": 1, \"do\": \"stage\", \"step\": \"{}\"}}\n", "s".repeat(bytes)).into_bytes();
    assert!(ask(&path, &long).contains(&format!("\"bytes\":{bytes}")));
    let all: Vec<_> = (0..3)
        .map(|_| {
            let (at, complete) = (path.clone(), long.clone());
            std::thread::spawn(move || ask(&at, &complete))
        })
        .collect();
    for one in all {
        let reply = one.join().unwrap();
        assert!(reply.contains("\"together\":1"), "{reply}");
    }
    // One is half there: another waits until it is whole, and is answered after it.
    let mut first = UnixStream::connect(&path).unwrap();
    first.write_all(&long[..bytes / 2]).unwrap();
    let (at, complete) = (path.clone(), long.clone());
    let second = std::thread::spawn(move || ask(&at, &complete));
    assert!(ask(&path, b"{\"v\": 1, \"do\": \"status\"}\n").contains("Status"), "short ones are served");
    assert!(!second.is_finished(), "two are held");
    first.write_all(&long[bytes / 2..]).unwrap();
    let mut line = String::new();
    BufReader::new(&first).read_line(&mut line).unwrap();
    assert!(line.contains("\"ok\":true"), "{line}");
    assert!(second.join().unwrap().contains("\"ok\":true"));
    // One that never becomes whole holds others up for its own time only; who waited as long is reply why.
    let mut never = UnixStream::connect(&path).unwrap();
    never.write_all(&long[..bytes]).unwrap();
    let mut late = UnixStream::connect(&path).unwrap();
    late.write_all(&long[..530 * 1024]).unwrap(); // what is not read of it yet waits in the socket
    let mut said = Vec::new();
    for stream in [never, late] {
        stream.set_read_timeout(Some(REQUEST_TIMEOUT * 2)).unwrap();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        said.push(line);
    }
    assert!(said[0].contains("one line of at most 4 MiB, received within 5 s"), "{said:?}");
    assert!(said[1].contains("another request of more than 512 KiB is being read"), "{said:?}");
    assert!(ask(&path, &long).contains("\"ok\":true"), "and then there is room again");
    std::fs::remove_file(&path).unwrap();
}

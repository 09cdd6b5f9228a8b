//! Tests of `control.rs`.

use super::*;

fn ask(path: &Path, bytes: &[u8]) -> String {
    let mut stream = UnixStream::connect(path).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    stream.write_all(bytes).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

#[test]
fn only_the_owner_may_open_it_and_bad_requests_are_named_while_others_are_served() {
    let path = std::env::temp_dir().join(format!("asterrilld-control-{}", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    let log = Logger::root(slog::Discard, slog::o!());
    let told: Ask = Arc::new(|wanted| json!({"ok": true, "wanted": format!("{wanted:?}")}));
    listen(&path, told.clone(), &log).unwrap();
    let mode = std::fs::metadata(&path).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode, 0o600);
    let mut half = UnixStream::connect(&path).unwrap();
    half.write_all(b"{\"v\": 1, ").unwrap();
    for (asked, part) in [
        (&b"{\"v\": 1, \"do\": \"status\"}\n"[..], "Status"),
        (b"{\"v\": 1, \"do\": \"apply\", \"if_base\": 3}\n", "if_base: Some(3)"),
        (b"{\"v\": 1, \"do\": \"apply\", \"if_base\": -3}\n", "if_base is no whole number"),
        (b"{\"v\": 1, \"do\": \"stage\"}\n", "stage wants text"),
        (b"{\"v\": 2, \"do\": \"status\"}\n", "speaks version 1"),
        (b"{\"v\": 1, \"do\": \"dance\"}\n", "is not known"),
        (b"what?\n", "not JSON"),
    ] {
        let line = ask(&path, asked);
        assert!(line.contains(part), "{line} for {part}");
    }
    let long = vec![b'x'; LINE as usize + 1];
    assert!(ask(&path, &long).contains("512 KiB"));
    // The half line is given up in its time.
    let mut line = String::new();
    half.set_read_timeout(Some(WITHIN * 2)).unwrap();
    BufReader::new(half).read_line(&mut line).unwrap();
    assert!(line.contains("within 5 s"), "{line}");
    // A place where somebody listens is not taken over; one that a process has left is.
    assert!(listen(&path, told.clone(), &log).unwrap_err().to_string().contains("another process"));
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "a file").unwrap();
    assert!(listen(&path, told, &log).unwrap_err().to_string().contains("no socket"));
    std::fs::remove_file(&path).unwrap();
}

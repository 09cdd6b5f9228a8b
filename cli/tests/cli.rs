//! The command line, run on files and against a simulated control socket.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::process::{Command, Output};

fn sample_config() -> Value {
    json!({"name": "n", "listen": "127.0.0.1:1", "agent": "127.0.0.1:1", "naming": "127.0.0.1:1", "seed": "1",
        "stop_ms": 900, "limits": {"memory_mb": 32, "sockets": 64}, "settings": {
        "Categories": [{"Name": "look", "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1}],
        "FamilyInfo": {"NCores": 2, "RamKb": 9000, "Below": "off"}, "Limits": {},
        "Safety": {"TipMultiple": 8, "ColdFrom": 1, "RampTimeMs": 1, "StopSendingWithinMs": 9}}})
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("asterrill-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn run_cli(arguments: &[&str]) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_asterrill");
    let Output { status, stdout, stderr } =
        Command::new(program).args(arguments).env_remove("ASTERRILL_SOCKET").output().unwrap();
    (status.code(), String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned())
}

#[test]
fn check_reports_errors_with_exit_code_1() {
    let valid = write_file("fine", &sample_config().to_string());
    let (code, output) = run_cli(&["check", valid.to_str().unwrap(), "--json"]);
    assert!(code == Some(0) && output.contains(r#""kind":"configuration""#), "{output}");
    let mut invalid = sample_config();
    invalid["settings"]["Categories"][0]["DeadlineMs"] = json!(300);
    let invalid = write_file("wrong", &invalid.to_string());
    let (code, output) = run_cli(&["check", invalid.to_str().unwrap()]);
    assert!(
        code == Some(1) && output.contains("deadline of 300 ms is shorter than the latency target of 400 ms"),
        "{output}"
    );
    let conf = write_file("conf", "[broker]\nheartbeat 10");
    let (code, output) = run_cli(&["check", conf.to_str().unwrap()]);
    assert!(code == Some(1) && output.contains("conf:2: heartbeat: expected a duration"), "{output}");
    let (code, output) = run_cli(&["check", "/nowhere"]);
    assert!(code == Some(1) && output.contains("/nowhere: No such file"), "{output}");
    assert_eq!(run_cli(&["frobnicate"]).0, Some(2));
}

#[test]
fn diff_compares_meaning_not_text() {
    let old = write_file("old", &sample_config().to_string());
    let same = write_file("same", &serde_json::to_string_pretty(&sample_config()).unwrap());
    assert_eq!(run_cli(&["diff", old.to_str().unwrap(), same.to_str().unwrap()]), (Some(0), String::new()));
    let mut new = sample_config();
    new["settings"]["Categories"][0]["AimMs"] = json!(250);
    new["settings"]["FamilyInfo"]["NCores"] = json!(4);
    new["settings"]["Tenants"] = json!([{"Name": "nile", "QuotaRps": 5}]);
    let new = write_file("new", &new.to_string());
    let (code, output) = run_cli(&["diff", old.to_str().unwrap(), new.to_str().unwrap()]);
    let lines: Vec<&str> = output.lines().collect();
    let expected = [
        "cores: 2 -> 4",
        "method look: latency target: 400 ms -> 250 ms",
        "tenant nile: RPCs per second: 0 -> 5",
    ];
    assert_eq!((code, &lines[..]), (Some(1), &expected[..]));
}

#[test]
fn sends_requests_over_the_socket_and_sets_the_exit_code_on_rejection() {
    let path = std::env::temp_dir().join(format!("asterrill-cli-{}-socket", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    let socket = path.to_str().unwrap();
    let (code, output) = run_cli(&["status", "--socket", socket]);
    assert!(code == Some(3) && output.contains("No such file"), "{output}");
    assert_eq!(run_cli(&["status"]).0, Some(2));
    let listener = UnixListener::bind(&path).unwrap();
    let server = std::thread::spawn(move || {
        let mut requests = Vec::new();
        for reply in [json!({"ok": true, "version": 3}), json!({"ok": false, "error": "nothing is staged"})] {
            let (mut stream, _) = listener.accept().unwrap();
            let mut line = String::new();
            BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap();
            requests.push(serde_json::from_str::<Value>(&line).unwrap());
            stream.write_all(format!("{reply}\n").as_bytes()).unwrap();
        }
        requests
    });
    let conf = write_file("staged", "[broker]\n");
    let stage = ["stage", conf.to_str().unwrap(), "--base", "2", "--force", "--socket", socket];
    assert_eq!(run_cli(&stage), (Some(0), "version: 3\n".into()));
    let apply = ["apply", "--if-base", "2", "--probation", "90s", "--socket", socket, "--json"];
    let (code, output) = run_cli(&apply);
    assert!(code == Some(1) && output.contains("nothing is staged"), "{output}");
    let requests = server.join().unwrap();
    let staged =
        json!({"v": 1, "do": "stage", "text": "[broker]\n", "base": 2, "force": true, "queue": false});
    assert_eq!(requests, [staged, json!({"v": 1, "do": "apply", "if_base": 2, "probation_us": 90_000_000})]);
    std::fs::remove_file(path).unwrap();
}

#[test]
fn prints_completion_script_and_manual_page() {
    let (code, output) = run_cli(&["completion", "bash"]);
    assert!(code == Some(0) && output.contains("asterrill"));
    let (code, output) = run_cli(&["man"]);
    assert!(code == Some(0) && output.contains(".TH asterrill"));
}

const STEP: &str = "{\"base\":2}\n{\"put\":\"tenant\",\"Name\":\"nile\",\"QuotaRps\":5}\n";

#[test]
fn diff_compares_a_step_with_a_file_and_reports_its_errors() {
    let old = write_file("step-old", &sample_config().to_string());
    let step = write_file("step", STEP);
    let diff = |new: &PathBuf| run_cli(&["diff", old.to_str().unwrap(), new.to_str().unwrap()]);
    assert_eq!(diff(&step), (Some(1), "tenant nile: RPCs per second: 0 -> 5\n".into()));
    let (code, output) = run_cli(&["diff", old.to_str().unwrap(), step.to_str().unwrap(), "--json"]);
    assert!(code == Some(1) && output.contains("\"entries\":1"), "{output}");
    assert_eq!(diff(&write_file("step-none", "{\"base\":2}\n")), (Some(0), String::new()));
    for (text, part) in [
        ("{\"take\":\"tenant\",\"Name\":\"nobody\"}\n", "cannot remove tenant nobody: it does not exist"),
        ("{\"base\":2}\n{\"put\":\"tenant\",\"Name\":\"nile\",\"QuotaRps\":-5}\n", "line 2"),
        ("{\"hash\":\"00000000000000000000000000000000\"}\n{\"put\":\"tenant\",\"Name\":\"nile\",\"QuotaRps\":5}\n", "made from hash"),
    ] {
        let (code, output) = diff(&write_file("step-wrong", text));
        assert!(code == Some(1) && output.contains(part) && output.contains("step-wrong"), "{output}");
    }
    let (code, output) = run_cli(&["check", step.to_str().unwrap()]);
    assert!(code == Some(1) && output.contains("cannot check a step by itself; use diff"), "{output}");
}

#[test]
fn sends_steps_as_steps_and_drops_a_staged_step_that_is_not_applied() {
    let path = std::env::temp_dir().join(format!("asterrill-cli-{}-steps", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    let listener = UnixListener::bind(&path).unwrap();
    let replies = [
        json!({"ok": true, "entries": 1, "changes": ["tenant nile: RPCs per second: 0 -> 5"]}),
        json!({"ok": true, "entries": 0, "changes": []}),
        json!({"ok": true, "version": 3, "entries": 1}),
        json!({"ok": true, "version": 3, "took_us": 90}),
        json!({"ok": true, "version": 4}),
        json!({"ok": false, "error": "version 3 is on probation"}),
        json!({"ok": true}),
        json!({"ok": false, "error": "the change was made from version 2, but version 3 is running"}),
    ];
    let server = std::thread::spawn(move || {
        replies.map(|reply| {
            let (mut stream, _) = listener.accept().unwrap();
            let mut line = String::new();
            BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap();
            stream.write_all(format!("{reply}\n").as_bytes()).unwrap();
            serde_json::from_str::<Value>(&line).unwrap()
        })
    });
    let (step, socket) = (write_file("sent", STEP), path.to_str().unwrap());
    let step = step.to_str().unwrap();
    let (code, output) = run_cli(&["diff", step, "--socket", socket]);
    assert!(code == Some(1) && output.contains("0 -> 5"), "{output}");
    assert_eq!(run_cli(&["diff", step, "--socket", socket]).0, Some(0));
    let (code, output) = run_cli(&["apply", step, "--probation", "1s", "--socket", socket, "--json"]);
    assert!(
        code == Some(0) && output.contains("\"entries\":1") && output.contains("\"took_us\":90"),
        "{output}"
    );
    let (code, output) = run_cli(&["apply", step, "--socket", socket]);
    assert!(code == Some(1) && output.contains("on probation"), "{output}");
    let (code, output) = run_cli(&["stage", step, "--base", "2", "--socket", socket]);
    assert!(code == Some(1) && output.contains("but version 3 is running"), "{output}");
    let requests = server.join().unwrap();
    let commands: Vec<&str> = requests.iter().map(|request| request["do"].as_str().unwrap()).collect();
    assert_eq!(commands, ["diff", "diff", "stage", "apply", "stage", "apply", "drop", "stage"]);
    assert!(requests
        .iter()
        .filter(|request| request["do"] != "apply" && request["do"] != "drop")
        .all(|request| request["step"] == STEP));
    assert!(requests.iter().all(|request| request["text"].is_null()));
    assert_eq!((&requests[3]["probation_us"], &requests[7]["base"]), (&json!(1_000_000), &json!(2)));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn prints_members_events_and_nested_fields_as_lines() {
    let path = std::env::temp_dir().join(format!("asterrill-cli-{}-lines", std::process::id()));
    std::fs::remove_file(&path).unwrap_or_default();
    let listener = UnixListener::bind(&path).unwrap();
    let replies = [
        json!({"ok": true, "view": "whole", "members": [
            {"name": "n1", "at": "10.0.0.1:7", "standing": "alive", "round_trip_us": 90, "since_ms": 5, "heard_ms": 1,
                "start": 3, "incarnation": 2, "why": null, "flaps": true},
            {"name": "n2", "standing": "dead", "why": "no answer"}]}),
        json!({"ok": true, "history": [
            {"at": 5, "base": 1, "hash": "h", "version": 2, "what": "undone", "why": "loss"}]}),
        json!({"ok": true, "version": 2, "staged": null, "counters": {"ok": 5, "rpcs": 9}}),
    ];
    let server = std::thread::spawn(move || {
        for reply in replies {
            let (mut stream, _) = listener.accept().unwrap();
            BufReader::new(stream.try_clone().unwrap()).read_line(&mut String::new()).unwrap();
            stream.write_all(format!("{reply}\n").as_bytes()).unwrap();
        }
    });
    let socket = path.to_str().unwrap();
    let members = "\
n1                   10.0.0.1:7            alive    since 5 ms, heard 1 ms ago, round trip 90 us, start 3.2 flaps -
n2                   -                     dead     since - ms, heard - ms ago, round trip - us, start -.- no answer
view: whole
";
    assert_eq!(run_cli(&["members", "--socket", socket]), (Some(0), members.into()));
    let history = "undone   version 2 (of 1): loss\n";
    assert_eq!(run_cli(&["history", "--socket", socket]), (Some(0), history.into()));
    let status = "counters: ok=5 rpcs=9\nversion: 2\n";
    assert_eq!(run_cli(&["status", "--socket", socket]), (Some(0), status.into()));
    server.join().unwrap();
    std::fs::remove_file(path).unwrap();
}

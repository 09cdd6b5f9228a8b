//! Tests of `load.rs`: the ledger with stubs of the process that violate invariants.

use super::*;
use crate::sidecar::{encode_frame, ABORTED, HEALTH, HEALTH_CHECK};
use std::collections::BTreeMap;

/// Behaviour of a stub of the process.
#[derive(Clone, Copy, PartialEq)]
enum AnswerMode {
    Correctly,
    Never,
    Twice,
    WithWrongResult,
    /// Recognises only the first tenant of the sentinel pair, from the third pair on.
    WithPartialChange,
}

/// Returns the header fields and the body of an RPC.
fn parse_request(payload: &[u8]) -> (BTreeMap<String, String>, Vec<u8>) {
    let (mut at, mut fields) = (1, BTreeMap::new());
    for _ in 0..payload[0] {
        let name = payload[at + 1..at + 1 + payload[at] as usize].to_vec();
        at += 1 + payload[at] as usize;
        let length = u16::from_be_bytes([payload[at], payload[at + 1]]) as usize;
        let value = payload[at + 2..at + 2 + length].to_vec();
        at += 2 + length;
        fields.insert(String::from_utf8(name).unwrap(), String::from_utf8(value).unwrap());
    }
    (fields, payload[at..].to_vec())
}

/// Starts a stub of the process that answers RPCs itself.
fn start_stub(answers: AnswerMode) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_requests(stream, answers));
        }
    });
    at
}

/// Answers the requests of one connection.
fn answer_requests(mut stream: TcpStream, answers: AnswerMode) -> Option<()> {
    let mut pairs = 0;
    loop {
        let frame = read_frame(&mut stream)?;
        if frame.kind == HEALTH_CHECK {
            stream.write_all(&encode_frame(HEALTH, frame.stream, &[0])).ok()?;
            continue;
        }
        let (fields, body) = parse_request(&frame.payload);
        let tenant = fields.get("customer").cloned().unwrap_or_default();
        pairs += u32::from(tenant.starts_with("a-"));
        let recognised = match (tenant.as_bytes().first(), answers) {
            (Some(b'a'), AnswerMode::WithPartialChange) => pairs > 2,
            (Some(b'z'), AnswerMode::WithPartialChange) => false,
            (Some(b'a' | b'z'), _) => pairs > 2,
            _ => true,
        };
        let result = match answers {
            AnswerMode::WithWrongResult => b"did rpc 0".to_vec(),
            _ => [b"did ", &body[..]].concat(),
        };
        let payload = if recognised { [&[0, 0][..], &result].concat() } else { vec![ABORTED, 0] };
        let times = match answers {
            AnswerMode::Never => 0,
            AnswerMode::Twice => 2,
            _ => 1,
        };
        for _ in 0..times {
            stream.write_all(&encode_frame(ANSWER, frame.stream, &payload)).ok()?;
        }
    }
}

fn run_load(answers: AnswerMode, pair: u64) -> (Vec<PhaseStats>, Violations) {
    let (at, agent) = (start_stub(answers), TimedAgent::start(Duration::ZERO).unwrap());
    let profile = LoadProfile { methods: 3, tenants: 4, callers: 5, rate: 400.0, seed: 1 };
    let mut load = BackgroundLoad::start(at, &agent, profile).unwrap();
    load.check_health(at).unwrap();
    load.check_version_order(at, 1).unwrap();
    load.set_sentinel_pair(pair);
    // The timeout is long enough for a busy machine.
    let until = Instant::now() + Duration::from_secs(20);
    let sent = || lock(&load.ledger.phases[0]).sent >= 60;
    let checked_pairs =
        || answers == AnswerMode::Never || pair == 0 || lock(&load.ledger.violations).pairs >= 20;
    while !(sent() && checked_pairs()) && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    let found = load.finish().unwrap();
    agent.stop();
    found
}

#[test]
fn correct_answers_cause_no_violations() {
    let (phases, violations) = run_load(AnswerMode::Correctly, 0);
    assert!(phases[0].ok > 20 && phases[0].ok == phases[0].sent, "{:?}", phases[0]);
    assert!(phases[0].gap > Duration::ZERO && phases[0].gap_floor > Duration::ZERO);
    assert_eq!(violations, Violations::default());
}

#[test]
fn counts_unanswered_rpcs() {
    let (phases, violations) = run_load(AnswerMode::Never, 0);
    assert!(violations.unanswered > 20 && violations.unanswered == phases[0].sent, "{violations:?}");
}

#[test]
fn counts_duplicate_answers() {
    assert!(run_load(AnswerMode::Twice, 0).1.answered_twice > 20);
}

#[test]
fn counts_results_of_other_rpcs() {
    assert!(run_load(AnswerMode::WithWrongResult, 0).1.wrong_results > 20);
}

#[test]
fn detects_partially_applied_change() {
    let whole = run_load(AnswerMode::Correctly, 7).1;
    assert!(whole.pairs > 10 && whole.older_after_newer == 0, "{whole:?}");
    let half = run_load(AnswerMode::WithPartialChange, 7).1;
    assert!(half.older_after_newer > 0, "{half:?}");
}

//! Tests of the engine embedded as a library, without sockets.

use super::harness::{Harness, KEYED_METHOD, MS, WINDOW};
use crate::{Command, IdempotencyKey, IncomingRpc, IntakeError};
use asterrill::{CallEnd, CallerId, MethodId, RpcId, RunEnd, Upstream};
use quickcheck::{Gen, QuickCheck};

#[test]
fn answers_each_rpc_once_and_in_time_in_any_order() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let mut harness = Harness::new(Upstream::Tier);
        for (step, n) in steps {
            harness.step(step, n as usize);
        }
        harness.advance(2_000 * MS);
        harness.check();
        harness.engine.unanswered() == 0
    }
    let mut runs = QuickCheck::new().tests(150).rng(Gen::from_size_and_seed(300, 4));
    runs.quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

/// State of the first attempt when its retries arrive.
#[derive(Clone, Copy, Debug)]
enum FirstAttempt {
    Queued,
    Running,
    Ended(RunEnd),
}

#[test]
fn retries_with_an_idempotency_key_share_one_run() {
    for (first_attempt, answer) in [
        (FirstAttempt::Queued, "ok"),
        (FirstAttempt::Running, "ok"),
        (FirstAttempt::Ended(RunEnd::Ok), "ok"),
        (FirstAttempt::Ended(RunEnd::Aborted), "aborted"),
        (FirstAttempt::Ended(RunEnd::Stopped), "aborted"),
    ] {
        let mut harness = Harness::new(Upstream::Absent);
        if let FirstAttempt::Queued = first_attempt {
            // These RPCs occupy all cores.
            (0..4).for_each(|_| _ = harness.request(1, 900 * MS));
        }
        let first = harness.request_attempt(KEYED_METHOD, 900 * MS, Some(7), 0);
        let id = harness.recorder.requests[&first];
        assert_eq!(harness.recorder.launched.contains(&id), !matches!(first_attempt, FirstAttempt::Queued));
        if let FirstAttempt::Ended(end) = first_attempt {
            harness.recorder.runs.remove(&id);
            harness.end_run(id, end);
        }
        // Two retries arrive together, and one is read 20 ms after its arrival.
        let retries = [0, 0, 20 * MS].map(|unread| {
            harness.advance(if unread > 0 { 30 * MS } else { 0 });
            harness.request_attempt(KEYED_METHOD, 800 * MS, Some(7), unread)
        });
        while let Some(id) = harness.recorder.runs.pop_first() {
            harness.end_run(id, RunEnd::Ok);
        }
        harness.check();
        assert!(
            retries.iter().all(|requester| harness.recorder.answers[requester] == answer),
            "{first_attempt:?}: {:?}",
            harness.recorder.answers
        );
    }
}

#[test]
fn idempotency_window_counts_from_the_arrival_of_the_attempt_that_ran() {
    let mut harness = Harness::new(Upstream::Absent);
    harness.advance(100 * MS);
    // The first attempt is read at 100 ms, but arrived at 60 ms.
    let first = harness.request_attempt(KEYED_METHOD, 900 * MS, Some(1), 40 * MS);
    harness.end_nth_run(0, RunEnd::Ok);
    harness.advance(60 * MS + WINDOW - harness.now - MS);
    let inside = harness.request_attempt(KEYED_METHOD, 900 * MS, Some(1), 0);
    // A retry that arrived within the window is read long after its end.
    harness.advance(500 * MS);
    let read_late = harness.request_attempt(KEYED_METHOD, 900 * MS, Some(1), 501 * MS);
    assert_eq!(harness.recorder.launched.len(), 1);
    assert!([first, inside, read_late].iter().all(|requester| harness.recorder.answers[requester] == "ok"));
    // An RPC that arrives after the window is a new one, because the record of the first has expired.
    harness.request_attempt(KEYED_METHOD, 900 * MS, Some(1), 0);
    assert_eq!(harness.recorder.launched.len(), 2);
    harness.end_nth_run(0, RunEnd::Ok);
    harness.check();
    // RPCs with other keys are independent, even if they arrive at the same time.
    harness.request_attempt(KEYED_METHOD, 900 * MS, Some(2), 0);
    harness.request_attempt(KEYED_METHOD, 900 * MS, Some(3), 0);
    assert_eq!(harness.recorder.launched.len(), 4);
}

#[test]
fn retries_replace_an_attempt_that_never_ran_one_by_one() {
    let mut harness = Harness::new(Upstream::Absent);
    // These RPCs occupy all cores.
    (0..2).for_each(|_| _ = harness.request(1, 900 * MS));
    let attempts: Vec<u64> =
        (0..200).map(|_| harness.request_attempt(KEYED_METHOD, 900 * MS, Some(4), 0)).collect();
    // The caller of each attempt cancels in turn; the others then wait for the next attempt.
    for requester in &attempts[..199] {
        harness.deadlines.remove(requester);
        assert!(
            harness.engine.caller_cancelled(harness.now, *requester, &mut harness.recorder),
            "{requester} {:?}",
            harness.recorder.answers
        );
    }
    while let Some(id) = harness.recorder.runs.pop_first() {
        harness.end_run(id, RunEnd::Ok);
    }
    assert_eq!(harness.recorder.answers.get(&attempts[199]), Some(&"ok"), "{:?}", harness.recorder.answers);
    assert_eq!((harness.engine.open_rpcs(), harness.engine.unanswered()), (0, 0));
    // When the first attempt expires in the queue, all RPCs coalesced with it are decided at once, without recursion.
    // The first two RPCs occupy all cores.
    (0..2).for_each(|_| _ = harness.request(1, 900 * MS));
    let queued = harness.request_attempt(KEYED_METHOD, 200 * MS, Some(5), 0);
    let others: Vec<u64> =
        (0..200).map(|_| harness.request_attempt(KEYED_METHOD, 200 * MS, Some(5), 0)).collect();
    harness.advance(250 * MS);
    assert!(others.iter().chain([&queued]).all(|requester| harness.recorder.answers.contains_key(requester)));
    harness.advance(800 * MS);
    harness.check();
}

#[test]
fn evicting_a_result_retains_its_idempotency_key() {
    let mut harness = Harness::new(Upstream::Absent);
    let mut requesters = Vec::new();
    for key in 0..100 {
        // Results are ids of one or two digits, and at most 64 bytes of results are retained.
        requesters.push(harness.request_attempt(KEYED_METHOD, 900 * MS, Some(key), 0));
        harness.end_nth_run(0, RunEnd::Ok);
    }
    assert!(harness.engine.stats.results_evicted > 0);
    let (old, new) = (
        harness.request_attempt(KEYED_METHOD, 900 * MS, Some(0), 0),
        harness.request_attempt(KEYED_METHOD, 900 * MS, Some(99), 0),
    );
    assert_eq!((harness.recorder.answers[&old], harness.recorder.answers[&new]), ("aborted", "ok"));
    assert_eq!(harness.recorder.launched.len(), 100);
    harness.check();
}

#[test]
fn rejects_new_idempotency_keys_but_not_retries_when_the_table_is_full() {
    let mut harness = Harness::new(Upstream::Absent);
    let request = |n: u32| IncomingRpc {
        id: RpcId::from_number(n.into()),
        method: MethodId(KEYED_METHOD),
        tenant: None,
        caller: CallerId(n.into()).into(),
        deadline: None,
        read_delay: 0,
        size_kb: 0.01,
        cache_key: None,
        coalescible: false,
        idempotency_key: Some(IdempotencyKey(u128::from(n).to_be_bytes())),
        denied: false,
        stop_when_over: false,
    };
    let mut n = 0;
    while harness.engine.stats.idempotency_keys_full == 0 {
        assert!(n < 20_000, "the table of idempotency keys is unbounded");
        harness
            .engine
            .request_received(harness.now, n.into(), request(n), b"", &mut harness.recorder)
            .unwrap();
        harness.engine.run_ended(
            harness.now,
            RpcId::from_number(n.into()),
            RunEnd::Ok,
            b"",
            &mut harness.recorder,
        );
        n += 1;
    }
    assert_eq!(harness.recorder.answers[&u64::from(n - 1)], "rejected");
    let retry = IncomingRpc { id: RpcId::from_number(1 << 40), ..request(7) };
    harness.engine.request_received(harness.now, 1 << 40, retry, b"", &mut harness.recorder).unwrap();
    assert_eq!(harness.recorder.answers[&(1 << 40)], "ok", "a recorded key must not be dropped");
    harness.advance(2 * WINDOW + 900 * MS);
    harness
        .engine
        .request_received(harness.now, u64::from(n), request(n), b"", &mut harness.recorder)
        .unwrap();
    assert!(
        harness.recorder.launched.contains(&RpcId::from_number(n.into())),
        "a new key must be accepted once the windows have ended"
    );
}

#[test]
fn reports_the_last_command_until_the_run_ends() {
    let mut harness = Harness::new(Upstream::Tier);
    let requester = harness.request(0, 900 * MS);
    let id = harness.recorder.requests[&requester];
    assert!(harness.engine.is_launched(requester));
    assert_eq!(harness.engine.last_command(id), Some(Command::Launch { method: MethodId(0), body: b"body" }));
    assert!(harness.engine.call_needed(harness.now, id, Some(b"call"), &mut harness.recorder));
    assert_eq!(harness.engine.last_command(id), None);
    let link = harness.recorder.calls.remove(&id).unwrap();
    harness.engine.call_ended(harness.now, link, id, CallEnd::Ok, b"reply", &mut harness.recorder);
    assert_eq!(harness.engine.last_command(id), Some(Command::Resume { reply: b"reply" }));
    harness.end_nth_run(0, RunEnd::Ok);
    assert_eq!((harness.engine.last_command(id), harness.engine.open_rpcs()), (None, 0));
    assert!(harness.recorder.closed.contains(&id) && harness.recorder.answers[&requester] == "ok");
}

#[test]
fn refuses_an_id_or_requester_in_use_and_keeps_the_open_rpc() {
    let mut harness = Harness::new(Upstream::Absent);
    let requester = harness.request(1, 900 * MS);
    let id = harness.recorder.requests[&requester];
    let request = |id, caller| IncomingRpc {
        id,
        method: MethodId(1),
        tenant: None,
        caller: CallerId(caller).into(),
        deadline: Some(900 * MS),
        read_delay: 0,
        size_kb: 1.0,
        cache_key: None,
        coalescible: false,
        idempotency_key: None,
        denied: false,
        stop_when_over: false,
    };
    let reused_id = harness.engine.request_received(0, 77, request(id, 1), b"", &mut harness.recorder);
    assert_eq!(reused_id, Err(IntakeError::IdInUse));
    let other = RpcId::new("other").unwrap();
    let reused_requester =
        harness.engine.request_received(0, requester, request(other, 1), b"", &mut harness.recorder);
    assert_eq!(reused_requester, Err(IntakeError::RequesterInUse));
    harness.end_nth_run(0, RunEnd::Ok);
    assert_eq!(
        (harness.recorder.answers.get(&requester), harness.recorder.answers.get(&77)),
        (Some(&"ok"), None)
    );
}

#[test]
fn aborts_a_failed_launch_and_counts_a_late_report_as_stale() {
    let mut harness = Harness::new(Upstream::Absent);
    let requester = harness.request(1, 900 * MS);
    let id = harness.recorder.requests[&requester];
    assert_eq!(harness.engine.launch_failed(harness.now, id, &mut harness.recorder), Some(requester));
    assert_eq!(harness.recorder.answers[&requester], "aborted");
    assert_eq!(harness.engine.launch_failed(harness.now, id, &mut harness.recorder), None);
    harness.engine.run_ended(harness.now, id, RunEnd::Ok, b"", &mut harness.recorder);
    assert_eq!(harness.engine.stats.stale_events, 1);
    harness.check();
}

/// Guards against runs of messages that wait for a call for good, and whose memory stays in use, after their delivery was
/// given up.
#[test]
fn run_that_waits_for_a_call_is_stopped_once_its_rpc_is_over() {
    for (stop_when_over, cancelled) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut harness = Harness::new(Upstream::Tier);
        let id = RpcId::new("message").unwrap();
        let request = IncomingRpc {
            id,
            method: MethodId(1),
            tenant: None,
            caller: CallerId(1).into(),
            deadline: Some(900 * MS),
            read_delay: 0,
            size_kb: 10.0,
            cache_key: None,
            coalescible: false,
            idempotency_key: None,
            denied: false,
            stop_when_over,
        };
        harness.recorder.requests.insert(1, id);
        harness.engine.request_received(0, 1, request, b"body", &mut harness.recorder).unwrap();
        assert!(harness.engine.call_needed(0, id, Some(b"call"), &mut harness.recorder));
        assert!(harness.recorder.calls.contains_key(&id));
        if cancelled {
            harness.engine.caller_cancelled(harness.now, 1, &mut harness.recorder);
        } else {
            // No reply comes until the deadline.
            harness.advance(1_000 * MS);
            assert_eq!(harness.recorder.answers[&1], "aborted");
        }
        assert_eq!(harness.recorder.stops, Vec::from_iter(Some(id).filter(|_| stop_when_over)));
        assert!(harness.engine.memory_in_use_kb() > 0.0, "the run is not over yet");
        harness.engine.run_ended(harness.now, id, RunEnd::Stopped, b"", &mut harness.recorder);
        assert_eq!((harness.engine.open_rpcs(), harness.engine.memory_in_use_kb()), (0, 0.0));
        assert_eq!(harness.recorder.violations, Vec::<String>::new());
    }
}

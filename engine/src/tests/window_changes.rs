//! Retries after a change of the idempotency window. Each test guards against a second run of an RPC within the window in
//! force, because the records of attempts had the window of their own time.

use super::harness::{keyed_method, Harness, KEYED_METHOD, MS, WINDOW};
use crate::{IdempotencyKey, IncomingRpc};
use asterrill::{CallerId, MethodId, RpcId, RunEnd, SettingsUpdate, Upstream, Us};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// Time for which a record is kept beyond the window of its attempt, with all margins.
const RECORD_TIME: Us = 1_300 * MS;
const RAISED_WINDOW: Us = 60_000 * MS;

fn set_window(harness: &mut Harness, window: Us) {
    let update = SettingsUpdate::Method(MethodId(KEYED_METHOD), Some(keyed_method(window)));
    harness.engine.stage(&[update]);
    harness.engine.apply_staged(harness.now, None, None, &mut harness.recorder);
}

/// Sends an attempt and ends its run, if it has one. Returns its answer.
fn attempt(harness: &mut Harness, key: u8) -> &'static str {
    let requester = harness.request_attempt(KEYED_METHOD, 900 * MS, Some(key), 0);
    harness.end_nth_run(0, RunEnd::Ok);
    harness.recorder.answers[&requester]
}

/// Plays an attempt, a change of the window after `change_after`, and a retry after `retry_after` since the attempt.
/// Returns the answer to the retry and the number of runs.
fn retry_after_change(window: Us, change_after: Us, retry_after: Us) -> (&'static str, usize) {
    let mut harness = Harness::new(Upstream::Absent);
    assert_eq!(attempt(&mut harness, 1), "ok");
    harness.advance(change_after);
    set_window(&mut harness, window);
    harness.advance(retry_after - change_after);
    let answer = attempt(&mut harness, 1);
    (answer, harness.recorder.launched.len())
}

#[test]
fn raised_window_holds_for_attempts_that_ran_before_the_change() {
    let before_expiry = retry_after_change(RAISED_WINDOW, 100 * MS, 50_000 * MS);
    assert_eq!(before_expiry, ("ok", 1), "the record was kept with its result");
    let after_expiry = retry_after_change(RAISED_WINDOW, WINDOW + RECORD_TIME, 50_000 * MS);
    assert_eq!(after_expiry, ("aborted", 1), "the result has expired");
    assert_eq!(retry_after_change(RAISED_WINDOW, 100 * MS, RAISED_WINDOW + RECORD_TIME), ("ok", 2));
    let after_both = retry_after_change(RAISED_WINDOW, WINDOW + RECORD_TIME, RAISED_WINDOW + RECORD_TIME);
    assert_eq!(after_both, ("ok", 2), "the raised window is over");
}

#[test]
fn lowered_window_does_not_shorten_that_of_earlier_attempts() {
    assert_eq!(retry_after_change(50 * MS, 10 * MS, WINDOW - MS), ("ok", 1));
}

#[test]
fn rejected_attempt_does_not_hide_an_earlier_one_that_ran() {
    let mut harness = Harness::new(Upstream::Absent);
    attempt(&mut harness, 1);
    harness.advance(WINDOW + RECORD_TIME);
    // These RPCs occupy all cores, so that the next attempt expires in the queue.
    (0..4).for_each(|_| _ = harness.request(1, 900 * MS));
    let queued = harness.request_attempt(KEYED_METHOD, 100 * MS, Some(1), 0);
    harness.advance(150 * MS);
    assert_eq!(harness.recorder.answers[&queued], "rejected");
    (0..4).for_each(|_| harness.end_nth_run(0, RunEnd::Ok));
    let launched = harness.recorder.launched.len();
    set_window(&mut harness, RAISED_WINDOW);
    assert_eq!(attempt(&mut harness, 1), "aborted");
    assert_eq!(harness.recorder.launched.len(), launched);
}

#[test]
fn nothing_is_run_twice_if_the_table_had_to_forget_attempts() {
    let mut harness = Harness::new(Upstream::Absent);
    attempt(&mut harness, 1);
    harness.advance(WINDOW + RECORD_TIME);
    let request = |n: u64| IncomingRpc {
        id: RpcId::from_number(n),
        method: MethodId(KEYED_METHOD),
        tenant: None,
        caller: CallerId(n % 3).into(),
        deadline: None,
        read_delay: 0,
        size_kb: 0.01,
        cache_key: None,
        coalescible: false,
        idempotency_key: Some(IdempotencyKey(u128::from(n).to_be_bytes())),
        denied: false,
        stop_when_over: false,
    };
    for n in 1_000_000..1_016_384 {
        harness.engine.request_received(harness.now, n, request(n), b"", &mut harness.recorder).unwrap();
        let id = RpcId::from_number(n);
        harness.engine.run_ended(harness.now, id, RunEnd::Ok, b"", &mut harness.recorder);
    }
    harness.recorder.runs.clear();
    harness.advance(WINDOW + RECORD_TIME);
    let runs = harness.recorder.launched.len();
    set_window(&mut harness, RAISED_WINDOW);
    assert_eq!(attempt(&mut harness, 1), "aborted");
    assert_eq!(harness.recorder.launched.len(), runs);
    harness.advance(RAISED_WINDOW);
    assert_eq!(attempt(&mut harness, 1), "ok");
}

#[test]
fn no_key_runs_twice_within_the_window_in_force_in_any_order() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let mut harness = Harness::new(Upstream::Absent);
        let (mut window, mut last_run) = (WINDOW, BTreeMap::<u8, Us>::new());
        for (step, n) in steps {
            match step % 4 {
                0 => {
                    window = [100, 700, 3_000, 20_000][usize::from(n % 4)] * MS;
                    set_window(&mut harness, window);
                }
                1 => harness.advance(Us::from(n % 3_000) * MS),
                _ => {
                    let (key, runs) = ((n % 3) as u8, harness.recorder.launched.len());
                    harness.recorder.last_run.clear();
                    let end = [RunEnd::Ok, RunEnd::Aborted][usize::from(n / 3 % 2)];
                    harness.request_attempt(KEYED_METHOD, 900 * MS, Some(key), 0);
                    harness.end_nth_run(0, end);
                    if harness.recorder.launched.len() > runs {
                        let earlier = last_run.insert(key, harness.now);
                        if earlier.is_some_and(|earlier| harness.now < earlier + window) {
                            return false;
                        }
                    }
                }
            }
        }
        true
    }
    let mut runs = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(200, 10));
    runs.quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

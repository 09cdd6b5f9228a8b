//! Tests of admission: the order of the queue, and immediate rejections.

use super::harness::{idle_server, Harness, Position};
use super::server_config::{CORES, MS};
use crate::*;

#[test]
fn queue_orders_by_criticality_then_by_relative_buffer() {
    let mut harness = idle_server();
    let running = harness.read_many(CORES + 1);
    let full_account = harness.read(0, 0, 0, 1_500 * MS, None);
    let drained_account = harness.read(0, 1, 0, 1_500 * MS, None);
    let critical = harness.read(1, 2, 0, 1_500 * MS, None);
    for (i, next) in [critical, drained_account, full_account].into_iter().enumerate() {
        harness.end_run(running[i], RunEnd::Ok);
        assert_eq!(harness.rpcs[&next].position, Position::Running, "turn {i}");
    }
}

#[test]
fn rpc_that_its_account_cannot_pay_for_is_rejected_at_once_with_retry_after() {
    let mut harness = idle_server();
    harness.read_many(40);
    let rejected = harness.rpcs.values().filter(|rpc| !rpc.answer_due).count();
    assert!(rejected > 0);
    let answer = harness.last.answers.last().expect("the last RPC is rejected").answer;
    let within_cap = matches!(answer, Answer::Rejected { retry_after: 1..=50_000, .. });
    assert!(within_cap, "retry-after must be at most a tenth of the shortest latency target");
}

#[test]
fn idle_server_admits_callers_with_different_deadlines() {
    let mut harness = idle_server();
    harness.read(0, 0, 0, 1_500 * MS, None);
    let short_deadline = harness.read(0, 0, 0, 400 * MS, None);
    assert_eq!(
        harness.rpcs[&short_deadline].position,
        Position::Running,
        "a shorter deadline must not be taken for an older attempt"
    );
}

#[test]
fn low_priority_rpc_that_would_time_out_in_the_queue_is_rejected_at_once() {
    let mut harness = idle_server();
    harness.read_many(CORES + 1);
    let high: Vec<RpcId> = (1..8).map(|caller| harness.read(1, caller, 0, 1_500 * MS, None)).collect();
    assert!(high.iter().all(|id| harness.rpcs[id].answer_due));
    let low = harness.read(0, 9, 0, 1_500 * MS, None);
    assert!(
        !harness.rpcs[&low].answer_due,
        "seven RPCs of higher priority are queued, and more are expected"
    );
}

#[test]
fn slow_server_admits_only_rpcs_that_can_finish_in_time_and_recovers() {
    let mut harness = idle_server();
    let run = |harness: &mut Harness, duration: Us| {
        let id = harness.read(0, 0, 0, 1_500 * MS, None);
        harness.advance(duration);
        let ran = harness.rpcs[&id].ran;
        if ran && !harness.rpcs[&id].ended {
            harness.end_run(id, RunEnd::Ok);
        }
        ran
    };
    (0..40).for_each(|_| assert!(run(&mut harness, 100 * MS), "an idle server must admit the RPC"));
    (0..20).for_each(|_| assert!(run(&mut harness, 700 * MS), "a single RPC must be admitted as a trial"));
    let trial = harness.read(0, 0, 0, 1_500 * MS, None);
    let second = harness.read(0, 1, 0, 1_500 * MS, None);
    assert!(
        harness.rpcs[&trial].ran && !harness.rpcs[&second].answer_due,
        "an RPC that would be late must not be admitted during a trial"
    );
    harness.end_run(trial, RunEnd::Ok);
    (0..30).for_each(|_| assert!(run(&mut harness, 100 * MS)));
    harness.read_many(2);
    assert_eq!(
        harness.count(|rpc| rpc.position == Position::Running),
        2.0,
        "the server must run two RPCs again after it has recovered"
    );
}

#[test]
fn stalled_server_admits_nothing_until_a_run_ends() {
    let mut harness = idle_server();
    let running = harness.read_many(CORES);
    harness.advance(1_200 * MS);
    assert_eq!(harness.health, Some(false));
    let rejected = harness.read(1, 2, 0, 1_500 * MS, None);
    assert!(!harness.rpcs[&rejected].answer_due);
    harness.end_run(running[0], RunEnd::Ok);
    assert_eq!(harness.health, Some(true));
}

/// Guards against the refusal of a light caller whose RPC goes ahead of those that fill the queue.
#[test]
fn rpcs_of_heavy_callers_that_come_after_it_do_not_make_an_rpc_late() {
    let mut harness = idle_server();
    let running = harness.read_many(CORES);
    for heavy_caller in 1..=3 {
        let accepted = |harness: &mut Harness| {
            let id = harness.read(0, heavy_caller, 0, 1_500 * MS, None);
            harness.rpcs[&id].answer_due
        };
        while accepted(&mut harness) {}
    }
    let light = harness.read(0, 99, 0, 1_500 * MS, None);
    assert!(harness.rpcs[&light].answer_due, "the RPC is refused because of those that come after it");
    // One RPC of each heavy caller is charged to a full account as well, and is older.
    running.into_iter().for_each(|id| harness.end_run(id, RunEnd::Ok));
    assert_eq!(harness.rpcs[&light].position, Position::Running);
}

//! Admission: order of the queue, and what is rejected at once.

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
fn account_short_of_max_cost_is_rejected_early_with_retry_after() {
    let mut harness = idle_server();
    harness.read_many(40);
    let early = harness.rpcs.values().filter(|rpc| !rpc.owed).count();
    assert!(early > 0);
    let answer = harness.last.answers.last().expect("the last one is short").answer;
    let brief = matches!(answer, Answer::Rejected { retry_after: 1..=50_000, .. });
    assert!(brief, "a tenth of the shortest latency target at most");
}

#[test]
fn idle_server_admits_callers_with_different_deadlines() {
    let mut harness = idle_server();
    harness.read(0, 0, 0, 1_500 * MS, None);
    let hasty = harness.read(0, 0, 0, 400 * MS, None);
    assert_eq!(
        harness.rpcs[&hasty].position,
        Position::Running,
        "a shorter wait is no sign of an old attempt"
    );
}

#[test]
fn low_priority_is_rejected_early_when_it_would_wait_in_vain() {
    let mut harness = idle_server();
    harness.read_many(CORES + 1);
    let high: Vec<RpcId> = (1..8).map(|caller| harness.read(1, caller, 0, 1_500 * MS, None)).collect();
    assert!(high.iter().all(|id| harness.rpcs[id].owed));
    let low = harness.read(0, 9, 0, 1_500 * MS, None);
    assert!(!harness.rpcs[&low].owed, "seven above it, and more of them to come");
}

#[test]
fn slow_server_admits_only_what_can_be_in_time_and_recovers() {
    let mut harness = idle_server();
    let run = |harness: &mut Harness, span: Us| {
        let id = harness.read(0, 0, 0, 1_500 * MS, None);
        harness.pass(span);
        let ran = harness.rpcs[&id].ran;
        if ran && !harness.rpcs[&id].over {
            harness.end_run(id, RunEnd::Ok);
        }
        ran
    };
    (0..40).for_each(|_| assert!(run(&mut harness, 100 * MS), "nothing else is here"));
    (0..20).for_each(|_| assert!(run(&mut harness, 700 * MS), "one at a time is a trial"));
    let trial = harness.read(0, 0, 0, 1_500 * MS, None);
    let beside = harness.read(0, 1, 0, 1_500 * MS, None);
    assert!(
        harness.rpcs[&trial].ran && !harness.rpcs[&beside].owed,
        "beside a trial nothing is admitted that would be late"
    );
    harness.end_run(trial, RunEnd::Ok);
    (0..30).for_each(|_| assert!(run(&mut harness, 100 * MS)));
    harness.read_many(2);
    assert_eq!(harness.count(|rpc| rpc.position == Position::Running), 2.0, "back at its pace");
}

#[test]
fn stalled_server_admits_nothing_until_a_run_ends() {
    let mut harness = idle_server();
    let running = harness.read_many(CORES);
    harness.pass(1_200 * MS);
    assert_eq!(harness.health, Some(false));
    let rejected = harness.read(1, 2, 0, 1_500 * MS, None);
    assert!(!harness.rpcs[&rejected].owed);
    harness.end_run(running[0], RunEnd::Ok);
    assert_eq!(harness.health, Some(true));
}

//! Tests of upstream calls: breaker, skipping, recovery limits and retry budget.

use super::fixtures::{calls_placed, control_with, read_rpc};
use super::harness::{Harness, Position};
use super::server_config::{ServerConfig, CORES, MS};
use crate::*;

#[test]
fn breaker_opens_after_consecutive_failures_and_closes_after_a_successful_trial_call() {
    let mut calls = UpstreamCalls::new(Upstream::Tier, 4, 0, 500 * MS);
    let id = RpcId::new("a").unwrap();
    for _ in 0..20 {
        calls.record_call_end(0, id, CallEnd::Aborted, 0.5);
    }
    assert!(calls.breaker_open(100 * MS) && !calls.breaker_open(400 * MS));
    calls.trial_call = Some(id);
    assert!(calls.breaker_open(400 * MS), "only one trial call must be in flight");
    calls.record_call_end(400 * MS, id, CallEnd::TimedOut, 0.5);
    assert!(calls.breaker_open(500 * MS), "a failed trial call must open the breaker again");
    calls.record_call_end(900 * MS, id, CallEnd::Ok, 0.5);
    assert!(!calls.breaker_open(900 * MS));
}

#[test]
fn skippable_call_leaves_time_to_finish_without_it() {
    let config = ServerConfig { upstream: Upstream::Tier, skip_value: 0.5, ..ServerConfig::default() };
    let mut harness = Harness::new(config, 1);
    let id = harness.read(0, 0, 0, 1_500 * MS, None);
    harness.need_call(id);
    assert!(matches!(harness.rpcs[&id].position, Position::Calling(_)));
    harness.advance(490 * MS);
    assert_eq!(
        harness.rpcs[&id].position,
        Position::Running,
        "the call must be skipped before the latency target"
    );
}

#[test]
fn call_in_flight_counts_as_half_a_run() {
    let mut harness = Harness::new(ServerConfig { upstream: Upstream::Tier, ..ServerConfig::default() }, 1);
    let running = harness.read_many(CORES + 1);
    let queued = [harness.read(0, 1, 0, 1_500 * MS, None), harness.read(0, 2, 0, 1_500 * MS, None)];
    harness.need_call(running[0]);
    assert_eq!(
        harness.rpcs[&queued[0]].position,
        Position::Queued,
        "a call in flight still counts as half a run"
    );
    harness.need_call(running[1]);
    let started = queued.iter().filter(|id| harness.rpcs[*id].position == Position::Running).count();
    assert_eq!(started, 1, "two calls in flight must free capacity for one run");
}

#[test]
fn cancelled_callers_do_not_open_the_breaker() {
    let mut harness = Harness::new(ServerConfig { upstream: Upstream::Tier, ..ServerConfig::default() }, 1);
    for _ in 0..8 {
        let id = harness.read(0, 0, 0, 1_500 * MS, None);
        harness.need_call(id);
        harness.cancel(id);
        harness.end_run(id, RunEnd::Stopped);
        harness.advance(250 * MS);
    }
    let next = harness.read(0, 0, 0, 1_500 * MS, None);
    harness.need_call(next);
    assert!(matches!(harness.rpcs[&next].position, Position::Calling(_)));
}

#[test]
fn call_needed_by_a_queued_rpc_is_ignored() {
    let mut control = control_with(0, &[1.0], 1, 1_000.0);
    assert_eq!(read_rpc(&mut control, 0, 1, 0).starts, [RpcId::from_number(1)]);
    assert!(read_rpc(&mut control, 0, 2, 0).starts.is_empty());
    let outcome = control.call_needed(MS, RpcId::from_number(2));
    assert!(
        outcome.calls.is_empty() && outcome.skipped_calls.is_empty() && outcome.answers.is_empty(),
        "{outcome:?}"
    );
    assert_eq!(control.status().waiting_to_call, 0);
    assert_eq!(control.run_ended(2 * MS, RpcId::from_number(1), RunEnd::Ok).starts, [RpcId::from_number(2)]);
    let answers = control.timer_fired(900 * MS, Gauges::default()).answers;
    assert_eq!(
        answers,
        [Reply { id: RpcId::from_number(2), answer: Answer::Aborted }],
        "the RPC must be answered exactly once"
    );
    assert!(control.timer_fired(901 * MS, Gauges::default()).answers.is_empty());
}

#[test]
fn recovery_limit_bounds_calls_and_permits_more_as_it_grows() {
    let mut control = control_with(0, &[1.0], 8, 1e6);
    control.set_recovery_limits(0, RecoveryLimits { calls_in_flight: 2.0, ..RecoveryLimits::NONE });
    assert_eq!(calls_placed(&mut control, 0, 1..7), 2);
    assert_eq!((control.status().calls_in_flight, control.status().waiting_to_call), (2, 4));
    assert_eq!(
        control
            .set_recovery_limits(MS, RecoveryLimits { calls_in_flight: 3.5, ..RecoveryLimits::NONE })
            .calls
            .len(),
        1
    );
    assert_eq!(control.set_recovery_limits(2 * MS, RecoveryLimits::NONE).calls.len(), 3);
    // At least one call is permitted, or the server could not detect that the upstream has recovered.
    let mut control = control_with(0, &[1.0], 8, 1e6);
    control.set_recovery_limits(0, RecoveryLimits { calls_in_flight: 0.0, ..RecoveryLimits::NONE });
    assert_eq!(calls_placed(&mut control, 0, 1..3), 1);
}

#[test]
fn call_retries_stay_within_the_budget_and_other_calls_are_skipped() {
    let retries = |budget: f64| {
        let mut control = control_with(0, &[1.0], 8, 1e6);
        control.set_recovery_limits(0, RecoveryLimits { retry_ratio: budget, ..RecoveryLimits::NONE });
        let mut retried = 0;
        for n in 1..=40 {
            // An RPC with a successful call precedes each failure, so that the breaker stays closed.
            let (now, other) = (n * 10 * MS, RpcId::from_number(100 + n));
            read_rpc(&mut control, now, 100 + n, 0);
            control.call_needed(now, other);
            control.call_ended(now, other, CallEnd::Ok);
            control.run_ended(now, other, RunEnd::Ok);
            read_rpc(&mut control, now, n, 0);
            control.call_needed(now, RpcId::from_number(n));
            let outcome = control.call_ended(now + MS, RpcId::from_number(n), CallEnd::Rejected);
            retried += outcome.calls.len();
            assert_eq!(
                outcome.calls.len() + outcome.skipped_calls.len(),
                1,
                "the call must be either retried or skipped"
            );
            if outcome.calls.len() == 1 {
                control.call_ended(now + 2 * MS, RpcId::from_number(n), CallEnd::Ok);
            }
            control.run_ended(now + 3 * MS, RpcId::from_number(n), RunEnd::Ok);
        }
        retried
    };
    assert_eq!(retries(f64::INFINITY), 40);
    let limited = retries(0.1);
    assert!(
        (8..=12).contains(&limited),
        "expected 3 retries plus one for every 10 of 80 calls, found {limited}"
    );
}

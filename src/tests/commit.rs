//! Tests of settings that are staged and committed while RPCs are open.

use super::fixtures::{control_parts, control_with, control_with_factor, method, read_rpc};
use super::harness::Harness;
use super::server_config::{ServerConfig, MS};
use crate::*;

#[test]
fn commit_keeps_open_rpcs_and_applies_to_later_rpcs() {
    let mut control = control_with(0, &[1.0, 2.0], 1, 1_000.0);
    assert_eq!(read_rpc(&mut control, 0, 1, 0).starts, [RpcId::from_number(1)]);
    assert!(read_rpc(&mut control, 0, 2, 1).starts.is_empty());
    // The commit sets four cores and adds a method of higher criticality. The other methods keep their indexes.
    let update =
        |index, criticality: Option<f64>| SettingsUpdate::Method(MethodId(index), criticality.map(method));
    control.stage(&[
        update(2, Some(9.0)),
        update(0, Some(1.0)),
        update(1, Some(2.0)),
        SettingsUpdate::Tenant(0, Some(1.0)),
    ]);
    let outcome = control.commit(MS, Some(control_with(MS, &[], 4, 1_000.0)));
    assert_eq!(outcome.starts, [RpcId::from_number(2)], "the added cores must run the queued RPC");
    assert!(read_rpc(&mut control, 2 * MS, 3, 2).starts == [RpcId::from_number(3)]);
    // The next commit leaves one method and one core. Running RPCs of the removed methods finish like any others.
    control.stage(&[update(0, None), update(1, Some(2.0)), update(2, None)]);
    let outcome = control.commit(3 * MS, Some(control_with(3 * MS, &[], 1, 1_000.0)));
    assert!(outcome.answers.is_empty() && outcome.cancellations.is_empty());
    for n in 1..=3 {
        assert!(control.run_ended(10 * MS, RpcId::from_number(n), RunEnd::Ok).answers.is_empty());
    }
    assert_eq!(read_rpc(&mut control, 11 * MS, 4, 1).starts, [RpcId::from_number(4)]);
}

#[test]
fn commit_during_slow_start_does_not_restart_it() {
    let unskippable = || Method { skip_value_ratio: 0.0, ..method(1.0) };
    let cold = |now: Us| {
        let parts = ControlParts {
            methods: vec![unskippable()],
            concurrency: ConcurrencyLimit::new(now, 4, 1.5, 0.25, 1_000 * MS),
            calls: UpstreamCalls::new(Upstream::Absent, 4, 0, 400 * MS),
            ..control_parts(now, &[1.0], 4, 100_000.0, 2.0)
        };
        Control::new(now, 3, parts)
    };
    // Two servers start together. One of them commits unchanged settings half-way through the slow start.
    let (mut unchanged, mut changed) = (cold(0), cold(0));
    unchanged.start();
    changed.start();
    let same = SettingsUpdate::Method(MethodId(0), Some(unskippable()));
    changed.stage(&[same, SettingsUpdate::Tenant(0, Some(1.0))]);
    changed.commit(500 * MS, Some(cold(500 * MS)));
    let count = |control: &mut Control, now: Us, from: u64| {
        (from..from + 40).map(|n| read_rpc(control, now, n, 0).starts.len()).sum::<usize>()
    };
    let [unchanged, changed] = [&mut unchanged, &mut changed].map(|control| count(control, 600 * MS, 1));
    assert_eq!(unchanged, changed, "a restarted slow start would admit fewer RPCs");
    let mut restarted = cold(590 * MS);
    restarted.start();
    assert!(count(&mut restarted, 600 * MS, 1) < unchanged);
}

#[test]
fn memory_is_released_as_it_was_reserved_across_a_commit() {
    // 80 kB may be used, which is enough for four running RPCs.
    let mut control = control_with(0, &[1.0], 8, 100.0);
    for n in 0..3 {
        assert_eq!(read_rpc(&mut control, 0, n, 0).starts.len(), 1);
    }
    control.commit(MS, Some(control_with_factor(MS, &[], 8, 100.0, 8.0)));
    for n in 0..3 {
        control.run_ended(2 * MS, RpcId::from_number(n), RunEnd::Ok);
    }
    // All memory is free again: an RPC that takes all of the 80 kB with the new factor starts.
    assert_eq!(read_rpc(&mut control, 3 * MS, 9, 0).starts.len(), 1);
    assert!(read_rpc(&mut control, 3 * MS, 10, 0).starts.is_empty(), "a second RPC must not fit");
}

/// Sends the same inputs to a server with staged settings and to one without. Their outcomes must be equal until the
/// commit.
#[test]
fn staged_settings_change_no_decision_before_commit() {
    for seed in 0..100 {
        let (mut plain, mut staged) =
            (Harness::new(ServerConfig::default(), seed), Harness::new(ServerConfig::default(), seed));
        let method = |n: u64| Method {
            latency_target: (1 + n) * 300 * MS,
            deadline: 3_000 * MS,
            idempotency: Idempotency::Idempotent,
            criticality: n as f64 * 5.0,
            late_value_ratio: 0.0,
            idempotency_window: 0,
            skip_value_ratio: 0.0,
        };
        for n in 0..200 {
            let update = SettingsUpdate::Method(MethodId(n as usize % 5), (n % 3 > 0).then(|| method(n % 4)));
            staged.control.stage(&[update, SettingsUpdate::Tenant(n as usize % 7, Some(0.1))]);
            let now = 5_000 * MS + n * 7 * MS;
            let ended = RpcId::from_number(n.saturating_sub(6));
            let [without_staged, with_staged] = [&mut plain, &mut staged].map(|harness| {
                let arrival = Arrival {
                    id: RpcId::from_number(n),
                    method: MethodId(n as usize % 2),
                    caller: CallerId(n % 3).into(),
                    deadline: None,
                    size_kb: 10.0,
                    unread_for: 0,
                    original: None,
                    cache_key: None,
                };
                let read = harness.control.rpc_read(now, arrival, Some(n as usize % 7));
                let ended = harness.control.run_ended(now + MS, ended, RunEnd::Ok);
                let fired = harness.control.timer_fired(now + 2 * MS, Gauges::default());
                format!("{read:?} {ended:?} {fired:?} {:?}", harness.control.learned_state())
            });
            assert_eq!(without_staged, with_staged, "seed {seed}, input {n}");
        }
        staged.control.commit(9_000 * MS, None);
        assert!(staged.control.has_tenant(6) && !plain.control.has_tenant(6));
    }
}
